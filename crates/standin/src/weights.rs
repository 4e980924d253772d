//! Stand-in for the weight store, with a limited rate and number of concurrent loads.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{Mutex, Semaphore},
    time::Instant,
};

/// A weight store; clones share its limits.
#[derive(Clone, Debug)]
pub struct Store {
    permits: Arc<Semaphore>,
    next_start: Arc<Mutex<Instant>>,
    start_interval: Duration,
    load_time: Duration,
}

impl Store {
    /// Creates a store that starts `rate` loads per second, runs up to `max_concurrent_loads` at a
    /// time and lets the others wait, and takes `load_time` for each.
    pub fn new(rate: f64, max_concurrent_loads: usize, load_time: Duration) -> Store {
        Store {
            permits: Arc::new(Semaphore::new(max_concurrent_loads)),
            next_start: Arc::new(Mutex::new(Instant::now())),
            start_interval: Duration::from_secs_f64(1.0 / rate),
            load_time,
        }
    }

    /// Waits for as long as one load takes, including the wait for its turn.
    pub async fn load(&self) {
        let start = {
            let mut next_start = self.next_start.lock().await;
            let start = (*next_start).max(Instant::now());
            *next_start = start + self.start_interval;
            start
        };
        tokio::time::sleep_until(start).await;
        // The semaphore is never closed, so that this waits for a permit.
        let _permit = self.permits.acquire().await;
        tokio::time::sleep(self.load_time).await;
    }
}
