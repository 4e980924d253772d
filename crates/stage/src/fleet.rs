//! The host's picture of hosts and backend servers.
//!
//! Lists and reports lag, so the picture is only ever a hint; what this host itself has in flight
//! is exact.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
};

use arc_swap::ArcSwap;
use types::{
    host::{List, Listed},
    prelude::*,
};

/// A load report with the time it was read.
#[derive(Clone, Debug)]
pub struct Reading {
    /// When this host read it.
    pub read: Moment,
    /// What the server said.
    pub load: report::Load,
}

/// The host's picture of hosts and backend servers.
#[derive(Debug, Default)]
pub struct Fleet {
    list: ArcSwap<List>,
    readings: ArcSwap<HashMap<backend::Id, Arc<Reading>>>,
    in_flight: Mutex<HashMap<backend::Id, Arc<AtomicU32>>>,
}

/// One request in flight on a server, until dropped.
#[derive(Debug)]
pub struct Flight(Arc<AtomicU32>);

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Fleet {
    /// The platform's list as last read.
    pub fn list(&self) -> Arc<List> {
        self.list.load_full()
    }

    /// Takes a newer list.
    pub fn set_list(&self, list: List) {
        self.list.store(Arc::new(list));
    }

    /// Load reports as last read.
    pub fn readings(&self) -> Arc<HashMap<backend::Id, Arc<Reading>>> {
        self.readings.load_full()
    }

    /// Takes a newer report of a server, under the name that the list gives it.
    pub fn set_reading(&self, server: &backend::Id, reading: Reading) {
        let reading = Arc::new(reading);
        self.readings.rcu(|readings| {
            let mut readings = HashMap::clone(readings);
            readings.insert(server.clone(), reading.clone());
            readings
        });
    }

    /// Forgets the report of a server that doesn't answer.
    pub fn drop_reading(&self, server: &backend::Id) {
        self.readings.rcu(|readings| {
            let mut readings = HashMap::clone(readings);
            readings.remove(server);
            readings
        });
    }

    /// This host's requests in flight on a server.
    pub fn in_flight(&self, server: &backend::Id) -> u32 {
        self.flights().get(server).map_or(0, |count| count.load(Ordering::Relaxed))
    }

    /// Counts a request in flight on a server.
    pub fn begin(&self, server: &backend::Id) -> Flight {
        let count = self.flights().entry(server.clone()).or_default().clone();
        count.fetch_add(1, Ordering::Relaxed);
        Flight(count)
    }

    /// Backend servers that may get new work.
    pub fn open_servers(&self) -> Vec<backend::Server> {
        let readings = self.readings();
        let is_leaving = |id: &backend::Id| readings.get(id).is_some_and(|r| r.load.leaving);
        self.list()
            .servers
            .iter()
            .filter(|entry| entry.state == Listed::Live && !is_leaving(&entry.server.id))
            .map(|entry| entry.server.clone())
            .collect()
    }

    fn flights(&self) -> MutexGuard<'_, HashMap<backend::Id, Arc<AtomicU32>>> {
        self.in_flight.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
