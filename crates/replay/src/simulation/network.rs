//! Simulates the links between processes: latency by zone, cut links, and processes whose messages
//! are delayed. Times are in microseconds.

use std::collections::HashMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::trace::format::Links;

/// Name of the table service as an endpoint of links.
pub const TABLE: &str = "table";
/// Name of the machine list as an endpoint of links.
pub const MACHINE_LIST: &str = "machines";
/// Pattern that matches every process.
const ANY: &str = "*";
/// Maximum random increase of a latency, as a fraction of the latency.
const MAX_JITTER_FRACTION: f64 = 0.5;

#[derive(Debug)]
struct Cut {
    endpoints: (String, String),
    until: u64,
}

impl Cut {
    fn applies(&self, one: &str, other: &str) -> bool {
        let matches = |end: &str, process: &str| end == ANY || end == process;
        let (first, second) = (&self.endpoints.0, &self.endpoints.1);
        (matches(first, one) && matches(second, other))
            || (matches(first, other) && matches(second, one))
    }
}

/// Latencies and faults of all links.
#[derive(Debug)]
pub struct Network {
    links: Links,
    zones: HashMap<String, String>,
    cuts: Vec<Cut>,
    delays: HashMap<String, (u64, u64)>,
}

impl Network {
    /// Creates a network without faults.
    pub fn new(links: Links) -> Self {
        Network {
            links,
            zones: HashMap::new(),
            cuts: Vec::new(),
            delays: HashMap::new(),
        }
    }

    /// Assigns a process to a zone.
    pub fn place(&mut self, process: &str, zone: &str) {
        self.zones.insert(process.to_owned(), zone.to_owned());
    }

    /// Drops all messages between two processes until `until`; `*` matches every process.
    pub fn cut(&mut self, one: &str, other: &str, until: u64) {
        self.cuts.push(Cut {
            endpoints: (one.to_owned(), other.to_owned()),
            until,
        });
    }

    /// Delays the messages from and to a process until `until`, each by a random time of at most
    /// `by`.
    pub fn slow_down(&mut self, process: &str, by: u64, until: u64) {
        self.delays.insert(process.to_owned(), (by, until));
    }

    /// Latency of a message, or `None` if the message is lost.
    pub fn latency(
        &mut self,
        now: u64,
        from: &str,
        to: &str,
        random: &mut ChaCha8Rng,
    ) -> Option<u64> {
        self.cuts.retain(|cut| cut.until > now);
        if self.cuts.iter().any(|cut| cut.applies(from, to)) {
            return None;
        }
        let base = self.base_latency(from, to);
        let jitter = random.random_range(0.0..MAX_JITTER_FRACTION) * base as f64;
        let mut latency = base + jitter as u64;
        for process in [from, to] {
            if let Some((by, until)) = self.delays.get(process)
                && *until > now
            {
                latency += random.random_range(0..=*by);
            }
        }
        Some(latency)
    }

    fn base_latency(&self, from: &str, to: &str) -> u64 {
        let duration = match (self.zones.get(from), self.zones.get(to)) {
            (Some(one), Some(other)) if one == other => self.links.within_zone,
            (Some(_), Some(_)) => self.links.between_zones,
            _ => self.links.outside,
        };
        duration.as_micros() as u64
    }
}
