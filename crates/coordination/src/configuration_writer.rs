//! Writes operators' changes to the table service, one at a time.
//!
//! In: changes, table answers, time. Out: transactions, and a result for each
//! change. Every write compares the head row, which carries the newest dense
//! revision, so two writers can never both follow the same revision. A write
//! whose answer was lost is sent again unchanged: if the first took effect,
//! the second conflicts and reads this node's writer row, which names it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use gorsebank_contract::{
    Compare, Incarnation, Put, Revision, TableAnswer, TableRow, Transaction, TransactionId,
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

/// A change without a result after so long is answered as unknown.
const CHANGE_TIMEOUT: u64 = 8_000;
/// Pause before a transaction is sent again.
const RESEND_PAUSE: u64 = 300;
/// So long the other nodes get to bring this one up to date before it reads
/// the whole configuration from the table.
const CATCH_UP_PAUSE: u64 = 1_000;
/// Between two looks at the head row by the node that has this duty.
const HEAD_INTERVAL: u64 = 5_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    revision: u64,
}

/// Rows that became known from the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Learned {
    /// All rows above this revision...
    pub above: Revision,
    /// ...up to this one.
    pub complete: Revision,
    /// The rows.
    pub rows: Vec<Arc<Row>>,
}

/// What the writer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum WriterOutput {
    /// Run a transaction.
    Transact(u64, Transaction),
    /// Merge and spread rows.
    Learned(Learned),
    /// Answer an operator.
    Answer(ChangeId, Result<Row, ChangeError>),
}

#[derive(Debug)]
struct Waiting {
    id: ChangeId,
    change: Change,
    expires: Timestamp,
}

#[derive(Debug)]
enum Step {
    ReadHead,
    ReadAll,
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

/// The writer of one node.
#[derive(Debug)]
pub struct ConfigurationWriter {
    node: NodeId,
    incarnation: Incarnation,
    waiting: VecDeque<Waiting>,
    in_flight: Option<InFlight>,
    /// A write without an answer, which must be settled before anything else.
    unsettled: Option<Step>,
    resume_at: Timestamp,
    behind_since: Option<Timestamp>,
    head_modified: u64,
    numbers: u64,
    looks: Periodic,
}

impl ConfigurationWriter {
    /// A writer without work.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        ConfigurationWriter {
            node,
            incarnation,
            waiting: VecDeque::new(),
            in_flight: None,
            unsettled: None,
            resume_at: Timestamp(0),
            behind_since: None,
            head_modified: 0,
            numbers: 0,
            looks: Periodic::every(HEAD_INTERVAL),
        }
    }

    /// Takes in a change.
    pub fn submit(&mut self, now: Timestamp, id: ChangeId, change: Change) {
        self.waiting.push_back(Waiting {
            id,
            change,
            expires: now + CHANGE_TIMEOUT,
        });
    }

    /// Whether changes wait for a result.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none() && self.unsettled.is_none()
    }

    /// Goes on with whatever is next. `on_duty` says whether this node is the
    /// one that looks at the head row for its cell.
    pub fn step(
        &mut self,
        now: Timestamp,
        configuration: &Configuration,
        on_duty: bool,
    ) -> Vec<WriterOutput> {
        let mut output = self.expire(now);
        if self.in_flight.is_some() || now < self.resume_at {
            return output;
        }
        if let Some(step) = self.unsettled.take() {
            output.push(self.send(step));
            return output;
        }
        let look = on_duty && self.looks.due(now);
        if look || !self.waiting.is_empty() {
            let step = self.reading_step(now, configuration);
            output.push(self.send(step));
        }
        output
    }

    fn reading_step(&mut self, now: Timestamp, configuration: &Configuration) -> Step {
        let patient = self
            .behind_since
            .is_none_or(|since| now.since(since) < CATCH_UP_PAUSE);
        if patient && configuration.complete() > Revision(0) {
            Step::ReadHead
        } else {
            Step::ReadAll
        }
    }

    fn expire(&mut self, now: Timestamp) -> Vec<WriterOutput> {
        let (expired, kept): (VecDeque<Waiting>, VecDeque<Waiting>) = self
            .waiting
            .drain(..)
            .partition(|waiting| waiting.expires <= now);
        self.waiting = kept;
        expired
            .into_iter()
            .map(|waiting| WriterOutput::Answer(waiting.id, Err(ChangeError::Unknown)))
            .collect()
    }

    fn send(&mut self, step: Step) -> WriterOutput {
        self.numbers += 1;
        let transaction = match &step {
            Step::ReadHead => reading(&[HEAD_KEY]),
            Step::ReadAll => reading(&[HEAD_KEY, ROWS_PREFIX]),
            Step::Write(write) => write.transaction.clone(),
        };
        self.in_flight = Some(InFlight {
            number: self.numbers,
            step,
        });
        WriterOutput::Transact(self.numbers, transaction)
    }

    /// Takes in the table's answer to transaction `number`.
    pub fn answered(
        &mut self,
        now: Timestamp,
        number: u64,
        answer: TableAnswer,
        configuration: &Configuration,
    ) -> Vec<WriterOutput> {
        let Some(in_flight) = self.in_flight.take_if(|sent| sent.number == number) else {
            return Vec::new();
        };
        match (in_flight.step, answer) {
            (step @ Step::Write(_), TableAnswer::Unknown) => {
                self.unsettled = Some(step);
                self.resume_at = now + RESEND_PAUSE;
                Vec::new()
            }
            (_, TableAnswer::Refused { .. } | TableAnswer::Unknown) => {
                self.resume_at = now + RESEND_PAUSE;
                Vec::new()
            }
            (Step::ReadHead, answer) => self.head_read(now, &answer.into_rows(), configuration),
            (Step::ReadAll, answer) => self.all_read(&answer.into_rows(), configuration),
            (Step::Write(write), TableAnswer::Committed { .. }) => self.written(*write),
            (Step::Write(write), TableAnswer::Conflict { rows }) => {
                if self.wrote(&rows, &write.id) {
                    return self.written(*write);
                }
                self.looks.hurry();
                Vec::new()
            }
        }
    }

    fn wrote(&self, rows: &[TableRow], id: &TransactionId) -> bool {
        let key = writer_key(&self.node);
        rows.iter()
            .find(|row| row.key == key)
            .and_then(|row| serde_json::from_str::<TransactionId>(&row.value).ok())
            .is_some_and(|written| written == *id)
    }

    fn written(&mut self, write: Write) -> Vec<WriterOutput> {
        let learned = Learned {
            above: Revision(write.row.revision - 1),
            complete: Revision(write.row.revision),
            rows: vec![Arc::new(write.row.clone())],
        };
        let mut output = vec![WriterOutput::Learned(learned)];
        let position = self
            .waiting
            .iter()
            .position(|waiting| waiting.id == write.change);
        if let Some(waiting) = position.and_then(|index| self.waiting.remove(index)) {
            output.push(WriterOutput::Answer(waiting.id, Ok(write.row)));
        }
        output
    }

    fn head_read(
        &mut self,
        now: Timestamp,
        rows: &[TableRow],
        configuration: &Configuration,
    ) -> Vec<WriterOutput> {
        let head = self.note_head(rows);
        if head > configuration.complete().0 {
            self.behind_since.get_or_insert(now);
            self.resume_at = now + RESEND_PAUSE;
            self.looks.hurry();
            return Vec::new();
        }
        self.behind_since = None;
        if head < configuration.complete().0 {
            // The table answered from before a write of which others told us.
            self.resume_at = now + RESEND_PAUSE;
            return Vec::new();
        }
        self.write_next(configuration)
    }

    fn all_read(&mut self, rows: &[TableRow], configuration: &Configuration) -> Vec<WriterOutput> {
        let head = self.note_head(rows);
        self.behind_since = None;
        if head <= configuration.complete().0 {
            return self.write_next(configuration);
        }
        let rows = rows
            .iter()
            .filter(|row| row.key.starts_with(ROWS_PREFIX))
            .filter_map(|row| serde_json::from_str::<Row>(&row.value).ok())
            .map(Arc::new)
            .collect();
        vec![WriterOutput::Learned(Learned {
            above: Revision(0),
            complete: Revision(head),
            rows,
        })]
    }

    fn note_head(&mut self, rows: &[TableRow]) -> u64 {
        let row = rows.iter().find(|row| row.key == HEAD_KEY);
        self.head_modified = row.map_or(0, |row| row.modified);
        row.and_then(|row| serde_json::from_str::<Head>(&row.value).ok())
            .map_or(0, |head| head.revision)
    }

    fn write_next(&mut self, configuration: &Configuration) -> Vec<WriterOutput> {
        let mut output = Vec::new();
        while let Some(waiting) = self.waiting.front() {
            let revision = configuration.complete().next();
            match build_row(configuration, &waiting.change, revision.0) {
                Ok(row) => {
                    let step = self.write_step(waiting.id, row);
                    output.push(self.send(step));
                    return output;
                }
                Err(error) => {
                    output.push(WriterOutput::Answer(waiting.id, Err(error)));
                    self.waiting.pop_front();
                }
            }
        }
        output
    }

    fn write_step(&self, change: ChangeId, row: Row) -> Step {
        let id = TransactionId {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number: self.numbers + 1,
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

/// JSON text of a row's value. Row values are plain data, which always encodes.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("a row value encodes as JSON")
}

fn reading(keys: &[&str]) -> Transaction {
    Transaction {
        compares: Vec::new(),
        puts: Vec::new(),
        reads: keys.iter().map(|key| (*key).to_owned()).collect(),
    }
}

/// Labels to set and to remove, as commands give them: `key=value` and `key-`.
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
