//! Records the outcomes of requests at back ends that other gateways need to know.
//!
//! Input: crashes of back ends under requests of this gateway, complete responses, and outcome
//! notices and liveness proofs of other gateways. Output: quarantined requests and crashed back ends.
//! Waiting requests are notified of each change.

use std::collections::HashSet;
use std::net::SocketAddr;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::quarantine::{
    EventSource, IncarnationHash, OutcomeNotice, RunOutcome, Suspect,
};
use gorsebank_fleet::{Fingerprint, LivenessProof};

use super::Shared;
use crate::back_end::BackEnd;
use crate::event_log::{self, LogPriority};
use crate::quarantine::QuarantineUpdate;

/// Time after a recorded exit from which a response refutes it, in milliseconds. An earlier one may
/// have been on its way when the process exited.
const RESPONSE_MARGIN_MS: u64 = 250;
/// Same for a proof of another gateway, whose age does not include the delay of the message.
const NOTICE_MARGIN_MS: u64 = 1_000;

impl Shared {
    /// Merges outcome notices from child gateways.
    pub fn merge_child_outcomes(&self, notices: &[OutcomeNotice]) {
        self.record_reported_crashes(notices);
        if self
            .quarantine
            .merge(self.now(), notices, EventSource::Below)
        {
            self.notify_changed();
        }
    }

    /// Merges a quarantine update with which the gateway at `address` has responded.
    pub fn merge_quarantine_update(&self, address: SocketAddr, update: &QuarantineUpdate) {
        self.record_reported_crashes(&update.events);
        if self.quarantine.merge_update(self.now(), address, update) {
            self.notify_changed();
        }
        // Gateways send quarantine updates only after their own quarantine is initialized.
        self.mark_quarantine_initialized();
    }

    /// Records crashed back ends. A gateway that had a request at a back end when it crashed
    /// notifies all others, so that they stop sending requests there.
    fn record_reported_crashes(&self, notices: &[OutcomeNotice]) {
        let crashed = notices.iter().filter_map(|event| match event.outcome {
            RunOutcome::Ended(back_end) => Some(back_end),
            RunOutcome::Served => None,
        });
        let crashed: HashSet<IncarnationHash> = crashed.collect();
        if !crashed.is_empty() {
            let now = self.now();
            let newly_exited = self.directory(|directory| directory.record_exits(now, &crashed));
            for back_end in newly_exited {
                self.log_exit(&back_end, "gateway");
            }
            self.notify_changed();
        }
    }

    /// Records that a back end has just responded. If its exit was recorded, the record is withdrawn
    /// here and at all other gateways.
    pub fn record_alive(&self, back_end: &BackEnd) {
        let now = self.now();
        if back_end.refute_exit(now, RESPONSE_MARGIN_MS) {
            self.liveness
                .lock()
                .record(now, back_end.incarnation_hash, now);
            self.apply_refutation(now, back_end, "own");
        }
    }

    /// Merges proofs of other gateways that back ends are alive.
    pub fn merge_liveness_proofs(&self, proofs: &[LivenessProof]) {
        let now = self.now();
        for proof in proofs {
            let alive_at = now - proof.age;
            if !self.liveness.lock().record(now, proof.back_end, alive_at) {
                continue;
            }
            let back_end = self.directory(|directory| directory.by_incarnation(proof.back_end));
            if let Some(back_end) = back_end
                && back_end.refute_exit(alive_at, NOTICE_MARGIN_MS)
            {
                self.apply_refutation(alive_at - NOTICE_MARGIN_MS, &back_end, "gateway");
            }
        }
    }

    /// Proofs for other gateways.
    pub fn liveness_proofs(&self) -> Vec<LivenessProof> {
        self.liveness.lock().notices(self.now())
    }

    fn apply_refutation(&self, alive_at: Timestamp, back_end: &BackEnd, source: &str) {
        self.quarantine
            .refute_exits(alive_at, back_end.incarnation_hash);
        let fields = format_args!("back_end={} source={source}", back_end.id);
        event_log::write(LogPriority::Decision, "back_end_exit_refuted", fields);
        self.notify_changed();
    }

    /// Logs and counts that a back end is taken to have exited, and where the evidence comes from.
    pub fn log_exit(&self, back_end: &BackEnd, source: &str) {
        self.metrics.record_back_end_exit(source);
        let fields = format_args!(
            "back_end={} source={source} in_flight={}",
            back_end.id,
            back_end.in_flight()
        );
        event_log::write(LogPriority::Decision, "back_end_exit", fields);
    }

    /// Merges outcomes from the quarantine row, which were recorded before this process started.
    pub fn merge_stored_outcomes(&self, notices: &[OutcomeNotice]) {
        if self
            .quarantine
            .merge(self.now(), notices, EventSource::Beside)
        {
            self.notify_changed();
        }
    }

    /// Marks the quarantine as initialized and notifies waiting requests. Returns true on the first
    /// call only.
    pub fn mark_quarantine_initialized(&self) -> bool {
        let is_first = self.quarantine.mark_initialized();
        if is_first {
            self.notify_changed();
        }
        is_first
    }

    /// Whether requests have to wait for quarantine entries from before the start. Until the back
    /// ends are known, requests are refused because no back end is available.
    pub fn awaits_quarantine(&self) -> bool {
        self.has_read_back_ends() && !self.quarantine.is_initialized()
    }

    /// Records that a back end crashed while it ran a request of this gateway. The suspects are the
    /// request and parts of its prompt.
    pub fn record_crash(&self, suspects: &[Suspect], back_end: IncarnationHash) {
        if self.quarantine.record_crash(self.now(), suspects, back_end) {
            self.notify_changed();
        }
    }

    /// Evaluates removed rows of back ends that announced no drain. Such a removal shows that the
    /// back end crashed under the requests that lost their connection to it shortly before, even if
    /// no other gateway has reported the crash.
    pub fn evaluate_removed_back_ends(&self) {
        let mut removed = Vec::new();
        self.change_directory(|directory| removed = directory.take_removed_without_drain());
        let now = self.now();
        for back_end in removed {
            let suspects = back_end.recent_suspects(now);
            self.record_crash(&suspects, back_end.incarnation_hash);
        }
    }

    /// Records that a back end sent a complete response to a request of this gateway and still
    /// runs.
    pub fn record_complete_response(&self, request: Fingerprint) {
        if self.quarantine.record_served(self.now(), request) {
            self.notify_changed();
        }
    }

    /// Records that a back end has begun to write a response to a prompt with these parts, and still
    /// runs.
    pub fn record_parts_begun(&self, parts: &[Fingerprint]) {
        if self.quarantine.record_parts_begun(self.now(), parts) {
            self.notify_changed();
        }
    }
}
