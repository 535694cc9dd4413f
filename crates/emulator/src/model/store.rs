//! An emulated weight store that limits the rate at which loads start and the
//! number of concurrent loads at full speed. In: starts and ends of loads. Out: the
//! duration of each load.

/// The limits of a weight store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// The number of loads that may start per second.
    pub starts_per_second: f64,
    /// The number of concurrent loads that run at full speed.
    pub concurrency: u32,
    /// The bandwidth of one load at full speed, in bytes per second.
    pub bandwidth: u64,
}

/// The state of a weight store.
#[derive(Clone, Debug)]
pub struct StoreModel {
    settings: StoreSettings,
    /// The factor by which every load takes longer.
    pub slowdown: f64,
    active: u32,
    next_start: f64,
    max_active: u32,
}

impl StoreModel {
    /// A store without running loads.
    pub fn new(settings: StoreSettings) -> Self {
        StoreModel {
            settings,
            slowdown: 1.0,
            active: 0,
            next_start: 0.0,
            max_active: 0,
        }
    }

    /// Starts a load at `now` and returns its duration in milliseconds. Loads beyond
    /// the concurrency limit share the bandwidth, and starts beyond the rate wait.
    pub fn start(&mut self, now: u64, bytes: u64) -> u64 {
        self.active += 1;
        self.max_active = self.max_active.max(self.active);
        let start = self.next_start.max(now as f64);
        self.next_start = start + 1_000.0 / self.settings.starts_per_second;
        let concurrency_ratio = f64::from(self.active) / f64::from(self.settings.concurrency);
        let transfer = bytes as f64 * 1_000.0 / self.settings.bandwidth as f64;
        let wait = start - now as f64;
        (wait + transfer * concurrency_ratio.max(1.0) * self.slowdown) as u64
    }

    /// Ends a load.
    pub fn end(&mut self) {
        self.active = self.active.saturating_sub(1);
    }

    /// The largest number of loads that ran concurrently.
    pub fn max_active(&self) -> u32 {
        self.max_active
    }
}
