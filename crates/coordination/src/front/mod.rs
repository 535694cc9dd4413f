//! Requests that this node took from callers, from arrival to final answer.
//!
//! In: arrivals, grants, refusals, ends of attempts, claim results, time.
//! Out: tickets for queue owners, dispatches to back ends, final refusals.
//!
//! Invariants: a request gets exactly one final answer; at its deadline it is
//! refused at once if it was not sent. A request that may not be repeated is
//! sent at most once, and only after its key was claimed. A refusal says that
//! a request did not run only if no attempt of it may have.

mod credits;
mod slots;

use crate::collections::{HashMap, HashSet};

use gorsebank_contract::{
    Attempt, AttemptOutcome, Grant, HeldSlots, Ran, Refusal, RefusalReason, RequestId, Ticket,
    TicketId,
};
use gorsebank_world::{BackEndId, MachineState, NodeId, QueueKey};
use rand_chacha::ChaCha8Rng;

use crate::claim_round::ClaimVerdict;
use crate::event::Arrival;
use crate::machines::MachineTable;
use crate::membership::View;
use crate::queues::Release;
use crate::retry::{RetryBudget, backoff};
use crate::settings::RoutingSettings;
use crate::time::{Periodic, Timestamp};

/// Owners are told so often which slots are held, in milliseconds.
const ACCOUNT_INTERVAL: u64 = 5_000;
/// So many slots are given back without waiting for the next tick.
const RELEASE_BATCH: u32 = 4;

/// What the front wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrontOutput {
    /// Offer a ticket to the owner of its queue.
    Offer(NodeId, Ticket),
    /// Take a ticket back from an owner.
    Cancel(NodeId, QueueKey, TicketId),
    /// Claim a key before the request is sent.
    Claim(RequestId, String),
    /// The claim of this request will not be used.
    WithdrawClaim(RequestId, String),
    /// The claimed request ran to its end.
    CompleteClaim(RequestId, String),
    /// Send the request to a back end.
    Dispatch(TicketId, BackEndId),
    /// Give the request its final answer.
    Refuse(RequestId, Refusal),
    /// Give slots back to an owner.
    Release(NodeId, Release),
    /// Tell an owner which slots are held.
    Account(NodeId, Vec<HeldSlots>),
}

/// A slot at a back end, held for one request.
#[derive(Clone, Debug)]
struct Slot {
    owner: NodeId,
    back_end: BackEndId,
    since: Timestamp,
    /// It may be kept for the next request once this one has ended.
    retainable: bool,
}

#[derive(Clone, Debug)]
enum Stage {
    /// Wants an owner.
    Unoffered { not_before: Timestamp },
    /// Waits in an owner's queue.
    Waiting { owner: NodeId, offered: Timestamp },
    /// Has a slot and waits for its claim.
    Claiming(Slot),
    /// Was sent.
    Running(Slot),
}

#[derive(Clone, Debug)]
struct Pending {
    arrival: Arrival,
    attempt: Attempt,
    stage: Stage,
    claimed: bool,
    ran: Ran,
}

impl Pending {
    fn ticket_id(&self) -> TicketId {
        TicketId {
            request: self.arrival.request,
            attempt: self.attempt,
        }
    }
}

/// Leave to send several requests to one back end.
#[derive(Clone, Debug)]
struct Credit {
    owner: NodeId,
    back_end: BackEndId,
    remaining: u32,
    expires: Timestamp,
    /// Kept from a request that ended, not granted for itself.
    is_retained: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct ReleaseKey {
    owner: NodeId,
    queue: QueueKey,
    back_end: BackEndId,
}

#[derive(Clone, Copy, Debug, Default)]
struct ReleaseSum {
    slots: u32,
    ended: u32,
    service_time: u64,
    troubled: bool,
}

/// Counts of what became of requests at this front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Answered in full by a back end.
    pub completed: u64,
    /// Refused, not run.
    pub refused: u64,
    /// Ended without an answer; they may have run.
    pub unknown: u64,
    /// Attempts repeated.
    pub retries: u64,
    /// Sent on a credit, without a message to the owner.
    pub on_credit: u64,
}

/// All requests of this node that have no final answer yet.
#[derive(Debug)]
pub struct Front {
    this: NodeId,
    settings: RoutingSettings,
    pending: HashMap<RequestId, Pending>,
    /// Requests that are not yet sent: these have deadlines to watch.
    unsent: HashSet<RequestId>,
    credits: HashMap<QueueKey, Vec<Credit>>,
    releases: HashMap<ReleaseKey, ReleaseSum>,
    /// Owners that were heard with a machine list no newer than this node's.
    current_owners: HashMap<NodeId, Timestamp>,
    /// Queues whose slots were recalled, until when none are kept.
    recalled: HashMap<QueueKey, Timestamp>,
    accounts: Periodic,
    /// Owners that were told of held slots last time.
    accounted: HashSet<NodeId>,
    budget: RetryBudget,
    random: ChaCha8Rng,
    counts: FrontCounts,
}

impl Front {
    /// A front without requests.
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
            accounts: Periodic::every(ACCOUNT_INTERVAL),
            accounted: HashSet::default(),
            random,
            counts: FrontCounts::default(),
        }
    }

    /// Counts so far.
    pub fn counts(&self) -> FrontCounts {
        self.counts
    }

    /// Requests without a final answer.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Takes in a request.
    pub fn arrive(
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
            ran: Ran::No,
        };
        self.pending.insert(request, pending);
        self.unsent.insert(request);
        self.seek_slot(now, request, view, machines)
    }

    /// Finds a credit for the request, or offers it to the queue's owner.
    fn seek_slot(
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

    /// Whether this try of the request waits in an owner's queue.
    fn is_waiting(&self, id: TicketId) -> bool {
        self.pending.get(&id.request).is_some_and(|pending| {
            pending.attempt == id.attempt && matches!(pending.stage, Stage::Waiting { .. })
        })
    }

    /// Takes in a grant.
    pub fn granted(
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
            self.give_back(now, &grant.queue, &slot, false, false);
            return Vec::new();
        }
        if !takes_work(machines, &grant.back_end) {
            self.give_back(now, &grant.queue, &slot, false, true);
            return self.offer(now, grant.id.request, view);
        }
        self.use_slot(grant.id.request, slot)
    }

    /// Takes in an owner's refusal.
    pub fn refused(&mut self, id: TicketId, refusal: Refusal) -> Vec<FrontOutput> {
        if !self.is_waiting(id) {
            return Vec::new();
        }
        self.finish_refused(id.request, refusal.reason, refusal.retry_after)
    }

    /// Offers tickets again that an owner handed back.
    pub fn returned(&mut self, now: Timestamp, ids: &[TicketId], view: &View) -> Vec<FrontOutput> {
        let mut output = Vec::new();
        for id in ids {
            if self.is_waiting(*id) {
                output.extend(self.offer(now, id.request, view));
            }
        }
        output
    }

    /// Takes in the result of a claim.
    pub fn claimed(
        &mut self,
        now: Timestamp,
        request: RequestId,
        verdict: ClaimVerdict,
    ) -> Vec<FrontOutput> {
        let Some(pending) = self.pending.get_mut(&request) else {
            return Vec::new();
        };
        let Stage::Claiming(slot) = pending.stage.clone() else {
            return Vec::new();
        };
        match verdict {
            ClaimVerdict::Won => {
                pending.claimed = true;
                self.use_slot(request, slot)
            }
            ClaimVerdict::Taken => {
                let queue = pending.arrival.queue.clone();
                pending.ran = Ran::Unknown;
                self.give_back(now, &queue, &slot, false, false);
                self.finish_refused(request, RefusalReason::KeyUsed, None)
            }
            ClaimVerdict::InDoubt { retry_after } => {
                let queue = pending.arrival.queue.clone();
                self.give_back(now, &queue, &slot, false, false);
                self.finish_refused(request, RefusalReason::KeyInDoubt, Some(retry_after))
            }
        }
    }

    /// Takes in the end of an attempt.
    pub fn attempt_ended(
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
        let ended = outcome == AttemptOutcome::Completed;
        let troubled = matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::NotStarted | AttemptOutcome::LostBeforeAnswer
        );
        let repeatable = pending.arrival.repeatable;
        if outcome == AttemptOutcome::LostBeforeAnswer {
            pending.ran = Ran::Unknown;
        }
        if !(ended && self.retain(now, &queue, &slot)) {
            self.give_back(now, &queue, &slot, ended, troubled);
        }
        let mut output = match outcome {
            AttemptOutcome::Completed => self.finish_completed(id.request),
            AttemptOutcome::NotSent | AttemptOutcome::NotStarted => self.try_again(now, id.request),
            AttemptOutcome::LostBeforeAnswer if repeatable => self.try_again(now, id.request),
            AttemptOutcome::LostBeforeAnswer => {
                self.finish_refused(id.request, RefusalReason::ConnectionLost, None)
            }
            AttemptOutcome::LostDuringAnswer | AttemptOutcome::CallerGone => {
                self.counts.unknown += 1;
                self.remove(id.request);
                Vec::new()
            }
        };
        output.extend(self.flush_releases(RELEASE_BATCH));
        output
    }

    fn try_again(&mut self, now: Timestamp, request: RequestId) -> Vec<FrontOutput> {
        let Some(pending) = self.pending.get_mut(&request) else {
            return Vec::new();
        };
        let attempt = pending.attempt.0;
        let pause = backoff(&self.settings, attempt, &mut self.random);
        let not_before = now + pause;
        let allowed = attempt < self.settings.attempts
            && not_before < pending.arrival.deadline
            && self.budget.withdraw();
        if !allowed {
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
            Ran::No => self.counts.refused += 1,
            Ran::Unknown => self.counts.unknown += 1,
        }
        let refusal = Refusal {
            reason,
            ran: pending.ran,
            retry_after,
        };
        let mut output = Vec::new();
        let never_sent = pending.ran == Ran::No;
        if let Some(key) = pending.arrival.key
            && never_sent
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

    /// Forgets a request whose caller went away before it was sent.
    pub fn abandoned(&mut self, now: Timestamp, request: RequestId) -> Vec<FrontOutput> {
        if !self.unsent.contains(&request) {
            return Vec::new();
        }
        let Some(pending) = self.remove(request) else {
            return Vec::new();
        };
        self.counts.refused += 1;
        self.leave_queue(now, &pending)
    }

    /// What is owed to others when an unsent request ends at this front.
    fn leave_queue(&mut self, now: Timestamp, pending: &Pending) -> Vec<FrontOutput> {
        let queue = &pending.arrival.queue;
        match &pending.stage {
            Stage::Waiting { owner, .. } => vec![FrontOutput::Cancel(
                owner.clone(),
                queue.clone(),
                pending.ticket_id(),
            )],
            Stage::Claiming(slot) => {
                self.give_back(now, queue, slot, false, false);
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

    /// Refuses what is past its deadline, offers again what has waited too long
    /// for a word, and gives unused credits back.
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
            output.extend(self.attend(now, request, view, machines));
        }
        self.return_expired_credits(now, machines);
        output.extend(self.flush_releases(1));
        if self.accounts.due(now) {
            output.extend(self.account());
        }
        output
    }

    fn attend(
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
            let mut output = self.leave_queue(now, &pending);
            let retry_after = Some(self.settings.backoff_limit);
            output.extend(self.finish_refused(request, RefusalReason::DeadlinePassed, retry_after));
            return output;
        }
        match &pending.stage {
            Stage::Unoffered { not_before } if *not_before <= now => {
                self.seek_slot(now, request, view, machines)
            }
            Stage::Waiting { owner, offered } => {
                let silent = now.since(*offered) >= self.settings.offer_interval;
                let moved = view.owner(&pending.arrival.queue.to_string()) != Some(owner);
                if silent || moved {
                    return self.offer(now, request, view);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }
}

fn takes_work(machines: &MachineTable, back_end: &BackEndId) -> bool {
    machines
        .back_end(back_end)
        .is_some_and(|machine| machine.state == MachineState::Live)
}
