//! Takes and renews the placement lease, and runs [`Placement`] and the other tasks of the lease
//! holder while this process holds the lease.
//!
//! The input is the lease row, and the processor capacity and timer lag of the gateways. The output
//! is writes of the lease row.

use std::sync::Arc;
use std::time::Duration;

use gorsebank_contract::Put;
use gorsebank_fleet::Candidacy;
use tokio::time::sleep;

use crate::demand_rows::AbortOnDrop;
use crate::event_log::{self, LogPriority};
use crate::lease_session::{LeaseSession, LeaseStepResult};
use crate::placement::Placement;
use crate::shared::Shared;
use crate::{prefill_speed_rows, quarantine_row, stream_origin_rows, sweeper};

/// The name of the placement lease's row.
pub const LEASE_NAME: &str = "placement";
/// Duration of the lease as a fraction of the deployment's bound on changes of the holder. A
/// shorter lease lets the next holder start sooner, and the cool-down of the lease keeps changes
/// apart.
const LEASE_FRACTION: f64 = 0.7;
/// Maximum interval between two checks of the lease.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum random delay before a machine takes the lease, among machines of about the same
/// processor capacity. Most of them then see that the lease is taken and write nothing.
const MAX_TAKE_DELAY: Duration = Duration::from_millis(250);
/// Fraction of the largest processor capacity from which a machine is treated as equally strong.
const EQUAL_CAPACITY_FRACTION: f64 = 0.8;
/// Minimum time for which a holder keeps the lease before it hands the lease to a stronger machine.
/// In its first moments, the holder may not know the capacities of other machines yet.
const MIN_HOLD_TIME: Duration = Duration::from_secs(6);
/// Mean timer lag above which a machine leaves the lease to others for `LATE_TIMERS_LEASES`.
const MAX_CANDIDATE_TIMER_LAG: Duration = Duration::from_millis(150);
/// Additional delay, in lease durations, before a machine with late timers takes the lease. If the
/// timers of all machines are late, one of them has to hold it.
const LATE_TIMERS_LEASES: f64 = 3.0;
/// Mean timer lag above which the holder releases the lease.
const MAX_HOLDER_TIMER_LAG: Duration = Duration::from_millis(500);

/// Takes and renews the lease until the process ends, and runs the tasks of the holder while the
/// lease is held.
pub async fn run(shared: Arc<Shared>) {
    let lease = shared
        .settings
        .bounds
        .lease_duration
        .mul_f64(LEASE_FRACTION);
    let mut candidate = LeaseCandidate {
        session: LeaseSession::new(&shared, LEASE_NAME, lease),
        lease,
        take_delay: MAX_TAKE_DELAY.mul_f64(rand::random()),
        logged_obstacle: None,
        shared,
    };
    let mut tasks: Option<HolderTasks> = None;
    loop {
        let was_holder = candidate.session.is_held();
        candidate.run_iteration().await;
        let is_holder = candidate.session.is_held();
        candidate.shared.set_placing(is_holder);
        if is_holder && !was_holder {
            candidate.record_lease_change("taken");
            tasks = Some(candidate.start_tasks());
        }
        if was_holder && !is_holder {
            candidate.record_lease_change("lost");
            drop(tasks.take());
        }
    }
}

/// The tasks of the lease holder, which end when they are dropped.
type HolderTasks = [AbortOnDrop; 5];

/// This process as a candidate for the lease, and as its holder.
struct LeaseCandidate {
    shared: Arc<Shared>,
    session: LeaseSession,
    lease: Duration,
    /// The random delay of this process, up to [`MAX_TAKE_DELAY`].
    take_delay: Duration,
    /// What was last logged to keep this process from taking the lease.
    logged_obstacle: Option<Option<LeaseObstacle>>,
}

/// The reason why a process may not take the lease, or takes it only if no other does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseObstacle {
    /// The process was asked to stop.
    Stopping,
    /// The process is not in the table of gateways.
    NotServing,
    /// The process has no links to back ends of its own.
    CutOff,
    /// The timers of the process are late.
    LateTimers,
}

impl LeaseObstacle {
    fn label(self) -> &'static str {
        match self {
            LeaseObstacle::Stopping => "stopping",
            LeaseObstacle::NotServing => "not_serving",
            LeaseObstacle::CutOff => "cut_off",
            LeaseObstacle::LateTimers => "late_timers",
        }
    }
}

impl LeaseCandidate {
    async fn run_iteration(&mut self) {
        self.log_obstacle();
        let candidacy = self.candidacy();
        let shared = self.shared.clone();
        let extra_put = move || store_records_row(&shared);
        if let LeaseStepResult::Idle(pause) = self.session.step(candidacy, extra_put).await {
            sleep(pause.min(MAX_CHECK_INTERVAL)).await;
        }
    }

    /// What keeps this process from taking the lease now, if anything does.
    fn obstacle(&self) -> Option<LeaseObstacle> {
        let shared = &self.shared;
        if shared.is_stopping() {
            return Some(LeaseObstacle::Stopping);
        }
        if !shared.may_place() {
            return Some(LeaseObstacle::NotServing);
        }
        // Orders reach engines over this gateway's own links only.
        if shared.links.is_cut_off(shared.now()) {
            return Some(LeaseObstacle::CutOff);
        }
        let has_late_timers = shared.timer_lag() > MAX_CANDIDATE_TIMER_LAG;
        has_late_timers.then_some(LeaseObstacle::LateTimers)
    }

    /// Logs what keeps this process from taking the lease, when that changes.
    fn log_obstacle(&mut self) {
        let obstacle = self.obstacle();
        if self.logged_obstacle == Some(obstacle) {
            return;
        }
        self.logged_obstacle = Some(obstacle);
        let fields = format_args!(
            "state={} late_ms={}",
            obstacle.map_or("candidate", LeaseObstacle::label),
            self.shared.timer_lag().as_millis(),
        );
        event_log::write(LogPriority::Decision, "lease_candidacy", fields);
    }

    /// When this process may take the lease. The strongest machines take it first, because the
    /// planner has to keep up with hundreds of engines.
    fn candidacy(&self) -> Candidacy {
        let shared = &self.shared;
        let obstacle = self.obstacle();
        if obstacle.is_some_and(|obstacle| obstacle != LeaseObstacle::LateTimers) {
            return Candidacy::Never;
        }
        let own = f64::from(shared.settings.millicores);
        if let Some(held_ms) = self.session.keeper.lock().held_for(shared.now()) {
            let should_release = Duration::from_millis(held_ms) > MIN_HOLD_TIME
                && (shared.timer_lag() > MAX_HOLDER_TIMER_LAG || self.has_stronger_machine(own));
            return if should_release {
                Candidacy::Never
            } else {
                Candidacy::After(0)
            };
        }
        let strongest = f64::from(shared.max_millicores());
        let capacity_fraction = if strongest > 0.0 {
            own / strongest
        } else {
            1.0
        };
        let mut delay = if capacity_fraction >= EQUAL_CAPACITY_FRACTION {
            self.take_delay
        } else {
            self.lease.mul_f64(2.0 - capacity_fraction) + self.take_delay
        };
        if obstacle == Some(LeaseObstacle::LateTimers) {
            delay += self.lease.mul_f64(LATE_TIMERS_LEASES);
        }
        Candidacy::After(delay.as_millis() as u64)
    }

    /// Whether a machine with a much higher processor capacity sent its demand recently.
    fn has_stronger_machine(&self, own: f64) -> bool {
        let strongest = f64::from(self.shared.max_millicores());
        if own >= strongest * EQUAL_CAPACITY_FRACTION {
            return false;
        }
        let now = self.shared.now();
        let reporting = self.shared.demand_rows.reporting_gateways(now);
        let is_strong = |millicores: u32| f64::from(millicores) * EQUAL_CAPACITY_FRACTION > own;
        reporting
            .iter()
            .any(|name| self.shared.millicores_of(name).is_some_and(is_strong))
    }

    fn start_tasks(&self) -> HolderTasks {
        let shared = &self.shared;
        let placement = Placement::new(shared.clone(), self.session.keeper.clone());
        [
            tokio::spawn(placement.run()),
            tokio::spawn(prefill_speed_rows::run(shared.clone())),
            tokio::spawn(sweeper::run(shared.clone())),
            tokio::spawn(quarantine_row::maintain(shared.clone())),
            tokio::spawn(stream_origin_rows::run(shared.clone())),
        ]
        .map(AbortOnDrop)
    }

    fn record_lease_change(&self, kind: &str) {
        let shared = &self.shared;
        let changes = &shared.metrics.lease_changes;
        changes.with_label_values(&[kind]).inc();
        let fence = self.session.keeper.lock().fence(shared.now());
        let fields = format_args!(
            "change={kind} fence={} millicores={} late_ms={}",
            fence.unwrap_or(0),
            shared.settings.millicores,
            shared.timer_lag().as_millis(),
        );
        event_log::write(LogPriority::Decision, "lease", fields);
    }
}

/// The row with the records of weight stores, from which the next holder restores their limits. A
/// gateway that has not planned yet leaves the row of the previous holder unchanged.
fn store_records_row(shared: &Shared) -> Option<Put> {
    let records = shared.store_records()?;
    let value = serde_json::to_string(&records).ok()?;
    Some(Put {
        key: store_records_key(shared),
        value,
    })
}

/// The key of the row with the records of weight stores: recent loads and the number of concurrent
/// loads.
pub fn store_records_key(shared: &Shared) -> String {
    format!("{}/placement", shared.platform.tables().saved_state)
}
