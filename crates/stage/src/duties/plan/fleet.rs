//! Passes the state of engines to the planner.

use std::{collections::BTreeSet, net::SocketAddr};

use policy::plan::{Engine, State};
use types::{backend::Kind, host::ListState, prelude::*};

use super::Duty;

impl Duty {
    /// Returns the engines on the current list.
    pub(super) fn engines(&self) -> Vec<backend::Entry> {
        let list = self.context.fleet.list();
        list.servers.iter().filter(|entry| entry.server.kind == Kind::Engine).cloned().collect()
    }

    pub(super) fn address(&self, server: &backend::Id) -> Option<SocketAddr> {
        let list = self.context.fleet.list();
        let entry = list.servers.iter().find(|entry| entry.server.id == *server)?;
        Some(entry.server.address)
    }

    /// Updates the planner with each engine that changed, appeared or is gone, and with each for
    /// which a move was attempted.
    pub(super) fn update_engines(&mut self) {
        let now = self.context.now();
        let engines: Vec<Engine> =
            self.engines().iter().filter_map(|entry| self.engine(entry)).collect();
        let known: BTreeSet<&backend::Id> = engines.iter().map(|engine| &engine.server).collect();
        let gone: Vec<backend::Id> =
            self.reported.keys().filter(|server| !known.contains(server)).cloned().collect();
        for server in gone {
            self.planner.remove_engine(&server);
            self.reported.remove(&server);
        }
        for engine in engines {
            let is_unchanged = self.reported.get(&engine.server) == Some(&engine);
            if !is_unchanged || self.attempted.contains(&engine.server) {
                self.planner.set_engine(now, engine.clone());
                self.reported.insert(engine.server.clone(), engine);
            }
        }
    }

    fn engine(&self, entry: &backend::Entry) -> Option<Engine> {
        let server = &entry.server;
        let ledger = &self.ledgers.get(&server.id)?.ledger;
        let state = match self.context.fleet.reading(&server.id) {
            _ if entry.state == ListState::Leaving => State::Leaving,
            Some(reading) if reading.load.leaving => State::Leaving,
            Some(_) => State::Live,
            None => State::Suspected,
        };
        Some(Engine {
            server: server.id.clone(),
            group: server.group.clone(),
            zone: server.zone.clone(),
            state,
            free: ledger.usage().free,
            residents: ledger.expected_residents(),
        })
    }
}
