//! Updates the cached tables from this gateway's parents.
//!
//! In: responses of parents, each to one request for all tables. Out: updates of the cache. If no
//! parent sends a fresh response, the gateway reads the table itself from time to time. The
//! combined rate of such reads of all gateways is limited as far as the propagation bound allows, so
//! the reads cost little while the table is unavailable. When the table responds, the gateway follows
//! the table for a time, for itself and for its children.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gorsebank_fleet::distribution_tree::TreePosition;
use gorsebank_fleet::running::Counts;
use tokio::time::{Instant, sleep, sleep_until};

use super::message::{FeedRequest, FeedResponse, TablePosition};
use super::parents::Parent;
use super::read_schedule::{ReadConditions, overload_factor, round_of_table_reads};
use super::sync_policy::{MAX_UPDATE_WAIT, TableSyncPolicy, max_update_age, table_sync_policies};
use super::table_sync::{MAX_PARENT_PAUSE, MIN_PAUSE, RESPONSE_TIMEOUT, advance};
use crate::event_log::{self, LogPriority};
use crate::holder::LEASE_NAME;
use crate::ports::TableError;
use crate::relay::{RelayRequest, RelayResponse};
use crate::shared::Shared;
use crate::table_followers::row_name;

/// Minimum time between two requests of a gateway without children.
const LEAF_PAUSE: Duration = Duration::from_millis(250);
/// Pause after no parent sent a fresh response, while the cached content is still fresh.
const NO_UPDATE_PAUSE: Duration = Duration::from_millis(200);
/// A parent that responded within this time counts as responsive.
const PARENT_LIFETIME: Duration = Duration::from_secs(2);
/// Time without an update from any parent after which a gateway that has read the leases before reads
/// them itself. Parents that restart respond again sooner.
const LEASE_READ_DELAY: Duration = Duration::from_secs(3);
/// Pause after the first read of the leases that shows a renewal. The pause doubles with each further
/// one.
const FIRST_LEASE_READ_PAUSE: Duration = Duration::from_secs(2);
/// Maximum pause between two reads of the leases.
const MAX_LEASE_READ_PAUSE: Duration = Duration::from_secs(16);
/// Pause between two reads while nobody renews the placement lease, as a fraction of the deployment's
/// bound on changes of its holder. A candidate begins to wait anew if its knowledge is older than most of
/// a lease.
const UNRENEWED_LEASE_READ_FRACTION: f64 = 0.35;
/// Time, apart from the wait for a change, after which a response is slow. A table that responds slowly
/// may be overloaded, so a gateway does not follow it instead of its parents.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(500);

/// Result of a request to a parent.
enum ParentOutcome {
    /// The response was fresh for every requested table.
    Fresh,
    /// There was a response, but it was not fresh for every requested table.
    Stale,
    /// There was no usable response within the time limit.
    NoResponse,
}

/// Follows the tables through this gateway's parents.
pub(super) struct ParentFollower {
    shared: Arc<Shared>,
    /// When each table was last updated by a parent.
    updated_at: HashMap<&'static str, Instant>,
    /// When this gateway last read the table itself.
    table_read_at: Option<Instant>,
    /// When the pause before the next table read began.
    pause_began_at: Option<Instant>,
    /// Number of consecutive table reads without a response, or with a slow one.
    failed_table_reads: u32,
    /// Whether pages of a table are outstanding after the last response, so that the next page is
    /// requested at once.
    has_outstanding_pages: bool,
    /// When a parent last responded without fresh content.
    stale_response_at: Option<Instant>,
    /// Reads of the leases while no parent sends updates; `None` while one does.
    lease_reads: Option<LeaseReads>,
}

/// When to read the leases, which name the gateways that place models and charge quotas. Only
/// parents send them to a gateway that follows the table temporarily.
///
/// A gateway takes a lease only if it has seen it unchanged for long enough. So the reads become rarer
/// only while the placement lease is renewed: its holder may be among the parents that are gone.
struct LeaseReads {
    next_at: Instant,
    /// Pause after the next read that shows a renewal.
    next_pause: Duration,
    /// Revision of the placement lease at the last read.
    revision: Option<u64>,
    /// Number of consecutive reads without a response.
    failures: u32,
}

impl LeaseReads {
    /// The reads of a gateway from the first poll on in which no parent sent an update.
    fn new(first_delay: Duration) -> Self {
        LeaseReads {
            next_at: Instant::now() + first_delay,
            next_pause: FIRST_LEASE_READ_PAUSE,
            revision: None,
            failures: 0,
        }
    }

    fn is_due(&self) -> bool {
        Instant::now() >= self.next_at
    }

    /// Records a read without a response. `pause` is the usual pause before the next read.
    fn record_failure(&mut self, pause: Duration, is_large_fleet: bool) {
        self.failures += 1;
        let pause = pause * overload_factor(self.failures, is_large_fleet);
        self.next_at = Instant::now() + pause.min(MAX_LEASE_READ_PAUSE);
    }

    /// Records a read of the placement lease at a revision; `None` if there is no such row.
    /// `unrenewed_pause` is the pause before the next read unless the lease was renewed.
    fn record_read(&mut self, revision: Option<u64>, unrenewed_pause: Duration) {
        self.failures = 0;
        let is_renewed = revision.is_some() && self.revision.is_some_and(|it| Some(it) != revision);
        self.revision = revision.or(self.revision);
        if is_renewed {
            self.next_at = Instant::now() + self.next_pause;
            self.next_pause = (self.next_pause * 2).min(MAX_LEASE_READ_PAUSE);
        } else {
            self.next_at = Instant::now() + unrenewed_pause;
            self.next_pause = FIRST_LEASE_READ_PAUSE;
        }
    }
}

impl ParentFollower {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        ParentFollower {
            shared,
            updated_at: HashMap::new(),
            table_read_at: None,
            pause_began_at: None,
            failed_table_reads: 0,
            has_outstanding_pages: false,
            stale_response_at: None,
            lease_reads: None,
        }
    }

    /// Requests updates from the parents in turn. Reads the table if none of them sends a fresh
    /// response.
    pub(super) async fn poll(&mut self) {
        let started_at = Instant::now();
        let candidates = self.shared.feed.parents.lock().candidates();
        let mut wait = MAX_UPDATE_WAIT;
        for (index, parent) in candidates.into_iter().enumerate() {
            if parent.is_root && self.must_skip_roots() {
                continue;
            }
            let time_left = self.read_conditions().time_until_deadline();
            // A read that is due does not wait for further parents.
            if index > 0 && time_left.is_zero() {
                break;
            }
            match self.request_updates(parent, wait.min(time_left)).await {
                ParentOutcome::Fresh => {
                    self.lease_reads = None;
                    if !self.has_outstanding_pages {
                        sleep_until(started_at + self.pause()).await;
                    }
                    return;
                }
                // Request immediate responses from the remaining parents: the waits for several
                // unresponsive parents would otherwise use up the propagation bound. The full wait
                // applies until the back ends have been read.
                ParentOutcome::NoResponse if self.shared.has_read_back_ends() => {
                    wait = Duration::ZERO
                }
                ParentOutcome::Stale | ParentOutcome::NoResponse => {}
            }
        }
        self.read_leases_if_due().await;
        self.read_table().await;
    }

    /// Reads the leases if no parent has sent updates for some time.
    pub(super) async fn read_leases_if_due(&mut self) {
        let first_delay = self.first_lease_read_delay();
        let reads = self
            .lease_reads
            .get_or_insert_with(|| LeaseReads::new(first_delay));
        let must_wait = !reads.is_due()
            || self.shared.lacks_content()
            || !self.shared.time_until_paced_call().is_zero()
            || self.read_conditions().time_until_deadline().is_zero();
        if must_wait {
            return;
        }
        let lease = self.shared.platform.tables().lease;
        let policies = table_sync_policies(&self.shared.platform.tables());
        let Some(policy) = policies.iter().find(|policy| policy.table == lease) else {
            return;
        };
        self.shared.take_paced_call();
        let result = advance(&self.shared, policy, Duration::ZERO).await;
        if matches!(result, Err(TableError::HistoryGone)) {
            self.shared.feed.cache(|cache| cache.record_gap(lease));
        }
        let is_read = result.is_ok();
        let revision = is_read.then(|| self.placement_lease_revision()).flatten();
        let unrenewed_pause = self.unrenewed_lease_read_pause();
        let is_large_fleet = self.shared.is_large_fleet();
        if let Some(reads) = &mut self.lease_reads {
            if is_read {
                reads.record_read(revision, unrenewed_pause);
            } else {
                reads.record_failure(unrenewed_pause, is_large_fleet);
            }
        }
        let fields = format_args!(
            "table={lease} responded={is_read} revision={}",
            revision.unwrap_or(0)
        );
        event_log::write(LogPriority::State, "leases_read", fields);
    }

    /// Time until the first read of the leases. A gateway that has never read them needs them for all
    /// that it does for callers with quotas; gateways that start together spread these reads.
    fn first_lease_read_delay(&self) -> Duration {
        let lease = self.shared.platform.tables().lease;
        let is_known = self
            .shared
            .feed
            .cache(|cache| cache.version(lease))
            .is_some();
        if is_known {
            LEASE_READ_DELAY
        } else {
            let delay = self.round_of_table_reads().mul_f64(rand::random());
            delay.min(LEASE_READ_DELAY)
        }
    }

    fn unrenewed_lease_read_pause(&self) -> Duration {
        let lease = self.shared.settings.bounds.lease_duration;
        let pause = lease.mul_f64(UNRENEWED_LEASE_READ_FRACTION);
        pause
            .max(self.round_of_table_reads())
            .min(MAX_LEASE_READ_PAUSE)
    }

    /// Revision of the placement lease's row in the cache; `None` if there is no such row.
    fn placement_lease_revision(&self) -> Option<u64> {
        let lease = self.shared.platform.tables().lease;
        let rows = self.shared.feed.rows(lease, Duration::MAX)?;
        let mut rows = rows.iter();
        let row = rows.find(|row| row_name(&row.key) == LEASE_NAME)?;
        Some(row.modified)
    }

    fn round_of_table_reads(&self) -> Duration {
        round_of_table_reads(self.shared.max_gateway_count())
    }

    fn pause(&self) -> Duration {
        let has_children = self.shared.feed.parents.lock().has_children();
        let min_pause = self
            .shared
            .min_read_interval()
            .clamp(MIN_PAUSE, MAX_PARENT_PAUSE);
        if has_children || !self.shared.is_large_fleet() {
            min_pause
        } else {
            LEAF_PAUSE
        }
    }

    /// Requests updates from one parent, which may delay its response for up to `wait` until there
    /// is a change.
    async fn request_updates(&mut self, parent: Parent, wait: Duration) -> ParentOutcome {
        let now = Instant::now();
        let due: Vec<TableSyncPolicy> = table_sync_policies(&self.shared.platform.tables())
            .into_iter()
            .filter(|policy| {
                let updated_at = self.updated_at.get(policy.table);
                updated_at.is_none_or(|at| now - *at >= policy.min_interval)
            })
            .collect();
        let own = self.shared.own_running();
        let update_request = self.build_update_request(parent, wait, &due, &own);
        let request = RelayRequest::Updates(update_request.clone());
        let time_limit = wait + RESPONSE_TIMEOUT;
        let client = self.shared.table().client();
        let suspended = self.shared.clock.total_suspension();
        let requested_at = self.shared.clock.since_boot();
        let response = client.call(parent.address, &request, time_limit).await;
        // After a suspension, the age of the response is unknown, so the response is discarded.
        let response = response.filter(|_| !self.shared.clock.was_suspended_since(suspended));
        let has_responded = response.is_some();
        let is_fresh = match response {
            Some(RelayResponse::Updates(response)) => {
                if let Some(update) = &response.quarantine {
                    self.shared.merge_quarantine_update(parent.address, update);
                }
                self.shared.merge_limit_notices(&response.limits);
                self.shared.merge_drain_notices(&response.drain_notices);
                self.shared.merge_liveness_proofs(&response.liveness_proofs);
                if let Some(sums) = &response.running {
                    let now = self.shared.now();
                    self.shared
                        .feed
                        .running
                        .lock()
                        .record_totals(now, sums, &own);
                }
                let responded_at = requested_at + Duration::from_millis(response.held_ms);
                self.apply(&update_request, response, responded_at)
            }
            _ => false,
        };
        self.has_outstanding_pages = self.shared.feed.cache(|cache| {
            let mut tables = update_request.tables.iter();
            tables.any(|position| cache.has_outstanding_pages(&position.table))
        });
        let result = if is_fresh { "fed" } else { "feed_failed" };
        self.shared.table().count_call(result);
        let mut parents = self.shared.feed.parents.lock();
        if is_fresh {
            self.updated_at
                .extend(due.iter().map(|policy| (policy.table, now)));
            parents.record_source(Some(parent.address));
            return ParentOutcome::Fresh;
        }
        parents.record_failure(parent, has_responded);
        if has_responded {
            self.stale_response_at = Some(now);
            ParentOutcome::Stale
        } else {
            ParentOutcome::NoResponse
        }
    }

    fn build_update_request(
        &self,
        parent: Parent,
        wait: Duration,
        due: &[TableSyncPolicy],
        own: &Counts,
    ) -> FeedRequest {
        let bound = self.shared.settings.bounds.propagation_bound;
        let position = |policy: &TableSyncPolicy| TablePosition {
            table: policy.table.to_owned(),
            version: self.shared.feed.cache(|cache| cache.version(policy.table)),
            newest_only: policy.newest_only,
            max_age_ms: policy.max_age(bound, parent.is_root).as_millis() as u64,
            page: Some(
                self.shared
                    .feed
                    .cache(|cache| cache.next_page(policy.table)),
            ),
        };
        FeedRequest {
            tables: due.iter().map(position).collect(),
            wait_ms: wait.as_millis() as u64,
            from: self.shared.settings.node.clone(),
            running: self
                .shared
                .feed
                .running
                .lock()
                .subtree_counts(self.shared.now(), own),
            quarantine: self.shared.quarantine.position_in(parent.address),
            limits: self.shared.limit_notices(),
            drain_notices: self.shared.drain_notices(),
            liveness_proofs: self.shared.liveness_proofs(),
        }
    }

    /// Applies a response to the cache. Returns whether the response is fresh for every requested
    /// table. `responded_at` is the earliest moment at which the parent can have responded, as time
    /// since boot.
    fn apply(&self, request: &FeedRequest, response: FeedResponse, responded_at: Duration) -> bool {
        let mut fresh_count = 0;
        for update in response.tables {
            let mut requested = request.tables.iter();
            let Some(position) = requested.find(|position| position.table == update.table) else {
                continue;
            };
            let is_outdated = self
                .shared
                .feed
                .cache(|cache| cache.is_of_earlier_era(&update));
            if update.age_ms <= position.max_age_ms && !is_outdated {
                fresh_count += 1;
            }
            // An old update may still contain unknown changes. The cache ignores older versions.
            let version = position.version;
            self.shared
                .feed
                .cache(|cache| cache.apply_update(version, update, responded_at));
        }
        fresh_count == request.tables.len()
    }

    /// Whether the content of an urgent table is too old to wait any longer for a parent.
    fn needs_update(&self) -> bool {
        let max_age = max_update_age(self.shared.settings.bounds.propagation_bound);
        self.content_age().is_none_or(|age| age > max_age)
    }

    /// Age of the oldest content of an urgent table; `None` if one was never read.
    fn content_age(&self) -> Option<Duration> {
        let tables = table_sync_policies(&self.shared.platform.tables());
        let urgent = tables.iter().filter(|policy| policy.is_urgent);
        self.shared.feed.cache(|cache| {
            urgent
                .map(|policy| cache.age(policy.table))
                .try_fold(Duration::ZERO, |oldest, age| Some(oldest.max(age?)))
        })
    }

    fn read_conditions(&self) -> ReadConditions {
        let shared = &self.shared;
        let has_children = shared.feed.parents.lock().has_children();
        ReadConditions {
            gateways: shared.max_gateway_count(),
            is_large_fleet: shared.is_large_fleet(),
            has_children,
            has_content: shared.has_read_back_ends(),
            has_stale_parent: self.has_stale_parent(),
            failed_reads: self.failed_table_reads,
            content_age: self.content_age(),
            since_last_read: self.table_read_at.map(|at| at.elapsed()),
            since_pause_began: self.pause_began_at.map_or(Duration::MAX, |at| at.elapsed()),
            time_until_turn: shared.time_until_paced_call(),
            propagation_bound: shared.settings.bounds.propagation_bound,
        }
    }

    /// Reads the table itself when a read is due, since no parent sent a fresh response. The table
    /// may be unavailable to all gateways or only to the parents.
    async fn read_table(&mut self) {
        if !self.needs_update() {
            return sleep(NO_UPDATE_PAUSE).await;
        }
        if self.shared.is_large_fleet() {
            // At a start, the parents have the time of one pause to respond.
            self.pause_began_at.get_or_insert_with(Instant::now);
        }
        let wait = self.read_conditions().time_until_read(rand::random());
        if !wait.is_zero() {
            tokio::select! {
                () = sleep(wait.min(MAX_UPDATE_WAIT)) => {}
                // A child waits for updates, so the next iteration starts early.
                () = self.shared.feed.update_requested.notified() => return sleep(MIN_PAUSE).await,
            }
        }
        if wait > MAX_UPDATE_WAIT {
            // The cooldown of a parent may have ended.
            return;
        }
        self.shared.take_paced_call();
        let started_at = Instant::now();
        self.table_read_at = Some(started_at);
        self.pause_began_at = Some(started_at);
        let tables = table_sync_policies(&self.shared.platform.tables());
        let lacks_parents = self.lacks_parents();
        let mut policies = tables.iter();
        let policy = policies.find(|policy| {
            if lacks_parents {
                policy.names_parents
            } else {
                policy.is_urgent
            }
        });
        let Some(policy) = policy else {
            return;
        };
        let max_wait = if lacks_parents {
            Duration::ZERO
        } else {
            policy.max_wait
        };
        let mut result = advance(&self.shared, policy, max_wait).await;
        if matches!(result, Err(TableError::HistoryGone)) {
            let table = policy.table;
            self.shared.feed.cache(|cache| cache.record_gap(table));
            result = advance(&self.shared, policy, max_wait).await;
        }
        let has_responded = matches!(result, Ok(()) | Err(TableError::HistoryGone));
        let is_late = started_at.elapsed() > max_wait + SLOW_RESPONSE_TIME;
        let is_slow = is_late && self.shared.is_large_fleet();
        self.record_table_read(policy.table, has_responded, is_slow);
        let is_paced = self.shared.paces_calls() && self.shared.table().pacer().is_slow();
        if has_responded && !is_slow && !is_paced {
            self.shared.feed.parents.lock().record_direct_response();
        }
    }

    /// Updates the failure count, the metric and the log after a read of the table.
    fn record_table_read(&mut self, table: &str, has_responded: bool, is_slow: bool) {
        self.failed_table_reads = if has_responded && !is_slow {
            0
        } else {
            self.failed_table_reads + 1
        };
        let result = match (has_responded, is_slow) {
            (true, false) => "tried",
            (true, true) => "tried_slowly",
            (false, _) => "try_failed",
        };
        self.shared.table().count_call(result);
        let fields = format_args!(
            "table={table} result={result} consecutive_failures={}",
            self.failed_table_reads
        );
        event_log::write(LogPriority::State, "table_tried", fields);
    }

    /// Whether a parent recently responded without fresh content.
    fn has_stale_parent(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < PARENT_LIFETIME;
        self.stale_response_at.is_some_and(is_recent)
    }

    /// Whether this gateway has no content yet, and none of many known gateways responds. All of them
    /// may have started at other addresses, and each reads the whole table unless it learns these.
    fn lacks_parents(&self) -> bool {
        self.shared.lacks_content() && !self.has_stale_parent()
    }

    /// Whether this gateway must not ask roots. At a start, roots serve the intermediate gateways,
    /// and not all leaves at once.
    fn must_skip_roots(&self) -> bool {
        let position = self.shared.feed.parents.lock().position();
        position == TreePosition::LeafOfMiddle && self.read_conditions().waits_with_parent()
    }
}
