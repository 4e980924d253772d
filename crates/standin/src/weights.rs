//! Stand-in of the weight store: loads take time, and more at once take longer.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{Mutex, Semaphore},
    time::Instant,
};

/// A weight store with a rate and a number of loads at full speed.
#[derive(Clone, Debug)]
pub struct Store {
    full_speed: Arc<Semaphore>,
    next: Arc<Mutex<Instant>>,
    gap: Duration,
    load: Duration,
}

impl Store {
    /// Takes the loads a second, the loads at once at full speed, and the time of one load.
    pub fn new(rate: f64, at_once: usize, load: Duration) -> Store {
        Store {
            full_speed: Arc::new(Semaphore::new(at_once)),
            next: Arc::new(Mutex::new(Instant::now())),
            gap: Duration::from_secs_f64(1.0 / rate),
            load,
        }
    }

    /// Waits as long as one load takes.
    pub async fn load(&self) {
        let start = {
            let mut next = self.next.lock().await;
            let start = (*next).max(Instant::now());
            *next = start + self.gap;
            start
        };
        tokio::time::sleep_until(start).await;
        // The semaphore is never closed; without a permit the load just runs at once.
        let _permit = self.full_speed.acquire().await;
        tokio::time::sleep(self.load).await;
    }
}
