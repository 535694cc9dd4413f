//! Brittle back ends: records their statements and rejections, and selects those that this gateway
//! may send a request.

use std::sync::Arc;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::brittle::Occupancy;
use gorsebank_world::ServiceId;

use super::Shared;
use crate::back_end::BackEnd;
use crate::event_log::{self, LogPriority};

impl Shared {
    /// Records what a back end states of its brittleness in a response.
    pub(super) fn record_brittleness(
        &self,
        back_end: &BackEnd,
        rejections_per_second: Option<f64>,
    ) {
        let now = self.now();
        let service = &back_end.service;
        let mut brittle = self.brittle.lock();
        if brittle.record(now, service, rejections_per_second) {
            let is_brittle = brittle.is_brittle(now, service);
            drop(brittle);
            let fields = format_args!(
                "service={service} brittle={is_brittle} back_end={} rejections_per_second={}",
                back_end.id,
                rejections_per_second.unwrap_or(0.0)
            );
            event_log::write(LogPriority::Decision, "brittle", fields);
            self.notify_changed();
        }
    }

    /// Records that a back end rejected a request for want of room.
    pub fn record_rejection(&self, back_end: &BackEnd) {
        let (now, gateways) = (self.now(), self.gateway_share());
        let mut brittle = self.brittle.lock();
        brittle.record_rejection(now, &back_end.service, back_end.incarnation_hash, gateways);
    }

    /// The back ends of a service that this gateway may send a request. All of them, unless they are
    /// brittle.
    pub fn without_full_brittle(
        &self,
        now: Timestamp,
        service: &ServiceId,
        mut back_ends: Vec<Arc<BackEnd>>,
    ) -> Vec<Arc<BackEnd>> {
        if !self.brittle.lock().is_brittle(now, service) {
            return back_ends;
        }
        let gateways = self.gateway_share();
        let others: Vec<u32> = {
            let running = self.feed.running.lock();
            let of_others = |it: &Arc<BackEnd>| running.running_elsewhere(now, it.hash);
            back_ends.iter().map(of_others).collect()
        };
        let mut others = others.into_iter();
        let brittle = self.brittle.lock();
        back_ends.retain(|back_end| {
            let occupancy = Occupancy {
                slots: back_end.slots,
                own: back_end.in_flight(),
                others: others.next().unwrap_or(0),
            };
            let hash = back_end.incarnation_hash;
            brittle.may_send(now, service, hash, occupancy, gateways)
        });
        back_ends
    }

    /// Number of gateways among which the room of a back end is divided.
    fn gateway_share(&self) -> u32 {
        u32::try_from(self.known_gateway_count())
            .unwrap_or(u32::MAX)
            .max(1)
    }
}
