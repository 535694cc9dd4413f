//! Records the outcomes of requests at back ends that other gateways need to know.
//!
//! Input: crashes of back ends under requests of this gateway, complete responses, and outcome
//! notices of other gateways. Output: quarantined requests and crashed back ends. Waiting requests
//! are notified of each change.

use std::collections::HashSet;
use std::net::SocketAddr;

use gorsebank_fleet::Fingerprint;
use gorsebank_fleet::quarantine::{BackEndHash, RunOutcome, Source, ToldOutcome};

use super::Shared;
use crate::quarantine::QuarantineNews;

impl Shared {
    /// Merges outcome notices from child gateways.
    pub fn note_told_outcomes(&self, told: &[ToldOutcome]) {
        self.note_told_ends(told);
        if self.quarantine.take(self.now(), told, Source::Below) {
            self.changed();
        }
    }

    /// Merges a quarantine update with which the gateway at `address` has responded.
    pub fn note_quarantine_news(&self, address: SocketAddr, news: &QuarantineNews) {
        self.note_told_ends(&news.events);
        if self.quarantine.take_news(self.now(), address, news) {
            self.changed();
        }
        // Gateways send quarantine updates only after their own quarantine is initialized.
        self.note_quarantine_initialized();
    }

    /// Records crashed back ends. A gateway that had a request at a back end when it crashed
    /// notifies all others, so that they stop sending requests there.
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

    /// Merges outcomes from the quarantine row, which were recorded before this process started.
    pub fn recall_outcomes(&self, told: &[ToldOutcome]) {
        if self.quarantine.take(self.now(), told, Source::Beside) {
            self.changed();
        }
    }

    /// Marks the quarantine as initialized and notifies waiting requests. Returns true on the first
    /// call only.
    pub fn note_quarantine_initialized(&self) -> bool {
        let is_first = self.quarantine.note_initialized();
        if is_first {
            self.changed();
        }
        is_first
    }

    /// Whether requests have to wait for quarantine entries from before the start. Until the back
    /// ends are known, requests are refused because no back end is available.
    pub fn awaits_quarantine(&self) -> bool {
        self.has_read_back_ends() && !self.quarantine.is_initialized()
    }

    /// Records that a back end crashed while it ran a request of this gateway.
    pub fn note_end_under(&self, request: Fingerprint, back_end: BackEndHash) {
        if self.quarantine.note_end(self.now(), request, back_end) {
            self.changed();
        }
    }

    /// Evaluates removed rows of back ends. Such a removal shows that the back end had crashed when
    /// requests lost their connection to it, even if no other gateway has reported the crash.
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

    /// Records that a back end sent a complete response to a request of this gateway and still
    /// runs.
    pub fn note_whole_answer(&self, request: Fingerprint) {
        if self.quarantine.note_served(self.now(), request) {
            self.changed();
        }
    }
}
