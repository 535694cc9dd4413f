//! What each role costs: messages, bytes and processor time.

use std::collections::BTreeMap;
use std::time::Duration;

use gorsebank_contract::PeerMessage;
use gorsebank_coordination::Event;
use serde::Serialize;

/// A role that a node plays beside others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests and dispatches them.
    Front,
    /// Keeps queues.
    QueueOwner,
    /// Watches engines.
    Watcher,
    /// Decides placement.
    PlacementHolder,
    /// Heartbeats and the machine list.
    Membership,
    /// Spreads the configuration.
    Configuration,
    /// Keeps claims.
    Claims,
    /// What every node does on each tick, whatever its duties.
    Tick,
}

/// The role in which a node handles a message.
pub fn role_of_message(message: &PeerMessage) -> Role {
    match message {
        PeerMessage::Heartbeat(_) | PeerMessage::Machines { .. } | PeerMessage::MachinesWanted => {
            Role::Membership
        }
        PeerMessage::Tickets(_)
        | PeerMessage::Recall(_)
        | PeerMessage::Cancel { .. }
        | PeerMessage::Released { .. }
        | PeerMessage::Held(_)
        | PeerMessage::Replicas(_) => Role::QueueOwner,
        PeerMessage::Grants(_) | PeerMessage::Refused { .. } | PeerMessage::Returned(_) => {
            Role::Front
        }
        PeerMessage::Demand { .. } | PeerMessage::Suspect { .. } | PeerMessage::Report { .. } => {
            Role::PlacementHolder
        }
        PeerMessage::ConfigurationWanted { .. } | PeerMessage::Configuration { .. } => {
            Role::Configuration
        }
        PeerMessage::Claim { .. }
        | PeerMessage::ClaimAnswered { .. }
        | PeerMessage::ClaimEnded { .. }
        | PeerMessage::ClaimSeal { .. }
        | PeerMessage::ClaimSealed { .. }
        | PeerMessage::ClaimInstall { .. }
        | PeerMessage::ClaimInstalled { .. }
        | PeerMessage::ClaimGroupChanged(_)
        | PeerMessage::ClaimGroupWanted => Role::Claims,
    }
}

/// The role in which a node handles an event.
pub fn role_of_event(event: &Event) -> Role {
    match event {
        Event::Tick | Event::StopRequested => Role::Tick,
        Event::Received { message, .. } => role_of_message(message),
        Event::RequestArrived(_) | Event::RequestAbandoned(_) | Event::AttemptEnded { .. } => {
            Role::Front
        }
        Event::TableAnswered { .. } | Event::OrderAnswered { .. } => Role::PlacementHolder,
        Event::MachineListRead(_) => Role::Membership,
        Event::ReportRead { .. } => Role::Watcher,
        Event::ChangeRequested { .. } => Role::Configuration,
    }
}

/// Sums of one role.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Messages sent.
    pub messages: u64,
    /// Bytes of their frames.
    pub bytes: u64,
    /// Processor time in the decision logic.
    pub time: Duration,
}

/// Sums of one node, by role.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// By the role that sends or handles.
    pub roles: BTreeMap<Role, Cost>,
    /// Messages and bytes sent, by kind of message.
    pub kinds: BTreeMap<&'static str, (u64, u64)>,
}

impl Account {
    /// Counts a message.
    pub fn sent(&mut self, role: Role, kind: &'static str, bytes: u64) {
        let of_kind = self.kinds.entry(kind).or_default();
        of_kind.0 += 1;
        of_kind.1 += bytes;
        let cost = self.roles.entry(role).or_default();
        cost.messages += 1;
        cost.bytes += bytes;
    }

    /// Counts processor time.
    pub fn spent(&mut self, role: Role, time: Duration) {
        self.roles.entry(role).or_default().time += time;
    }

    /// Sums over all roles.
    pub fn total(&self) -> Cost {
        let mut total = Cost::default();
        for cost in self.roles.values() {
            total.messages += cost.messages;
            total.bytes += cost.bytes;
            total.time += cost.time;
        }
        total
    }

    /// Forgets everything so far.
    pub fn clear(&mut self) {
        self.roles.clear();
        self.kinds.clear();
    }
}
