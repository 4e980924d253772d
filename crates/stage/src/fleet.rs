//! The host's picture of hosts and backend servers.
//!
//! Lists and reports lag, so the picture is only ever a hint. What requests go by is in `traffic`,
//! which adds what this host itself has in flight.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use arc_swap::ArcSwap;
use types::{host::List, prelude::*};

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
    readings: Mutex<HashMap<backend::Id, Arc<Reading>>>,
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

    /// A server's load report as last read.
    pub fn reading(&self, server: &backend::Id) -> Option<Arc<Reading>> {
        self.readings().get(server).cloned()
    }

    /// How many servers report their load.
    pub fn reporting(&self) -> usize {
        self.readings().len()
    }

    /// Takes a newer report of a server, under the name that the list gives it.
    pub fn set_reading(&self, server: &backend::Id, reading: Reading) {
        self.readings().insert(server.clone(), Arc::new(reading));
    }

    /// Forgets the report of a server that doesn't answer.
    pub fn drop_reading(&self, server: &backend::Id) {
        self.readings().remove(server);
    }

    fn readings(&self) -> MutexGuard<'_, HashMap<backend::Id, Arc<Reading>>> {
        self.readings.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
