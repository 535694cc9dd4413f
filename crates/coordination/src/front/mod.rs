//! Requests that this node accepted from callers, from arrival to the final
//! response.
//!
//! In: arrivals, grants, refusals, outcomes of attempts, claim results, time.
//! Out: tickets for queue owners, dispatches to back ends, final refusals.
//!
//! Invariants: a request gets exactly one final response. A request that has
//! not been sent by its deadline is refused at once. A request that may not be
//! repeated is sent at most once. A request with an idempotency key is sent
//! only after the key was claimed. A refusal states that a request did not run
//! only if no attempt of the request can have run.

mod credits;
mod slots;

use crate::collections::{HashMap, HashSet};

use gorsebank_contract::{
    Attempt, AttemptOutcome, ExecutionStatus, Grant, HeldSlots, Refusal, RefusalReason, RequestId,
    Ticket, TicketId,
};
use gorsebank_world::{BackEndId, MachineState, NodeId, QueueKey};
use rand_chacha::ChaCha8Rng;

use crate::claim_round::ClaimOutcome;
use crate::event::Arrival;
use crate::machines::MachineTable;
use crate::membership::View;
use crate::queues::Release;
use crate::retry::{RetryBudget, backoff};
use crate::settings::RoutingSettings;
use crate::time::{Periodic, Timestamp};

/// Interval of the reports to owners of the slots that this front holds, in
/// milliseconds.
const HELD_REPORT_INTERVAL_MS: u64 = 5_000;
/// Number of released slots of one queue and back end that are reported without
/// a wait for the next tick.
const RELEASE_BATCH_SLOTS: u32 = 4;

/// An action that the front requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontOutput {
    /// Offer a ticket to the owner of its queue.
    Offer(NodeId, Ticket),
    /// Withdraw a ticket from an owner.
    Cancel(NodeId, QueueKey, TicketId),
    /// Claim an idempotency key before the request is sent.
    Claim(RequestId, String),
    /// Withdraw a claim, because its request will not be sent.
    WithdrawClaim(RequestId, String),
    /// Mark a claim as completed, because its request ran to completion.
    CompleteClaim(RequestId, String),
    /// Send the request to a back end.
    Dispatch(TicketId, BackEndId),
    /// Refuse the request, as its final response.
    Refuse(RequestId, Refusal),
    /// Return slots to an owner.
    Release(NodeId, Release),
    /// Report to an owner which slots this front holds.
    ReportHeldSlots(NodeId, Vec<HeldSlots>),
}

/// A slot at a back end, held for one request.
#[derive(Clone, Debug)]
struct Slot {
    owner: NodeId,
    back_end: BackEndId,
    since: Timestamp,
    /// The slot may be retained for another request once this request has
    /// completed.
    retainable: bool,
}

#[derive(Clone, Debug)]
enum Stage {
    /// Must be offered to a queue owner, but not before `not_before`.
    Unoffered { not_before: Timestamp },
    /// Waits in the owner's queue.
    Waiting { owner: NodeId, offered: Timestamp },
    /// Has a slot and waits for the claim of its idempotency key.
    Claiming(Slot),
    /// Was sent to a back end.
    Running(Slot),
}

#[derive(Clone, Debug)]
struct Pending {
    arrival: Arrival,
    attempt: Attempt,
    stage: Stage,
    claimed: bool,
    ran: ExecutionStatus,
}

impl Pending {
    fn ticket_id(&self) -> TicketId {
        TicketId {
            request: self.arrival.request,
            attempt: self.attempt,
        }
    }
}

/// Permission to send several requests to one back end.
#[derive(Clone, Debug)]
struct Credit {
    owner: NodeId,
    back_end: BackEndId,
    remaining: u32,
    expires: Timestamp,
    /// The slot was retained from a completed request, not granted as a credit.
    is_retained: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct ReleaseKey {
    owner: NodeId,
    queue: QueueKey,
    back_end: BackEndId,
}

#[derive(Clone, Copy, Debug, Default)]
struct ReleaseTotal {
    slots: u32,
    completed: u32,
    service_time: u64,
    has_failure: bool,
}

/// Counters of the outcomes of requests at this front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests with a complete response from a back end.
    pub completed: u64,
    /// Refused requests that did not run.
    pub refused: u64,
    /// Requests that ended without a complete response and may have run.
    pub unknown: u64,
    /// Retries of requests.
    pub retries: u64,
    /// Requests that used a credit or a retained slot, without a message to the
    /// owner.
    pub on_credit: u64,
}

/// All requests of this node without a final response.
#[derive(Debug)]
pub struct Front {
    this: NodeId,
    settings: RoutingSettings,
    pending: HashMap<RequestId, Pending>,
    /// Requests that have not been sent; their deadlines are checked on each
    /// tick.
    unsent: HashSet<RequestId>,
    credits: HashMap<QueueKey, Vec<Credit>>,
    releases: HashMap<ReleaseKey, ReleaseTotal>,
    /// Time of the last message from each owner whose machine list was no newer
    /// than this node's.
    current_owners: HashMap<NodeId, Timestamp>,
    /// Queues whose slots were recalled, with the time until which no slot is
    /// retained.
    recalled: HashMap<QueueKey, Timestamp>,
    account_reports: Periodic,
    /// Owners to which the last reports listed at least one held slot.
    reported_owners: HashSet<NodeId>,
    budget: RetryBudget,
    random: ChaCha8Rng,
    counts: FrontCounts,
}

impl Front {
    /// Creates a front without requests.
    pub fn new(this: NodeId, settings: RoutingSettings, random: ChaCha8Rng) -> Self {
        Front {
            this,
            budget: RetryBudget::new(&settings),
            settings,
            pending: HashMap::default(),
            unsent: HashSet::default(),
            credits: HashMap::default(),
            releases: HashMap::default(),
            current_owners: HashMap::default(),
            recalled: HashMap::default(),
            account_reports: Periodic::every(HELD_REPORT_INTERVAL_MS),
            reported_owners: HashSet::default(),
            random,
            counts: FrontCounts::default(),
        }
    }

    /// Outcome counters since the start of the node.
    pub fn counts(&self) -> FrontCounts {
        self.counts
    }

    /// Number of requests without a final response.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Accepts a request, or refuses it if its deadline has passed.
    pub fn accept_request(
        &mut self,
        now: Timestamp,
        arrival: Arrival,
        view: &View,
        machines: &MachineTable,
    ) -> Vec<FrontOutput> {
        self.counts.arrived += 1;
        self.budget.deposit();
        let request = arrival.request;
        if arrival.deadline <= now {
            self.counts.refused += 1;
            let refusal = Refusal::not_run(RefusalReason::DeadlinePassed, None);
            return vec![FrontOutput::Refuse(request, refusal)];
        }
        let pending = Pending {
            arrival,
            attempt: Attempt(1),
            stage: Stage::Unoffered { not_before: now },
            claimed: false,
            ran: ExecutionStatus::No,
        };
        self.pending.insert(request, pending);
        self.unsent.insert(request);
        self.find_slot(now, request, view, machines)
    }

    /// Uses a credit for the request, or offers the request to the queue owner.
    fn find_slot(
        &mut self,
        now: Timestamp,
        request: RequestId,
        view: &View,
        machines: &MachineTable,
    ) -> Vec<FrontOutput> {
        let Some(pending) = self.pending.get(&request) else {
            return Vec::new();
        };
        let queue = pending.arrival.queue.clone();
        if let Some(slot) = self.take_credit(now, &queue, machines) {
            self.counts.on_credit += 1;
            return self.use_slot(request, slot);
        }
        self.offer(now, request, view)
    }

    fn offer(&mut self, now: Timestamp, request: RequestId, view: &View) -> Vec<FrontOutput> {
        let Some(pending) = self.pending.get_mut(&request) else {
            return Vec::new();
        };
        let queue = pending.arrival.queue.clone();
        let Some(owner) = view.owner(&queue.to_string()) else {
            pending.stage = Stage::Unoffered {
                not_before: now + self.settings.offer_interval,
            };
            return Vec::new();
        };
        pending.stage = Stage::Waiting {
            owner: owner.clone(),
            offered: now,
        };
        let ticket = Ticket {
            id: pending.ticket_id(),
            queue,
            class: pending.arrival.class,
            remaining: pending.arrival.deadline.since(now),
        };
        vec![FrontOutput::Offer(owner.clone(), ticket)]
    }

    fn use_slot(&mut self, request: RequestId, slot: Slot) -> Vec<FrontOutput> {
        let Some(pending) = self.pending.get_mut(&request) else {
            return Vec::new();
        };
        if let Some(key) = pending.arrival.key.clone()
            && !pending.claimed
        {
            pending.stage = Stage::Claiming(slot);
            return vec![FrontOutput::Claim(request, key)];
        }
        let back_end = slot.back_end.clone();
        pending.stage = Stage::Running(slot);
        self.unsent.remove(&request);
        vec![FrontOutput::Dispatch(pending.ticket_id(), back_end)]
    }

    /// Whether this attempt of the request waits in an owner's queue.
    fn is_waiting(&self, id: TicketId) -> bool {
        self.pending.get(&id.request).is_some_and(|pending| {
            pending.attempt == id.attempt && matches!(pending.stage, Stage::Waiting { .. })
        })
    }

    /// Applies a grant from an owner.
    pub fn apply_grant(
        &mut self,
        now: Timestamp,
        owner: &NodeId,
        grant: Grant,
        view: &View,
        machines: &MachineTable,
    ) -> Vec<FrontOutput> {
        if grant.credits > 0 {
            self.credits
                .entry(grant.queue.clone())
                .or_default()
                .push(Credit {
                    owner: owner.clone(),
                    back_end: grant.back_end.clone(),
                    remaining: grant.credits,
                    expires: now + self.settings.grant_validity,
                    is_retained: false,
                });
        }
        let slot = Slot {
            owner: owner.clone(),
            back_end: grant.back_end.clone(),
            since: now,
            retainable: grant.retainable,
        };
        if !self.is_waiting(grant.id) {
            self.release_slot(now, &grant.queue, &slot, false, false);
            return Vec::new();
        }
        if !may_receive_requests(machines, &grant.back_end) {
            self.release_slot(now, &grant.queue, &slot, false, true);
            return self.offer(now, grant.id.request, view);
        }
        self.use_slot(grant.id.request, slot)
    }

    /// Applies a refusal from an owner.
    pub fn apply_refusal(&mut self, id: TicketId, refusal: Refusal) -> Vec<FrontOutput> {
        if !self.is_waiting(id) {
            return Vec::new();
        }
        self.finish_refused(id.request, refusal.reason, refusal.retry_after)
    }

    /// Offers the tickets again that an owner returned.
    pub fn reoffer_tickets(
        &mut self,
        now: Timestamp,
        ids: &[TicketId],
        view: &View,
    ) -> Vec<FrontOutput> {
        let mut output = Vec::new();
        for id in ids {
            if self.is_waiting(*id) {
                output.extend(self.offer(now, id.request, view));
            }
        }
        output
    }

    /// Applies the result of a claim.
    pub fn apply_claim_result(
        &mut self,
        now: Timestamp,
        request: RequestId,
        verdict: ClaimOutcome,
    ) -> Vec<FrontOutput> {
        let Some(pending) = self.pending.get_mut(&request) else {
            return Vec::new();
        };
        let Stage::Claiming(slot) = pending.stage.clone() else {
            return Vec::new();
        };
        match verdict {
            ClaimOutcome::Won => {
                pending.claimed = true;
                self.use_slot(request, slot)
            }
            ClaimOutcome::Taken => {
                let queue = pending.arrival.queue.clone();
                pending.ran = ExecutionStatus::Unknown;
                self.release_slot(now, &queue, &slot, false, false);
                self.finish_refused(request, RefusalReason::KeyUsed, None)
            }
            ClaimOutcome::InDoubt { retry_after } => {
                let queue = pending.arrival.queue.clone();
                self.release_slot(now, &queue, &slot, false, false);
                self.finish_refused(request, RefusalReason::KeyInDoubt, Some(retry_after))
            }
        }
    }

    /// Applies the outcome of an attempt.
    pub fn apply_outcome(
        &mut self,
        now: Timestamp,
        id: TicketId,
        outcome: AttemptOutcome,
    ) -> Vec<FrontOutput> {
        let Some(pending) = self.pending.get_mut(&id.request) else {
            return Vec::new();
        };
        let Stage::Running(slot) = pending.stage.clone() else {
            return Vec::new();
        };
        if pending.attempt != id.attempt {
            return Vec::new();
        }
        let queue = pending.arrival.queue.clone();
        let is_completed = outcome == AttemptOutcome::Completed;
        let has_failure = matches!(
            outcome,
            AttemptOutcome::NotSent
                | AttemptOutcome::NotStarted
                | AttemptOutcome::LostBeforeResponse
        );
        let is_repeatable = pending.arrival.repeatable;
        if outcome == AttemptOutcome::LostBeforeResponse {
            pending.ran = ExecutionStatus::Unknown;
        }
        if !(is_completed && self.retain(now, &queue, &slot)) {
            self.release_slot(now, &queue, &slot, is_completed, has_failure);
        }
        let mut output = match outcome {
            AttemptOutcome::Completed => self.finish_completed(id.request),
            AttemptOutcome::NotSent | AttemptOutcome::NotStarted => {
                self.schedule_retry(now, id.request)
            }
            AttemptOutcome::LostBeforeResponse if is_repeatable => {
                self.schedule_retry(now, id.request)
            }
            AttemptOutcome::LostBeforeResponse => {
                self.finish_refused(id.request, RefusalReason::ConnectionLost, None)
            }
            AttemptOutcome::LostDuringResponse | AttemptOutcome::CallerDisconnected => {
                self.counts.unknown += 1;
                self.remove(id.request);
                Vec::new()
            }
        };
        output.extend(self.flush_releases(RELEASE_BATCH_SLOTS));
        output
    }

    fn schedule_retry(&mut self, now: Timestamp, request: RequestId) -> Vec<FrontOutput> {
        let Some(pending) = self.pending.get_mut(&request) else {
            return Vec::new();
        };
        let attempt = pending.attempt.0;
        let pause = backoff(&self.settings, attempt, &mut self.random);
        let not_before = now + pause;
        let may_retry = attempt < self.settings.attempts
            && not_before < pending.arrival.deadline
            && self.budget.take_permit();
        if !may_retry {
            let retry_after = Some(self.settings.backoff_limit);
            return self.finish_refused(request, RefusalReason::RetriesExhausted, retry_after);
        }
        self.counts.retries += 1;
        pending.attempt = Attempt(attempt + 1);
        pending.stage = Stage::Unoffered { not_before };
        self.unsent.insert(request);
        Vec::new()
    }

    fn finish_completed(&mut self, request: RequestId) -> Vec<FrontOutput> {
        self.counts.completed += 1;
        let key = self.remove(request).and_then(|pending| pending.arrival.key);
        match key {
            Some(key) => vec![FrontOutput::CompleteClaim(request, key)],
            None => Vec::new(),
        }
    }

    fn finish_refused(
        &mut self,
        request: RequestId,
        reason: RefusalReason,
        retry_after: Option<u64>,
    ) -> Vec<FrontOutput> {
        let Some(pending) = self.remove(request) else {
            return Vec::new();
        };
        match pending.ran {
            ExecutionStatus::No => self.counts.refused += 1,
            ExecutionStatus::Unknown => self.counts.unknown += 1,
        }
        let refusal = Refusal {
            reason,
            ran: pending.ran,
            retry_after,
        };
        let mut output = Vec::new();
        let is_unsent = pending.ran == ExecutionStatus::No;
        if let Some(key) = pending.arrival.key
            && is_unsent
        {
            output.push(FrontOutput::WithdrawClaim(request, key));
        }
        output.push(FrontOutput::Refuse(request, refusal));
        output
    }

    fn remove(&mut self, request: RequestId) -> Option<Pending> {
        self.unsent.remove(&request);
        self.pending.remove(&request)
    }

    /// Removes a request whose caller disconnected before the request was sent.
    pub fn cancel_request(&mut self, now: Timestamp, request: RequestId) -> Vec<FrontOutput> {
        if !self.unsent.contains(&request) {
            return Vec::new();
        }
        let Some(pending) = self.remove(request) else {
            return Vec::new();
        };
        self.counts.refused += 1;
        self.cancel_unsent(now, &pending)
    }

    /// Messages to the queue owner or the claim group when an unsent request
    /// ends at this front.
    fn cancel_unsent(&mut self, now: Timestamp, pending: &Pending) -> Vec<FrontOutput> {
        let queue = &pending.arrival.queue;
        match &pending.stage {
            Stage::Waiting { owner, .. } => vec![FrontOutput::Cancel(
                owner.clone(),
                queue.clone(),
                pending.ticket_id(),
            )],
            Stage::Claiming(slot) => {
                self.release_slot(now, queue, slot, false, false);
                match &pending.arrival.key {
                    Some(key) => vec![FrontOutput::WithdrawClaim(
                        pending.arrival.request,
                        key.clone(),
                    )],
                    None => Vec::new(),
                }
            }
            Stage::Unoffered { .. } | Stage::Running(_) => Vec::new(),
        }
    }

    /// Refuses requests past their deadlines, repeats offers that got no
    /// response within the offer interval, and returns unused credits.
    pub fn tick(
        &mut self,
        now: Timestamp,
        view: &View,
        machines: &MachineTable,
    ) -> Vec<FrontOutput> {
        let mut output = Vec::new();
        let mut unsent: Vec<RequestId> = self.unsent.iter().copied().collect();
        unsent.sort_unstable();
        for request in unsent {
            output.extend(self.check_unsent(now, request, view, machines));
        }
        self.return_expired_credits(now, machines);
        output.extend(self.flush_releases(1));
        if self.account_reports.due(now) {
            output.extend(self.report_held_slots());
        }
        output
    }

    fn check_unsent(
        &mut self,
        now: Timestamp,
        request: RequestId,
        view: &View,
        machines: &MachineTable,
    ) -> Vec<FrontOutput> {
        let Some(pending) = self.pending.get(&request) else {
            return Vec::new();
        };
        if pending.arrival.deadline <= now {
            let pending = pending.clone();
            let mut output = self.cancel_unsent(now, &pending);
            let retry_after = Some(self.settings.backoff_limit);
            output.extend(self.finish_refused(request, RefusalReason::DeadlinePassed, retry_after));
            return output;
        }
        match &pending.stage {
            Stage::Unoffered { not_before } if *not_before <= now => {
                self.find_slot(now, request, view, machines)
            }
            Stage::Waiting { owner, offered } => {
                let is_unanswered = now.since(*offered) >= self.settings.offer_interval;
                let has_moved = view.owner(&pending.arrival.queue.to_string()) != Some(owner);
                if is_unanswered || has_moved {
                    return self.offer(now, request, view);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
}

fn may_receive_requests(machines: &MachineTable, back_end: &BackEndId) -> bool {
    machines
        .back_end(back_end)
        .is_some_and(|machine| machine.state == MachineState::Live)
}
