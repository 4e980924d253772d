//! Stand-in of the weight store: loads take time, and more at once take longer.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{Mutex, Semaphore},
    time::Instant,
};

/// A weight store with a rate and a number of loads at full speed.
#[derive(Clone, Debug)]
pub struct Store {
    permits: Arc<Semaphore>,
    next_start: Arc<Mutex<Instant>>,
    start_interval: Duration,
    load_time: Duration,
}

impl Store {
    /// Takes the loads a second, the loads at once at full speed, and the time of one load.
    pub fn new(rate: f64, max_concurrent_loads: usize, load_time: Duration) -> Store {
        Store {
            permits: Arc::new(Semaphore::new(max_concurrent_loads)),
            next_start: Arc::new(Mutex::new(Instant::now())),
            start_interval: Duration::from_secs_f64(1.0 / rate),
            load_time,
        }
    }

    /// Waits as long as one load takes.
    pub async fn load(&self) {
        let start = {
            let mut next_start = self.next_start.lock().await;
            let start = (*next_start).max(Instant::now());
            *next_start = start + self.start_interval;
            start
        };
        tokio::time::sleep_until(start).await;
        // The semaphore is never closed; without a permit the load just runs at once.
        let _permit = self.permits.acquire().await;
        tokio::time::sleep(self.load_time).await;
    }
}
