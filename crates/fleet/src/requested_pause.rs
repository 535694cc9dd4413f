//! Pauses that back ends ask for when they turn a request away.
//!
//! In: the words of an answer. Out: for how long its back end wants no requests from the gateway
//! that has the answer.

use std::time::Duration;

/// The longest pause that is kept: one wrong answer does not put a back end out of use for good.
const LONGEST_PAUSE: Duration = Duration::from_secs(600);

/// For how long a back end wants no requests from the gateway that it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestedPause {
    /// It asks for no pause.
    #[default]
    None,
    /// For this time from its answer on.
    For(Duration),
    /// It asks for one in words that cannot be read.
    Unreadable,
}

impl RequestedPause {
    /// Reads a pause in seconds, as a decimal number.
    pub fn parse(text: &[u8]) -> Self {
        let text = std::str::from_utf8(text).ok();
        let seconds = text.and_then(|text| text.trim().parse::<f64>().ok());
        match seconds.filter(|seconds| *seconds >= 0.0) {
            Some(seconds) => {
                let seconds = seconds.min(LONGEST_PAUSE.as_secs_f64());
                RequestedPause::For(Duration::from_secs_f64(seconds))
            }
            None => RequestedPause::Unreadable,
        }
    }
}
