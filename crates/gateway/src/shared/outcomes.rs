//! What becomes of requests at back ends, as far as others have to know it.
//!
//! In: ends and whole answers of this gateway's requests, and what others tell. Out: requests
//! that are kept away from back ends, and back ends that have ended; whoever waits looks again.

use std::collections::HashSet;
use std::net::SocketAddr;

use gorsebank_fleet::Fingerprint;
use gorsebank_fleet::quarantine::{BackEndHash, RunOutcome, Source, ToldOutcome};

use super::Shared;
use crate::quarantine::QuarantineNews;

impl Shared {
    /// Gateways that this one feeds told of requests under which back ends ended.
    pub fn note_told_outcomes(&self, told: &[ToldOutcome]) {
        self.note_told_ends(told);
        if self.quarantine.take(self.now(), told, Source::Below) {
            self.changed();
        }
    }

    /// The gateway at `address` answered with news of such requests.
    pub fn note_quarantine_news(&self, address: SocketAddr, news: &QuarantineNews) {
        self.note_told_ends(&news.events);
        if self.quarantine.take_news(self.now(), address, news) {
            self.changed();
        }
        // Gateways send news only after their own quarantine is initialized.
        self.note_quarantine_initialized();
    }

    /// Whoever was at an engine when it ended tells all others before they send there.
    fn note_told_ends(&self, told: &[ToldOutcome]) {
        let ended = told.iter().filter_map(|event| match event.outcome {
            RunOutcome::Ended(back_end) => Some(back_end),
            RunOutcome::Served => None,
        });
        let ended: HashSet<BackEndHash> = ended.collect();
        if !ended.is_empty() {
            let now = self.now();
            self.directory(|directory| directory.note_ended(now, &ended));
            self.changed();
        }
    }

    /// A row told which requests were kept away before this process began.
    pub fn recall_outcomes(&self, told: &[ToldOutcome]) {
        if self.quarantine.take(self.now(), told, Source::Beside) {
            self.changed();
        }
    }

    /// Marks the quarantine as initialized and wakes waiting requests. Returns true on the first
    /// call only.
    pub fn note_quarantine_initialized(&self) -> bool {
        let is_first = self.quarantine.note_initialized();
        if is_first {
            self.changed();
        }
        is_first
    }

    /// Whether requests have to wait for the verdicts from before the start. Before the back ends
    /// are known, requests are refused for want of one.
    pub fn awaits_quarantine(&self) -> bool {
        self.has_read_back_ends() && !self.quarantine.is_initialized()
    }

    /// A back end ended under a request of this gateway.
    pub fn note_end_under(&self, request: Fingerprint, back_end: BackEndHash) {
        if self.quarantine.note_end(self.now(), request, back_end) {
            self.changed();
        }
    }

    /// Rows of back ends went: whoever had lost a request there and was not told knows now
    /// that the back end had ended.
    pub fn note_gone_back_ends(&self) {
        let mut gone = Vec::new();
        self.change_directory(|directory| gone = directory.take_gone_unsaid());
        let now = self.now();
        for back_end in gone {
            for request in back_end.lost_before(now) {
                self.note_end_under(request, back_end.life_hash);
            }
        }
    }

    /// A back end answered a request of this gateway whole, and lives.
    pub fn note_whole_answer(&self, request: Fingerprint) {
        if self.quarantine.note_served(self.now(), request) {
            self.changed();
        }
    }
}
