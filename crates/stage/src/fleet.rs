//! This host's snapshot of hosts and backend servers.
//!
//! Lists and reports lag behind, so the snapshot is only a hint. Requests are routed by `traffic`,
//! which adds this host's own requests in flight.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use arc_swap::ArcSwap;
use types::{host::List, prelude::*};

/// A load report with the time at which it was read.
#[derive(Clone, Debug)]
pub struct Reading {
    /// Time at which this host read the report.
    pub read_at: Moment,
    /// The server's report.
    pub load: report::Load,
}

/// Hosts and backend servers as known to this host.
#[derive(Debug, Default)]
pub struct Fleet {
    list: ArcSwap<List>,
    readings: Mutex<HashMap<backend::Id, Arc<Reading>>>,
}

impl Fleet {
    /// Returns the list as last set.
    pub fn list(&self) -> Arc<List> {
        self.list.load_full()
    }

    /// Replaces the list.
    pub fn set_list(&self, list: List) {
        self.list.store(Arc::new(list));
    }

    /// Returns a server's load report as last read; `None` if none has been read, or if the
    /// server couldn't be reached since.
    pub fn reading(&self, server: &backend::Id) -> Option<Arc<Reading>> {
        self.readings().get(server).cloned()
    }

    /// Returns the number of servers with a load report.
    pub fn reporting(&self) -> usize {
        self.readings().len()
    }

    /// Sets a server's latest report, under its name on the list.
    pub fn set_reading(&self, server: &backend::Id, reading: Reading) {
        self.readings().insert(server.clone(), Arc::new(reading));
    }

    /// Removes the report of a server that couldn't be reached.
    pub fn drop_reading(&self, server: &backend::Id) {
        self.readings().remove(server);
    }

    fn readings(&self) -> MutexGuard<'_, HashMap<backend::Id, Arc<Reading>>> {
        self.readings.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
