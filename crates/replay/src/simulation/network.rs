//! Links between processes: latency by zone, cuts, slow processes.

use std::collections::HashMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::trace::format::Links;

/// Name of the table service as an end of links.
pub const TABLE: &str = "table";
/// Name of the machine list as an end of links.
pub const MACHINE_LIST: &str = "machines";
/// Stands for every other process.
const ANY: &str = "*";
/// Latency varies by so large a part of itself.
const JITTER: f64 = 0.5;

#[derive(Debug)]
struct Cut {
    ends: (String, String),
    until: u64,
}

impl Cut {
    fn applies(&self, one: &str, other: &str) -> bool {
        let matches = |end: &str, process: &str| end == ANY || end == process;
        let (first, second) = (&self.ends.0, &self.ends.1);
        (matches(first, one) && matches(second, other))
            || (matches(first, other) && matches(second, one))
    }
}

/// All links.
#[derive(Debug)]
pub struct Network {
    links: Links,
    zones: HashMap<String, String>,
    cuts: Vec<Cut>,
    slow: HashMap<String, (u64, u64)>,
}

impl Network {
    /// Links that all work.
    pub fn new(links: Links) -> Self {
        Network {
            links,
            zones: HashMap::new(),
            cuts: Vec::new(),
            slow: HashMap::new(),
        }
    }

    /// Puts a process into a zone.
    pub fn place(&mut self, process: &str, zone: &str) {
        self.zones.insert(process.to_owned(), zone.to_owned());
    }

    /// Cuts the link between two processes.
    pub fn cut(&mut self, one: &str, other: &str, until: u64) {
        self.cuts.push(Cut {
            ends: (one.to_owned(), other.to_owned()),
            until,
        });
    }

    /// Delays a process's messages, each by a random part of `by`.
    pub fn slow_down(&mut self, process: &str, by: u64, until: u64) {
        self.slow.insert(process.to_owned(), (by, until));
    }

    /// The time that a message takes, or `None` if it is lost.
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
        let jitter = random.random_range(0.0..JITTER) * base as f64;
        let mut latency = base + jitter as u64;
        for process in [from, to] {
            if let Some((by, until)) = self.slow.get(process)
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
