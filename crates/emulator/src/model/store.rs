//! A weight store with two limits: starts a second, and loads at full speed.

/// Sizes of a weight store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Loads that may start each second.
    pub starts_per_second: f64,
    /// Loads that run at full speed at once.
    pub concurrency: u32,
    /// Bytes a second of one load at full speed.
    pub bandwidth: u64,
}

/// The store's state.
#[derive(Clone, Debug)]
pub struct StoreModel {
    settings: StoreSettings,
    /// All loads take so many times as long.
    pub slowdown: f64,
    active: u32,
    next_start: f64,
    most_active: u32,
}

impl StoreModel {
    /// A store without loads.
    pub fn new(settings: StoreSettings) -> Self {
        StoreModel {
            settings,
            slowdown: 1.0,
            active: 0,
            next_start: 0.0,
            most_active: 0,
        }
    }

    /// Starts a load at `now`; gives the time it takes, in milliseconds. Loads
    /// beyond the limit share the bandwidth, and starts beyond the rate wait.
    pub fn start(&mut self, now: u64, bytes: u64) -> u64 {
        self.active += 1;
        self.most_active = self.most_active.max(self.active);
        let start = self.next_start.max(now as f64);
        self.next_start = start + 1_000.0 / self.settings.starts_per_second;
        let crowding = f64::from(self.active) / f64::from(self.settings.concurrency);
        let transfer = bytes as f64 * 1_000.0 / self.settings.bandwidth as f64;
        let wait = start - now as f64;
        (wait + transfer * crowding.max(1.0) * self.slowdown) as u64
    }

    /// A load ended.
    pub fn end(&mut self) {
        self.active = self.active.saturating_sub(1);
    }

    /// The most loads that ran at once.
    pub fn most_active(&self) -> u32 {
        self.most_active
    }
}
