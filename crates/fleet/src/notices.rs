//! Retention of the announcements of back ends, and selection of the notices about them that a
//! gateway sends to other gateways.
//!
//! Input: notices with their ages. Output: the newest of them.

/// Time after which an announcement that was not repeated is dropped, in milliseconds: the back end
/// may be gone, and if it is not, its next response states what applies.
pub const RETENTION_MS: u64 = 600_000;
/// Maximum age of an announcement that is still sent to other gateways. One round of the exchange
/// between gateways takes half a second.
const MAX_SENT_AGE_MS: u64 = 10_000;
/// Maximum number of notices of one kind in a message, about 20 bytes each, to each gateway twice
/// a second. A gateway that does not receive a notice learns the same from its own next response.
const MAX_NOTICES: usize = 200;

/// The newest of these notices, up to `MAX_NOTICES`; `age` returns an age in milliseconds.
pub fn select_newest<T>(notices: impl Iterator<Item = T>, age: impl Fn(&T) -> u64) -> Vec<T> {
    let mut notices: Vec<T> = notices.filter(|it| age(it) < MAX_SENT_AGE_MS).collect();
    notices.sort_by_key(&age);
    notices.truncate(MAX_NOTICES);
    notices
}
