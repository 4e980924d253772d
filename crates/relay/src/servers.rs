//! Applies changes of the servers and of the work for them, and passes them on to the dispatcher,
//! the planner and the peers.

use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError},
    time::Duration,
};

use exchange::{
    ServerListing,
    fleet::{Departure, Notice, Recipients},
};
use observe::story::{Belief, ServerStanding, Source, Text};
use policy::{
    demand::Subject,
    follow,
    place::{self, Operation, Outcome, Planner, RoundUrgency, Work},
    streams,
};
use types::{
    prelude::*,
    routed::{self, Declaration, LoadedModel, Report, Server, StartTime, State},
};

use crate::{
    call::Call,
    directory::Delta,
    edge::{Change, Object, Page, Revision},
    host::Shared,
    peers,
};

/// Expected duration of loading a model.
const EXPECTED_LOAD_TIME: Duration = Duration::from_secs(1);

impl Shared {
    /// Returns a known server by its id.
    pub(crate) fn server(&self, id: &backend::Id) -> Option<Arc<Server>> {
        self.directory().get(id).cloned()
    }

    /// Returns the id of the current run of a server by its name.
    fn id_by_name(&self, name: &str) -> Option<backend::Id> {
        self.directory().by_name(name).map(|server| server.id.clone())
    }

    /// Returns the run of a server that has responded, by the start time in the response; `None` if
    /// that run is over. A later run that is not known yet is registered at the address of the
    /// known run and with the same contents of its disk; it counts as holding no models until it
    /// reports them.
    pub(crate) fn current_run(
        &self,
        server: &Arc<Server>,
        started_at: StartTime,
    ) -> Option<Arc<Server>> {
        if started_at == 0 || started_at == server.started_at {
            return Some(server.clone());
        }
        let id = routed::run_id(&server.name, started_at);
        let known = self.directory().by_name(&server.name).cloned()?;
        // A server whose entry was removed from the store is restored only by the store.
        if known.started_at < started_at && !self.directory().is_suspect(&known.id) {
            let written = self.directory().written(&known.id)?;
            let run = Server {
                id: id.clone(),
                started_at,
                models: Vec::new(),
                resident: Vec::new(),
                sequence: 0,
                // The software may have been replaced; the registration will tell.
                software: streams::unread_software(&id),
                ..(*known).clone()
            };
            self.apply_registration(run, written, &Source::Itself);
        }
        self.server(&id)
    }

    /// Returns the store revision up to which this host knows all changes of the servers.
    pub(crate) fn revision(&self) -> Revision {
        self.directory().revision()
    }

    /// Applies the store's complete list of servers, which was requested at `began`.
    pub(crate) fn replace_servers(self: &Arc<Self>, page: &Page, began: Moment) {
        let read = |object: &Object| {
            let server = self.registration(object)?;
            Some(exchange::Entry { written: object.revision, server })
        };
        let servers: Vec<_> = page.objects.iter().filter_map(read).collect();
        let ids = servers.iter().map(|entry| entry.server.id.clone()).collect();
        let list =
            ServerListing { revision: page.revision, ids, servers, ..ServerListing::default() };
        self.servers_known().confirm(began);
        let delta = self.directory().diff_store_list(list);
        self.apply(delta, page.revision, &Source::Store);
    }

    /// Logs the source from which changes of the servers were fetched, if it is not the one before.
    pub(crate) fn report_server_source(&self, from: Source, age: Duration, why: &'static str) {
        let mut current = self.server_source.lock().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref() != Some(&from) {
            *current = Some(from.clone());
            self.logger.belief(Belief::ServerSource { from, age, why: Text::Borrowed(why) });
        }
    }

    /// Applies a peer's list of servers.
    pub(crate) fn apply_peer_servers(self: &Arc<Self>, list: ServerListing, peer: &host::Id) {
        let revision = list.revision;
        let delta = self.directory().diff_peer_list(list);
        self.apply(delta, revision, &Source::Peer(peer.clone()));
    }

    /// Parses a registration. Each failure is counted; log messages about failures are rate
    /// limited.
    fn registration(&self, object: &Object) -> Option<Server> {
        let server = self.dialect.server(object);
        if server.is_none() {
            self.meters.unreadable();
            if self.unreadable_servers_log.is_due(self.now()) {
                log::error!(server = &*object.name; "a registration can't be read");
            }
        }
        server
    }

    fn apply(self: &Arc<Self>, delta: Delta, revision: Revision, from: &Source) {
        delta.deleted.iter().for_each(|id| self.apply_removal(id, revision, from));
        delta.suspected.iter().for_each(|suspect| self.suspect(&suspect.id, suspect.left, from));
        delta
            .upserted
            .into_iter()
            .for_each(|entry| self.apply_registration(entry.server, entry.written, from));
        self.directory().advance(revision);
        self.wake_planner(RoundUrgency::Normal);
        self.dispatch_wakeup.notify_one();
    }

    /// Applies a change of a server's entry in the store.
    pub(crate) fn change_server(self: &Arc<Self>, change: &Change) {
        match change {
            // A watch that was sent before a peer's list arrived reports again what the list includes.
            // The server may have gone since.
            Change::Written(object) if object.revision <= self.revision() => return,
            Change::Written(object) => {
                self.directory().advance(object.revision);
                match self.registration(object) {
                    Some(server) => {
                        self.apply_registration(server, object.revision, &Source::Store)
                    }
                    None => {
                        let id = self.id_by_name(&object.name);
                        id.iter().for_each(|id| {
                            self.remove_server(id, &Source::Store, "its entry can't be read")
                        });
                    }
                }
            }
            Change::Removed { name, revision } => {
                self.directory().advance(*revision);
                let id =
                    self.id_by_name(name).filter(|id| !self.directory().is_newer(id, *revision));
                // The peers are notified with the directory's revision: all entries written up to
                // it are known here, even if the removal has no revision of its own.
                let removed = self.revision();
                id.iter().for_each(|id| self.apply_removal(id, removed, &Source::Store));
            }
        }
        self.wake_planner(RoundUrgency::Normal);
        self.dispatch_wakeup.notify_one();
    }

    fn apply_registration(&self, server: Server, revision: Revision, from: &Source) {
        let before = self.server(&server.id).map(|server| server.state);
        let earlier = self.directory().by_name(&server.name).cloned();
        let earlier = earlier.filter(|earlier| earlier.id != server.id);
        let was_leaving = self.directory().is_leaving(&server.id);
        let Some(server) = self.directory().put(server, revision) else { return };
        if let Some(earlier) = earlier {
            self.report_standing(&earlier, ServerStanding::Gone, from, "it has started again");
            self.forget_run(&earlier.id);
        }
        let now = self.now();
        if self.runs_models(&server.service) {
            self.planner().register_server(&server, now);
        }
        let was_used = self.dispatcher().is_ready(&server.id);
        self.dispatcher().server(&server, now);
        if self.directory().is_leaving(&server.id) {
            self.dispatcher().draining(&server.id);
        }
        if was_leaving && !self.directory().is_leaving(&server.id) {
            self.dispatcher().resume(&server.id);
            let why = "it was registered after a peer said that it leaves";
            self.report_standing(&server, ServerStanding::Seen, from, why);
        }
        if before != Some(server.state) {
            let standing = match server.state {
                State::Ready => ServerStanding::Seen,
                State::Draining => ServerStanding::Leaving,
            };
            self.report_standing(&server, standing, from, "it is registered so");
        }
        // Only a change that the store has reported to this host is announced to the peers.
        let is_first_hand = was_used && *from == Source::Store;
        if before == Some(State::Ready) && is_first_hand && server.state == State::Draining {
            let (server, departure) = (server.id.clone(), Departure::Leaving);
            self.notify(Notice::ServerLeaving { server, departure, revision });
        }
    }

    /// Applies the removal of a server's entry. In an outage of the store, entries of healthy
    /// servers are removed and written again; such a server stays in use for the time that
    /// [`Shared::removal_grace`] returns, less than the time for which a leaving server may be
    /// used.
    fn apply_removal(self: &Arc<Self>, id: &backend::Id, revision: Revision, from: &Source) {
        let is_ready = self.server(id).is_some_and(|server| server.state == State::Ready);
        // A peer's list names those unlisted servers whose entries may be written again.
        let is_from_peer = matches!(from, Source::Peer(_));
        if is_ready && !is_from_peer {
            if self.is_store_out() {
                return self.suspect(id, self.removal_grace(), from);
            }
            if self.dispatcher().is_ready(id) {
                let (server, departure) = (id.clone(), Departure::Gone);
                self.notify(Notice::ServerLeaving { server, departure, revision });
            }
        }
        self.remove_server(id, from, "it is no longer registered");
    }

    /// Returns the time for which a server stays in use whose entry was just removed and may be
    /// written again.
    fn removal_grace(&self) -> Duration {
        follow::removal_grace(self.gather(), self.routed.drain)
    }

    /// Keeps a server in use for a time in which its entry may be written again.
    fn suspect(self: &Arc<Self>, id: &backend::Id, left: Duration, from: &Source) {
        let Some(server) = self.server(id).filter(|_| !self.directory().is_suspect(id)) else {
            return;
        };
        self.directory().mark_suspect(id, self.now().saturating_add(left));
        let why = "its registration was deleted in an outage of the store";
        self.report_standing(&server, ServerStanding::Suspected, from, why);
        let (shared, id, from) = (self.clone(), id.clone(), from.clone());
        tokio::spawn(async move {
            while let Some(left) = shared.suspected_for(&id) {
                if left.is_zero() {
                    return shared.remove_server(&id, &from, "its entry did not come back");
                }
                tokio::time::sleep(left).await;
            }
        });
    }

    fn suspected_for(&self, id: &backend::Id) -> Option<Duration> {
        self.directory().suspected_for(id, self.now())
    }

    /// Applies a peer's notice that a server is leaving, which the peer has from the store, or from the
    /// server itself if the revision is the highest one.
    ///
    /// If a server's entry expires during an outage of the store, a peer that did not notice the
    /// outage reports that the server leaves. A host that did notice the outage treats the notice
    /// like a removal reported by the store, and suspects the server.
    pub(crate) fn apply_departure(
        self: &Arc<Self>,
        id: &backend::Id,
        departure: Departure,
        revision: Revision,
        from: &Source,
    ) {
        if self.directory().is_newer(id, revision) {
            return;
        }
        match departure {
            Departure::Gone if self.is_store_out() => {
                self.suspect(id, self.removal_grace(), from);
            }
            Departure::Gone => {
                self.dispatcher().unregistered(id, self.now());
                self.stop_sending(id, revision, from);
            }
            Departure::Leaving if revision == Revision::MAX => {
                if let Some(server) = self.leave_for_good(id) {
                    let why = "a peer says that it leaves";
                    self.report_standing(&server, ServerStanding::Leaving, from, why);
                }
            }
            Departure::Leaving => self.stop_sending(id, revision, from),
        }
    }

    /// Sends no new requests to a server until its entry is written after this revision.
    fn stop_sending(&self, id: &backend::Id, revision: Revision, from: &Source) {
        if self.dispatcher().is_ready(id)
            && let Some(server) = self.server(id)
        {
            self.report_standing(
                &server,
                ServerStanding::Leaving,
                from,
                "a peer says that it leaves",
            );
        }
        self.directory().mark_leaving(id, revision);
        self.dispatcher().draining(id);
    }

    /// Sends no new requests to servers that leave for good, as peers state.
    pub(crate) fn drain<'a>(&self, ids: impl Iterator<Item = &'a backend::Id>) {
        ids.for_each(|id| {
            self.leave_for_good(id);
        });
    }

    /// Sends no new requests to a server whose answer states that it leaves, and notifies the peers.
    pub(crate) fn server_leaves(&self, id: &backend::Id) {
        let Some(server) = self.leave_for_good(id) else { return };
        let why = "its answers say that it leaves";
        self.report_standing(&server, ServerStanding::Leaving, &Source::Itself, why);
        let (server, departure) = (server.id.clone(), Departure::Leaving);
        self.notify(Notice::ServerLeaving { server, departure, revision: Revision::MAX });
    }

    /// Sends no new requests to a server's run, whatever the store says of it. Returns the server if
    /// it was not leaving before.
    fn leave_for_good(&self, id: &backend::Id) -> Option<Arc<Server>> {
        let server = self.directory().mark_left(id)?;
        self.dispatcher().draining(id);
        if self.runs_models(&server.service) {
            self.planner().register_server(&server, self.now());
            self.wake_planner(RoundUrgency::Normal);
        }
        Some(server)
    }

    fn report_standing(
        &self,
        server: &Server,
        standing: ServerStanding,
        from: &Source,
        why: &'static str,
    ) {
        self.logger.belief(Belief::Server {
            server: server.id.clone(),
            standing,
            from: from.clone(),
            service: Some(server.service.clone()),
            address: Some(server.address),
            why: Text::Borrowed(why),
        });
    }

    fn remove_server(&self, id: &backend::Id, from: &Source, why: &'static str) {
        if let Some(server) = self.server(id) {
            self.report_standing(&server, ServerStanding::Gone, from, why);
        }
        self.directory().remove(id);
        self.forget_run(id);
    }

    /// Discards the state of a server's run that is over, none of which applies to a later run.
    fn forget_run(&self, id: &backend::Id) {
        self.planner().remove_server(id, self.now());
        self.dispatcher().gone(id, self.now());
        self.dispatch_wakeup.notify_one();
    }

    /// Returns whether a server belongs to a service that is declared with an engine.
    pub(crate) fn runs_models(&self, service: &service::Id) -> bool {
        self.declaration().is_some_and(|declaration| has_engine(&declaration, service))
    }

    /// Registers with the planner the servers that were known before their service was declared.
    pub(crate) fn register_known(&self, before: Option<&Declaration>) {
        let was_known = |server: &&Arc<Server>| {
            before.is_some_and(|before| has_engine(before, &server.service))
        };
        let servers: Vec<Arc<Server>> =
            self.directory().servers().filter(|s| !was_known(s)).cloned().collect();
        let now = self.now();
        for server in servers.iter().filter(|server| self.runs_models(&server.service)) {
            self.planner().register_server(server, now);
        }
        self.wake_planner(RoundUrgency::Normal);
    }

    /// Returns whether no report was requested from a server within the last `pause`, and if so
    /// records a request as sent now.
    pub(crate) fn report_is_due(&self, id: &backend::Id, now: Moment, pause: Duration) -> bool {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = reports.get(id).is_none_or(|last| *last + pause <= now);
        if is_due {
            reports.insert(id.clone(), now);
        }
        is_due
    }

    /// Applies a server's report, and notifies the peers of models that the server has loaded since
    /// the last one.
    pub(crate) fn apply_report(&self, server: &Server, report: &Report) {
        self.dispatcher().report(&server.id, report, self.now());
        let was_known =
            |held: &LoadedModel| server.models.iter().any(|known| known.model == held.model);
        for held in report.models.iter().filter(|held| !was_known(held)) {
            self.notify(Notice::Loaded {
                server: server.id.clone(),
                model: held.model.clone(),
                adapter: None,
                sequence: report.sequence,
            });
        }
        self.directory().set_models(&server.id, &report.models);
        self.dispatch_wakeup.notify_one();
    }

    /// Applies the outcome of an order, and notifies the peers.
    pub(crate) fn apply_order(&self, order: &place::Order, outcome: Outcome) {
        if !matches!(outcome, Outcome::Accepted | Outcome::AlreadyHolds) {
            return;
        }
        let (now, adapter) = (self.now(), order.adapter.as_ref());
        let (server, model) = (order.server.clone(), order.model.clone());
        let sequence = order.expected.saturating_add(1);
        let mut dispatcher = self.dispatcher();
        match order.operation {
            Operation::Unload => {
                dispatcher.model_unloading(&server, &model, adapter, sequence, now);
                self.notify(Notice::Unloaded {
                    server,
                    model,
                    adapter: adapter.cloned(),
                    sequence,
                });
            }
            // The adapter will be loaded before a request that is sent now arrives at the server.
            Operation::Load if adapter.is_some() => {
                dispatcher.model_loaded(&server, &model, adapter, sequence, now);
                self.notify(Notice::Loaded { server, model, adapter: adapter.cloned(), sequence });
            }
            Operation::Load => {
                dispatcher.model_loading(&server, &model, adapter, now + EXPECTED_LOAD_TIME)
            }
        }
        self.dispatch_wakeup.notify_one();
    }

    /// Counts a request as an arrival and as demand for its model.
    pub(crate) fn record_request(&self, call: &Call) {
        let info = &call.request.info;
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).record_request(&call.service);
        let Some(model) = info.model.clone() else { return };
        let output = info.length_hint.unwrap_or(info.tokens_out).min(info.tokens_out);
        let work = Work { requests: 1, prompt: info.tokens_in.into(), output: output.into() };
        self.demand_arrived(Subject { model, adapter: info.adapter.clone() }, work);
    }

    /// Reports that a request waits for a model or adapter: to the planner if this host plans, else
    /// to the holder of the lease.
    pub(crate) fn request_missing(
        &self,
        service: &service::Id,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
    ) {
        let now = self.now();
        if self.term().fence(now).is_some() {
            let urgency = self.planner().record_waiting(model, adapter, now);
            self.wake_planner(urgency);
            return;
        }
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = counts.load_request_is_due(model, adapter, now);
        drop(counts);
        if is_due && let Some(exchange) = self.exchange() {
            peers::request_load(self, &exchange, service, model, adapter);
        }
    }

    /// Passes the number of requests of each model at each server, over all hosts, to the planner.
    pub(crate) fn set_in_flight(
        &self,
        running: &BTreeMap<(&backend::Id, &model::Id), u32>,
        planner: &mut Planner,
    ) {
        let directory = self.directory();
        for server in directory.servers() {
            for held in &server.models {
                let requests = running.get(&(&server.id, &held.model)).copied().unwrap_or(0);
                planner.set_in_flight(&server.id, &held.model, requests);
            }
        }
    }

    /// Sends a notice to all other hosts.
    pub(crate) fn notify(&self, notice: Notice) {
        if let Some(exchange) = self.exchange() {
            // Only a notice to one host can fail, if that host is not known.
            let _ = exchange.send(Recipients::All, notice);
        }
    }
}

/// Returns whether a service is declared with an engine.
fn has_engine(declaration: &Declaration, service: &service::Id) -> bool {
    let mut services = declaration.services.iter();
    services.any(|declared| declared.name == *service && declared.engine.is_some())
}
