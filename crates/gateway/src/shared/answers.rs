//! What answers say of the back ends that give them, beside answering a request.

use gorsebank_fleet::{RequestedPause, ToldDeparture};
use tokio::time::Instant;

use super::Shared;
use crate::back_end::BackEnd;
use crate::lines::{self, Rank};
use crate::ports::AnswerMarks;

impl Shared {
    /// A back end's answer to a request that was sent at `sent` says this.
    pub fn note_answer(&self, back_end: &BackEnd, sent: Instant, marks: &AnswerMarks) {
        self.note_statement(back_end, sent.elapsed(), marks.limit);
        if marks.is_leaving {
            self.note_departure(back_end);
        }
        match marks.pause {
            RequestedPause::None => {}
            RequestedPause::For(pause) => {
                self.count_statement("pause");
                let fields = format_args!(
                    "back_end={} pause_ms={} in_flight={}",
                    back_end.id,
                    pause.as_millis(),
                    back_end.in_flight(),
                );
                lines::write(Rank::Decision, "back_end_pause", fields);
            }
            RequestedPause::Unreadable => {
                let fields = format_args!("back_end={} reason=no_number", back_end.id);
                lines::write(Rank::Decision, "back_end_pause_refused", fields);
            }
        }
    }

    /// A back end says in an answer that it leaves. Its row may come much later, if the table is
    /// out of order, so what the answer says counts by itself.
    pub fn note_departure(&self, back_end: &BackEnd) {
        self.count_statement("leaving");
        if self.directory(|directory| directory.has_departed(back_end)) {
            return;
        }
        let now = self.now();
        let mut is_news = false;
        self.change_directory(|directory| is_news = directory.note_departure(now, back_end));
        if is_news {
            log_departure(back_end, "answer");
        }
    }

    /// Another gateway tells of back ends that leave.
    pub fn note_told_departures(&self, told: &[ToldDeparture]) {
        if self.directory(|directory| directory.knows_departures(told)) {
            return;
        }
        let now = self.now();
        let mut leaving = Vec::new();
        self.change_directory(|directory| leaving = directory.take_departures(now, told));
        let leaving = leaving.iter();
        leaving.for_each(|back_end| log_departure(back_end, "gateway"));
    }

    /// What other gateways should know of back ends that leave.
    pub fn told_departures(&self) -> Vec<ToldDeparture> {
        let now = self.now();
        self.directory(|directory| directory.told_departures(now))
    }

    fn count_statement(&self, kind: &str) {
        let statements = &self.metrics.back_end_statements;
        statements.with_label_values(&[kind]).inc();
    }
}

fn log_departure(back_end: &BackEnd, source: &str) {
    let fields = format_args!(
        "back_end={} source={source} in_flight={}",
        back_end.id,
        back_end.in_flight(),
    );
    lines::write(Rank::Decision, "back_end_leaving", fields);
}
