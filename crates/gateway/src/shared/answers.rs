//! What answers say of the back ends that give them, beside answering a request.

use gorsebank_fleet::RequestedPause;
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
            self.count_statement("leaving");
            let fields = format_args!("back_end={} source=answer", back_end.id);
            lines::write(Rank::Decision, "back_end_leaving", fields);
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

    fn count_statement(&self, kind: &str) {
        let statements = &self.metrics.back_end_statements;
        statements.with_label_values(&[kind]).inc();
    }
}
