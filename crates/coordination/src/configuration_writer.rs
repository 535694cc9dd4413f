//! Writes operators' changes to the table service, one at a time.
//!
//! The inputs are changes, responses of the table and the time. The outputs are
//! transactions, and a result for each change. Every write compares the head
//! row, which holds the latest revision, so that two writers cannot both write
//! the successor of one revision. A write whose response was lost is resent
//! unchanged. If the first write took effect, the second one conflicts and
//! reads this node's writer row, which contains the id of the first write.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use gorsebank_contract::{
    Compare, Incarnation, Put, Revision, TableRow, Transaction, TransactionId, TransactionResult,
};
use gorsebank_world::{NodeId, Row};
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::configuration_check::build_row;
use crate::event::{Change, ChangeError, ChangeId};
use crate::time::{Periodic, Timestamp};

const HEAD_KEY: &str = "configuration/head";
const ROWS_PREFIX: &str = "configuration/rows/";
const WRITERS_PREFIX: &str = "configuration/writers/";

/// Time after which a change without a result is reported as unknown.
const CHANGE_TIMEOUT_MS: u64 = 8_000;
/// Delay before the next transaction after a failed one.
const RESEND_DELAY_MS: u64 = 300;
/// Time for which a node whose configuration is behind the head row waits for
/// rows from other nodes before it reads the complete configuration from the
/// table.
const CATCH_UP_TIMEOUT_MS: u64 = 1_000;
/// Interval at which the node that is responsible for the head row reads it.
const HEAD_READ_INTERVAL_MS: u64 = 5_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    revision: u64,
}

/// Configuration rows of a range of revisions.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationDelta {
    /// Revision below the range.
    pub above: Revision,
    /// Last revision of the range.
    pub complete: Revision,
    /// All rows of the range.
    pub rows: Vec<Arc<Row>>,
}

/// Output of the writer, to be carried out by the node.
#[derive(Clone, Debug, PartialEq)]
pub enum WriterOutput {
    /// Run the transaction with this number.
    Transact(u64, Transaction),
    /// Merge rows into the configuration and send them to other nodes.
    Merge(ConfigurationDelta),
    /// Return the result of a change to the operator.
    Answer(ChangeId, Result<Row, ChangeError>),
}

#[derive(Debug)]
struct PendingChange {
    id: ChangeId,
    change: Change,
    expires: Timestamp,
}

/// Transaction of the writer.
#[derive(Debug)]
enum Step {
    /// Read the head row.
    ReadHead,
    /// Read the head row and all configuration rows.
    ReadAll,
    /// Write a configuration row.
    Write(Box<Write>),
}

#[derive(Clone, Debug)]
struct Write {
    change: ChangeId,
    row: Row,
    transaction: Transaction,
    id: TransactionId,
}

#[derive(Debug)]
struct InFlight {
    number: u64,
    step: Step,
}

/// Configuration writer of one node.
#[derive(Debug)]
pub struct ConfigurationWriter {
    node: NodeId,
    incarnation: Incarnation,
    pending: VecDeque<PendingChange>,
    in_flight: Option<InFlight>,
    /// Write without a response, which must be resent before any other step.
    unconfirmed_write: Option<Step>,
    /// Time before which no transaction is started.
    resume_at: Timestamp,
    /// Time since which the configuration has been behind the head row.
    behind_since: Option<Timestamp>,
    /// Table revision that last wrote the head row; 0 if the row does not exist.
    head_modified: u64,
    /// Number of the last transaction.
    last_number: u64,
    head_read_timer: Periodic,
}

impl ConfigurationWriter {
    /// Creates a writer without pending changes.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        ConfigurationWriter {
            node,
            incarnation,
            pending: VecDeque::new(),
            in_flight: None,
            unconfirmed_write: None,
            resume_at: Timestamp(0),
            behind_since: None,
            head_modified: 0,
            last_number: 0,
            head_read_timer: Periodic::every(HEAD_READ_INTERVAL_MS),
        }
    }

    /// Adds a change to the queue.
    pub fn submit(&mut self, now: Timestamp, id: ChangeId, change: Change) {
        self.pending.push_back(PendingChange {
            id,
            change,
            expires: now + CHANGE_TIMEOUT_MS,
        });
    }

    /// Whether no change waits for a result and no transaction is in flight.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none() && self.unconfirmed_write.is_none()
    }

    /// Starts the next transaction if none is in flight. `is_head_reader` tells
    /// whether this node polls the head row for its cell.
    pub fn tick(
        &mut self,
        now: Timestamp,
        configuration: &Configuration,
        is_head_reader: bool,
    ) -> Vec<WriterOutput> {
        let mut output = self.expire(now);
        if self.in_flight.is_some() || now < self.resume_at {
            return output;
        }
        if let Some(step) = self.unconfirmed_write.take() {
            output.push(self.send(step));
            return output;
        }
        let is_read_due = is_head_reader && self.head_read_timer.due(now);
        if is_read_due || !self.pending.is_empty() {
            let step = self.next_read_step(now, configuration);
            output.push(self.send(step));
        }
        output
    }

    fn next_read_step(&mut self, now: Timestamp, configuration: &Configuration) -> Step {
        let may_wait = self
            .behind_since
            .is_none_or(|since| now.since(since) < CATCH_UP_TIMEOUT_MS);
        if may_wait && configuration.complete() > Revision(0) {
            Step::ReadHead
        } else {
            Step::ReadAll
        }
    }

    fn expire(&mut self, now: Timestamp) -> Vec<WriterOutput> {
        let (expired, remaining): (VecDeque<PendingChange>, VecDeque<PendingChange>) = self
            .pending
            .drain(..)
            .partition(|pending| pending.expires <= now);
        self.pending = remaining;
        expired
            .into_iter()
            .map(|pending| WriterOutput::Answer(pending.id, Err(ChangeError::Unknown)))
            .collect()
    }

    fn send(&mut self, step: Step) -> WriterOutput {
        self.last_number += 1;
        let transaction = match &step {
            Step::ReadHead => read_transaction(&[HEAD_KEY]),
            Step::ReadAll => read_transaction(&[HEAD_KEY, ROWS_PREFIX]),
            Step::Write(write) => write.transaction.clone(),
        };
        self.in_flight = Some(InFlight {
            number: self.last_number,
            step,
        });
        WriterOutput::Transact(self.last_number, transaction)
    }

    /// Handles the response of the table to transaction `number`.
    pub fn handle_answer(
        &mut self,
        now: Timestamp,
        number: u64,
        answer: TransactionResult,
        configuration: &Configuration,
    ) -> Vec<WriterOutput> {
        let Some(in_flight) = self.in_flight.take_if(|sent| sent.number == number) else {
            return Vec::new();
        };
        match (in_flight.step, answer) {
            (step @ Step::Write(_), TransactionResult::Unknown) => {
                self.unconfirmed_write = Some(step);
                self.resume_at = now + RESEND_DELAY_MS;
                Vec::new()
            }
            (_, TransactionResult::Refused { .. } | TransactionResult::Unknown) => {
                self.resume_at = now + RESEND_DELAY_MS;
                Vec::new()
            }
            (Step::ReadHead, answer) => self.handle_head(now, &answer.into_rows(), configuration),
            (Step::ReadAll, answer) => self.handle_all_rows(&answer.into_rows(), configuration),
            (Step::Write(write), TransactionResult::Committed { .. }) => {
                self.complete_write(*write)
            }
            (Step::Write(write), TransactionResult::Conflict { rows }) => {
                if self.has_written(&rows, &write.id) {
                    return self.complete_write(*write);
                }
                self.head_read_timer.make_due();
                Vec::new()
            }
        }
    }

    fn has_written(&self, rows: &[TableRow], id: &TransactionId) -> bool {
        let key = writer_key(&self.node);
        rows.iter()
            .find(|row| row.key == key)
            .and_then(|row| serde_json::from_str::<TransactionId>(&row.value).ok())
            .is_some_and(|written| written == *id)
    }

    fn complete_write(&mut self, write: Write) -> Vec<WriterOutput> {
        let delta = ConfigurationDelta {
            above: Revision(write.row.revision - 1),
            complete: Revision(write.row.revision),
            rows: vec![Arc::new(write.row.clone())],
        };
        let mut output = vec![WriterOutput::Merge(delta)];
        let position = self
            .pending
            .iter()
            .position(|pending| pending.id == write.change);
        if let Some(pending) = position.and_then(|index| self.pending.remove(index)) {
            output.push(WriterOutput::Answer(pending.id, Ok(write.row)));
        }
        output
    }

    fn handle_head(
        &mut self,
        now: Timestamp,
        rows: &[TableRow],
        configuration: &Configuration,
    ) -> Vec<WriterOutput> {
        let head = self.record_head(rows);
        if head > configuration.complete().0 {
            self.behind_since.get_or_insert(now);
            self.resume_at = now + RESEND_DELAY_MS;
            self.head_read_timer.make_due();
            return Vec::new();
        }
        self.behind_since = None;
        if head < configuration.complete().0 {
            // The response is older than a write that other nodes have announced.
            self.resume_at = now + RESEND_DELAY_MS;
            return Vec::new();
        }
        self.start_next_write(configuration)
    }

    fn handle_all_rows(
        &mut self,
        rows: &[TableRow],
        configuration: &Configuration,
    ) -> Vec<WriterOutput> {
        let head = self.record_head(rows);
        self.behind_since = None;
        if head <= configuration.complete().0 {
            return self.start_next_write(configuration);
        }
        let rows = rows
            .iter()
            .filter(|row| row.key.starts_with(ROWS_PREFIX))
            .filter_map(|row| serde_json::from_str::<Row>(&row.value).ok())
            .map(Arc::new)
            .collect();
        vec![WriterOutput::Merge(ConfigurationDelta {
            above: Revision(0),
            complete: Revision(head),
            rows,
        })]
    }

    fn record_head(&mut self, rows: &[TableRow]) -> u64 {
        let row = rows.iter().find(|row| row.key == HEAD_KEY);
        self.head_modified = row.map_or(0, |row| row.modified);
        row.and_then(|row| serde_json::from_str::<Head>(&row.value).ok())
            .map_or(0, |head| head.revision)
    }

    fn start_next_write(&mut self, configuration: &Configuration) -> Vec<WriterOutput> {
        let mut output = Vec::new();
        while let Some(pending) = self.pending.front() {
            let revision = configuration.complete().next();
            match build_row(configuration, &pending.change, revision.0) {
                Ok(row) => {
                    let step = self.build_write(pending.id, row);
                    output.push(self.send(step));
                    return output;
                }
                Err(error) => {
                    output.push(WriterOutput::Answer(pending.id, Err(error)));
                    self.pending.pop_front();
                }
            }
        }
        output
    }

    fn build_write(&self, change: ChangeId, row: Row) -> Step {
        let id = TransactionId {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number: self.last_number + 1,
        };
        let head = Head {
            revision: row.revision,
        };
        let writer = writer_key(&self.node);
        let transaction = Transaction {
            compares: vec![Compare {
                key: HEAD_KEY.to_owned(),
                modified: self.head_modified,
            }],
            puts: vec![
                put(HEAD_KEY.to_owned(), &head),
                put(format!("{ROWS_PREFIX}{}", row.key), &row),
                put(writer.clone(), &id),
            ],
            reads: vec![HEAD_KEY.to_owned(), writer],
        };
        Step::Write(Box::new(Write {
            change,
            row,
            transaction,
            id,
        }))
    }
}

fn writer_key(node: &NodeId) -> String {
    format!("{WRITERS_PREFIX}{node}")
}

fn put(key: String, value: &impl Serialize) -> Put {
    Put {
        key,
        value: to_json(value),
    }
}

/// Encodes a row's value as JSON. Row values are plain data, which always encodes.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("a row value encodes as JSON")
}

fn read_transaction(keys: &[&str]) -> Transaction {
    Transaction {
        compares: Vec::new(),
        puts: Vec::new(),
        reads: keys.iter().map(|key| (*key).to_owned()).collect(),
    }
}

/// Parses the labels to set (`key=value`) and to remove (`key-`) of a command.
pub fn parse_label_edits(
    edits: &[String],
) -> Result<BTreeMap<String, Option<String>>, ChangeError> {
    let mut parsed = BTreeMap::new();
    for edit in edits {
        let (key, value) = match (edit.split_once('='), edit.strip_suffix('-')) {
            (Some((key, value)), _) => (key, Some(value.to_owned())),
            (None, Some(key)) => (key, None),
            (None, None) => {
                let reason = format!("label `{edit}`: expected `key=value` or `key-`");
                return Err(ChangeError::Invalid(reason));
            }
        };
        parsed.insert(key.to_owned(), value);
    }
    Ok(parsed)
}
