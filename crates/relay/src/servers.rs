//! What comes in about servers and about the work for them, and whom it is handed on to.

use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError},
    time::Duration,
};

use exchange::{
    Registered,
    fleet::{Departure, Notice, Recipients},
};
use observe::story::{Belief, Heard, ServerStanding, Word};
use policy::{
    demand::Subject,
    follow,
    place::{self, Operation, Outcome, Planner, Work},
};
use types::{
    prelude::*,
    routed::{self, Born, Declaration, Held, Report, Server, State},
};

use crate::{
    call::Call,
    directory::Delta,
    edge::{Change, Object, Page, Revision},
    host::Shared,
    peers,
};

/// Time that a load is expected to take.
const LOAD: Duration = Duration::from_secs(1);

impl Shared {
    /// A server that is registered.
    pub(crate) fn server(&self, id: &backend::Id) -> Option<Arc<Server>> {
        self.directory().get(id).cloned()
    }

    /// The id of the run that a server's name stands for.
    fn named(&self, name: &str) -> Option<backend::Id> {
        self.directory().named(name).map(|server| server.id.clone())
    }

    /// The run of a server that has answered, as far as it says when it began; none if it is over. One
    /// that was not known counts as a start from nothing: it holds what it will report, and keeps its
    /// address and its disk.
    pub(crate) fn current_run(&self, server: &Arc<Server>, born: Born) -> Option<Arc<Server>> {
        if born == 0 || born == server.born {
            return Some(server.clone());
        }
        let id = routed::run(&server.name, born);
        let known = self.directory().named(&server.name).cloned()?;
        // What the store has taken off comes back by the store's word alone.
        if known.born < born && !self.directory().is_suspect(&known.id) {
            let written = self.directory().written(&known.id)?;
            let run = Server {
                id: id.clone(),
                born,
                models: Vec::new(),
                resident: Vec::new(),
                sequence: 0,
                ..(*known).clone()
            };
            self.written(run, written, &Heard::Itself);
        }
        self.server(&id)
    }

    /// The last change of the servers that is known here.
    pub(crate) fn revision(&self) -> Revision {
        self.directory().revision()
    }

    /// Takes in the whole list of servers, as the store has it.
    pub(crate) fn replace_servers(self: &Arc<Self>, page: &Page) {
        let read = |object: &Object| {
            let server = self.registration(object)?;
            Some(exchange::Entry { written: object.revision, server })
        };
        let servers: Vec<_> = page.objects.iter().filter_map(read).collect();
        let ids = servers.iter().map(|told| told.server.id.clone()).collect();
        let list = Registered { revision: page.revision, ids, servers, ..Registered::default() };
        self.is_current(Duration::ZERO);
        let delta = self.directory().replace(list);
        self.take(delta, page.revision, &Heard::Store);
    }

    /// What is known of the servers was the store's word so long ago.
    pub(crate) fn is_current(&self, age: Duration) {
        let at = self.now().saturating_sub(age);
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        *current = current.max(at);
    }

    /// How long ago what is known of the servers was the store's word.
    pub(crate) fn age_of_servers(&self) -> Duration {
        let current = *self.current.lock().unwrap_or_else(PoisonError::into_inner);
        self.now().saturating_sub(current)
    }

    /// Takes in the servers that a peer knows.
    pub(crate) fn take_servers(self: &Arc<Self>, list: Registered, peer: &host::Id) {
        let revision = list.revision;
        let delta = self.directory().compare(list);
        self.take(delta, revision, &Heard::Peer(peer.clone()));
    }

    /// Reads a registration. Each that can't be read is counted; the log has one in a while.
    fn registration(&self, object: &Object) -> Option<Server> {
        let server = self.dialect.server(object);
        if server.is_none() {
            self.meters.unreadable();
            if self.unreadable.is_due(self.now()) {
                log::error!(server = &*object.name; "a registration can't be read");
            }
        }
        server
    }

    fn take(self: &Arc<Self>, delta: Delta, revision: Revision, from: &Heard) {
        delta.deleted.iter().for_each(|id| self.removed(id, revision, from));
        delta.suspected.iter().for_each(|told| self.suspect(&told.id, told.left, from));
        delta.upserted.into_iter().for_each(|told| self.written(told.server, told.written, from));
        self.directory().advance(revision);
        self.plan_wakeup.notify_one();
        self.dispatch_wakeup.notify_one();
    }

    /// Takes in a change of the servers.
    pub(crate) fn change_server(self: &Arc<Self>, change: &Change) {
        match change {
            Change::Written(object) => {
                self.directory().advance(object.revision);
                match self.registration(object) {
                    Some(server) => self.written(server, object.revision, &Heard::Store),
                    None => {
                        let id = self.named(&object.name);
                        id.iter()
                            .for_each(|id| self.gone(id, &Heard::Store, "its entry can't be read"));
                    }
                }
            }
            Change::Removed { name, revision } => {
                self.directory().advance(*revision);
                let id = self.named(name).filter(|id| !self.directory().is_newer(id, *revision));
                // All that was written up to here is known, also where the removal's revision is not told.
                let removed = self.revision();
                id.iter().for_each(|id| self.removed(id, removed, &Heard::Store));
            }
        }
        self.plan_wakeup.notify_one();
        self.dispatch_wakeup.notify_one();
    }

    fn written(&self, server: Server, revision: Revision, from: &Heard) {
        let before = self.server(&server.id).map(|server| server.state);
        let earlier = self.directory().named(&server.name).cloned();
        let earlier = earlier.filter(|earlier| earlier.id != server.id);
        let was_leaving = self.directory().is_leaving(&server.id);
        let Some(server) = self.directory().put(server, revision) else { return };
        if let Some(earlier) = earlier {
            self.standing(&earlier, ServerStanding::Gone, from, "it has started again");
            self.ended(&earlier.id);
        }
        let now = self.now();
        if self.runs_models(&server) {
            self.planner().server(&server, now);
        }
        let was_used = self.dispatcher().is_used(&server.id);
        self.dispatcher().server(&server, now);
        if was_leaving && !self.directory().is_leaving(&server.id) {
            self.dispatcher().resume(&server.id);
            let why = "it was registered after a peer said that it leaves";
            self.standing(&server, ServerStanding::Seen, from, why);
        }
        if before != Some(server.state) {
            let standing = match server.state {
                State::Ready => ServerStanding::Seen,
                State::Draining => ServerStanding::Leaving,
            };
            self.standing(&server, standing, from, "it is registered so");
        }
        // Who was told by a peer doesn't tell it on.
        let is_first_hand = was_used && *from == Heard::Store;
        if before == Some(State::Ready) && is_first_hand && server.state == State::Draining {
            let (server, departure) = (server.id.clone(), Departure::Leaving);
            self.notify(Notice::ServerLeaving { server, departure, revision });
        }
    }

    /// A server's entry has gone. While the store is degraded, entries of sound servers go and come
    /// back; such a server is used on for part of the time that a leaving one may be.
    fn removed(self: &Arc<Self>, id: &backend::Id, revision: Revision, from: &Heard) {
        let is_ready = self.server(id).is_some_and(|server| server.state == State::Ready);
        // A peer tells by itself which of the servers that its list lacks may come back.
        let is_told = matches!(from, Heard::Peer(_));
        if is_ready && !is_told {
            if self.store.is_degraded() {
                return self.suspect(id, self.lapse(), from);
            }
            if self.dispatcher().is_used(id) {
                let (server, departure) = (id.clone(), Departure::Gone);
                self.notify(Notice::ServerLeaving { server, departure, revision });
            }
        }
        self.gone(id, from, "it is no longer registered");
    }

    /// Time for which a server is used on whose entry has just gone and may come back.
    fn lapse(&self) -> Duration {
        follow::lapse(self.gather(), self.routed.drain)
    }

    /// Uses a server on for a time in which its entry may come back.
    fn suspect(self: &Arc<Self>, id: &backend::Id, left: Duration, from: &Heard) {
        let Some(server) = self.server(id).filter(|_| !self.directory().is_suspect(id)) else {
            return;
        };
        self.directory().suspect(id, self.now() + left);
        let why = "its entry went while the store was degraded";
        self.standing(&server, ServerStanding::Suspected, from, why);
        let (shared, id, from) = (self.clone(), id.clone(), from.clone());
        tokio::spawn(async move {
            while let Some(left) = shared.suspected_for(&id) {
                if left.is_zero() {
                    return shared.gone(&id, &from, "its entry did not come back");
                }
                tokio::time::sleep(left).await;
            }
        });
    }

    fn suspected_for(&self, id: &backend::Id) -> Option<Duration> {
        self.directory().suspected_for(id, self.now())
    }

    /// Takes in that a server leaves, as a peer has it from the store.
    ///
    /// A peer that did not notice an outage takes an entry that ran out in it for a server that leaves. A
    /// host that did notice doubts it as if the store had told it.
    pub(crate) fn departs(
        self: &Arc<Self>,
        id: &backend::Id,
        departure: Departure,
        revision: Revision,
        from: &Heard,
    ) {
        if self.directory().is_newer(id, revision) {
            return;
        }
        match departure {
            Departure::Gone if self.store.is_degraded() => {
                self.suspect(id, self.lapse(), from);
            }
            Departure::Gone => {
                self.dispatcher().unregistered(id, self.now());
                self.set_aside(id, revision, from);
            }
            Departure::Leaving => self.set_aside(id, revision, from),
        }
    }

    /// Sends a server nothing new until its entry is written after this revision.
    fn set_aside(&self, id: &backend::Id, revision: Revision, from: &Heard) {
        if self.dispatcher().is_used(id)
            && let Some(server) = self.server(id)
        {
            self.standing(&server, ServerStanding::Leaving, from, "a peer says that it leaves");
        }
        self.directory().leave(id, revision);
        self.dispatcher().draining(id);
    }

    /// Sends servers nothing new whose entries say at a peer that they drain, which is for good.
    pub(crate) fn drain<'a>(&self, ids: impl Iterator<Item = &'a backend::Id>) {
        let (mut directory, mut dispatcher) = (self.directory(), self.dispatcher());
        for id in ids {
            directory.leave(id, Revision::MAX);
            dispatcher.draining(id);
        }
    }

    fn standing(&self, server: &Server, standing: ServerStanding, from: &Heard, why: &'static str) {
        self.teller.belief(Belief::Server {
            server: server.id.clone(),
            standing,
            from: from.clone(),
            service: Some(server.service.clone()),
            address: Some(server.address),
            why: Word::Borrowed(why),
        });
    }

    fn gone(&self, id: &backend::Id, from: &Heard, why: &'static str) {
        if let Some(server) = self.server(id) {
            self.standing(&server, ServerStanding::Gone, from, why);
        }
        self.directory().remove(id);
        self.ended(id);
    }

    /// A run of a server is over: nothing that was known of it counts for a later one.
    fn ended(&self, id: &backend::Id) {
        self.planner().gone(id, self.now());
        self.dispatcher().gone(id, self.now());
        self.dispatch_wakeup.notify_one();
    }

    /// Whether a server is one of a service with engines, as far as is declared.
    pub(crate) fn runs_models(&self, server: &Server) -> bool {
        self.declaration().is_some_and(|declaration| has_engine(&declaration, &server.service))
    }

    /// Tells the planner of the servers that came before their service was declared.
    pub(crate) fn plan_for_known(&self, before: Option<&Declaration>) {
        let was_known = |server: &&Arc<Server>| {
            before.is_some_and(|before| has_engine(before, &server.service))
        };
        let servers: Vec<Arc<Server>> =
            self.directory().servers().filter(|s| !was_known(s)).cloned().collect();
        let now = self.now();
        for server in servers.iter().filter(|server| self.runs_models(server)) {
            self.planner().server(server, now);
        }
        self.plan_wakeup.notify_one();
    }

    /// Whether a server was not asked for a report for so long; it counts as asked then.
    pub(crate) fn report_is_due(&self, id: &backend::Id, now: Moment, pause: Duration) -> bool {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = reports.get(id).is_none_or(|last| *last + pause <= now);
        if is_due {
            reports.insert(id.clone(), now);
        }
        is_due
    }

    /// Takes in a server's report, and tells the others what it holds since the last one.
    pub(crate) fn reported(&self, server: &Server, report: &Report) {
        self.dispatcher().report(&server.id, report, self.now());
        let before = |held: &Held| server.models.iter().any(|known| known.model == held.model);
        for held in report.models.iter().filter(|held| !before(held)) {
            self.notify(Notice::Loaded {
                server: server.id.clone(),
                model: held.model.clone(),
                adapter: None,
                sequence: report.sequence,
            });
        }
        self.directory().reported(&server.id, &report.models);
        self.dispatch_wakeup.notify_one();
    }

    /// Takes in what came of an order, and tells the others.
    pub(crate) fn ordered(&self, order: &place::Order, outcome: Outcome) {
        if !matches!(outcome, Outcome::Accepted | Outcome::AlreadyHolds) {
            return;
        }
        let (now, adapter) = (self.now(), order.adapter.as_ref());
        let (server, model) = (order.server.clone(), order.model.clone());
        let sequence = order.expected + 1;
        let mut dispatcher = self.dispatcher();
        match order.operation {
            Operation::Unload => {
                dispatcher.drops(&server, &model, adapter, sequence, now);
                self.notify(Notice::Unloaded {
                    server,
                    model,
                    adapter: adapter.cloned(),
                    sequence,
                });
            }
            // An adapter is there before a request that is sent now.
            Operation::Load if adapter.is_some() => {
                dispatcher.holds(&server, &model, adapter, sequence, now);
                self.notify(Notice::Loaded { server, model, adapter: adapter.cloned(), sequence });
            }
            Operation::Load => dispatcher.coming(&server, &model, adapter, now + LOAD),
        }
        self.dispatch_wakeup.notify_one();
    }

    /// Counts a request.
    pub(crate) fn arrived(&self, call: &Call) {
        let ask = &call.held.ask;
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).arrived(&call.service);
        let Some(model) = ask.model.clone() else { return };
        let output = ask.length_hint.unwrap_or(ask.tokens_out).min(ask.tokens_out);
        let work = Work { requests: 1, prompt: ask.tokens_in.into(), output: output.into() };
        self.demand_arrived(Subject { model, adapter: ask.adapter.clone() }, work);
    }

    /// A request waits for a model or adapter.
    pub(crate) fn missing(
        &self,
        service: &service::Id,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
    ) {
        let now = self.now();
        if self.term().fence(now).is_some() {
            self.planner().missing(model, adapter, now);
            self.plan_wakeup.notify_one();
            return;
        }
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = counts.is_due(model, adapter, now);
        drop(counts);
        if is_due && let Some(exchange) = self.exchange() {
            peers::wanted(self, &exchange, service, model, adapter);
        }
    }

    /// Tells the planner how many requests of each model are at each server, over all hosts.
    pub(crate) fn running(
        &self,
        running: &BTreeMap<(&backend::Id, &model::Id), u32>,
        planner: &mut Planner,
    ) {
        let directory = self.directory();
        for server in directory.servers() {
            for held in &server.models {
                let requests = running.get(&(&server.id, &held.model)).copied().unwrap_or(0);
                planner.in_flight(&server.id, &held.model, requests);
            }
        }
    }

    /// Tells all other hosts.
    pub(crate) fn notify(&self, notice: Notice) {
        if let Some(exchange) = self.exchange() {
            // Only a notice to one host can fail, if that host is not known.
            let _ = exchange.send(Recipients::All, notice);
        }
    }
}

/// Whether a service is declared with engines.
fn has_engine(declaration: &Declaration, service: &service::Id) -> bool {
    let mut services = declaration.services.iter();
    services.any(|declared| declared.name == *service && declared.engine.is_some())
}
