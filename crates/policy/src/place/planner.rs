//! The planner: takes events and returns orders.

use std::{collections::BTreeMap, sync::Arc};

use types::{
    prelude::*,
    routed::{self, Engine, Report},
};

use super::{
    Order, Outcome, Rules, adapters,
    demand::{Demand, Work},
    draft::{Decision, Draft, store_loads},
    gain,
    headroom::Headroom,
    server_view::{SentOrder, ServerView, Source},
    store::{self, Allowance, Bucket},
    unplaced::{self, Unplaced},
};

/// A service with model servers.
#[derive(Clone, Debug)]
struct Service {
    engine: Engine,
    /// All models declared so far: servers may still hold one that is no longer declared.
    sizes: BTreeMap<model::Id, routed::Model>,
    bucket: Bucket,
}

/// Plans placement on the host that holds the order lease.
#[derive(Clone, Debug)]
pub struct Planner {
    rules: Rules,
    services: BTreeMap<service::Id, Service>,
    servers: BTreeMap<backend::Id, ServerView>,
    /// Unresolved orders to ended runs, by the server's name: a later run may still carry them out.
    unresolved: BTreeMap<Arc<str>, Vec<SentOrder>>,
    demand: Demand,
    unplaced: Vec<Unplaced>,
}

impl Planner {
    /// Creates a planner without services, servers or demand.
    pub fn new(rules: Rules) -> Planner {
        let (services, servers, unresolved, unplaced) = Default::default();
        Planner { rules, services, servers, unresolved, demand: Demand::default(), unplaced }
    }

    /// Adds a service, or replaces its declaration.
    pub fn declare(&mut self, service: &service::Id, engine: &Engine, now: Moment) {
        let rules = &self.rules;
        let entry = self.services.entry(service.clone()).or_insert_with(|| Service {
            engine: engine.clone(),
            sizes: BTreeMap::new(),
            bucket: Bucket::new(rules, engine.loads_per_s, now),
        });
        entry.bucket.set_rate(rules, engine.loads_per_s);
        entry.engine = engine.clone();
        entry.sizes.extend(engine.models.iter().map(|m| (m.name.clone(), m.clone())));
    }

    /// Removes a service that is no longer declared.
    pub fn remove_service(&mut self, service: &service::Id) {
        self.services.remove(service);
    }

    /// Applies a new or changed registration. A new run replaces an earlier one at the same
    /// address.
    pub fn register_server(&mut self, server: &routed::Server, now: Moment) {
        if let Some(view) = self.servers.get_mut(&server.id) {
            return view.apply_registration(server, now);
        }
        self.servers.retain(|_, view| view.address != server.address);
        let mut view = ServerView::new(&self.rules, server, now);
        if let Some(unresolved) = self.unresolved.remove(&server.name) {
            view.inherit(unresolved);
        }
        self.servers.insert(server.id.clone(), view);
    }

    /// Removes a run that has ended; its unresolved orders are kept for the server's next run.
    pub fn remove_server(&mut self, server: &backend::Id, now: Moment) {
        let Some(view) = self.servers.remove(server) else { return };
        let (name, unresolved) = view.into_unresolved(&self.rules, now);
        if !unresolved.is_empty() {
            self.unresolved.insert(name, unresolved);
        }
    }

    /// Applies a server's report, unless it is older than the planner's view.
    pub fn report(&mut self, server: &backend::Id, report: &Report, now: Moment) {
        let Some(view) = self.servers.get_mut(server) else { return };
        let begun = view.apply_report(report, now);
        if let Some(service) = self.services.get_mut(&view.service) {
            (0..begun).for_each(|_| service.bucket.charge());
        }
    }

    /// Begins a lease term with empty demand, since another host received the demand reports until
    /// now.
    pub fn begin_term(&mut self, now: Moment) {
        self.demand = Demand::new(now);
    }

    /// Records requests that arrived at any host at `at`, which may be some seconds ago. Undeclared
    /// models and adapters are ignored.
    pub fn record_arrivals(
        &mut self,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        work: Work,
        at: Moment,
    ) {
        let Some(slots) = self.slots(model, adapter) else { return };
        self.demand.record_arrivals(&self.rules, slots, model, adapter, work, at);
    }

    /// Records that a request is waiting now for a model or adapter. Undeclared ones are ignored.
    pub fn record_waiting(
        &mut self,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        now: Moment,
    ) {
        if self.slots(model, adapter).is_some() {
            self.demand.record_waiting(model, adapter, now);
        }
    }

    /// Sets the number of requests for a model in flight to a server, summed over all hosts.
    pub fn set_in_flight(&mut self, server: &backend::Id, model: &model::Id, requests: u32) {
        if let Some(view) = self.servers.get_mut(server) {
            view.requests_in_flight.insert(model.clone(), requests);
        }
    }

    /// Replaces the set of servers that answer no host. Replicas there count as lost until the
    /// servers answer again.
    pub fn set_unresponsive(&mut self, servers: &[backend::Id]) {
        for (id, view) in &mut self.servers {
            view.is_unresponsive = servers.contains(id);
        }
    }

    /// Replaces the servers' rate limits, in requests per second. A limited server counts as the
    /// fraction of a server that its limit leaves.
    pub fn set_rate_limits(&mut self, limits: &BTreeMap<backend::Id, f64>) {
        for (id, view) in &mut self.servers {
            view.limit = limits.get(id).copied();
        }
    }

    /// Replaces the servers' long-term factors of processing time; those left out are of median
    /// speed.
    pub fn set_speeds(&mut self, factors: &BTreeMap<backend::Id, f64>) {
        for (id, view) in &mut self.servers {
            view.scale = factors.get(id).copied().unwrap_or(1.0);
        }
    }

    /// Returns the orders to send now. The outcome of each must be passed to
    /// [`Planner::record_outcome`].
    pub fn plan(&mut self, now: Moment) -> Vec<Order> {
        self.servers.values_mut().for_each(|view| view.expire(&self.rules, now));
        self.unresolved
            .retain(|_, unresolved| unresolved.iter().any(|sent| sent.may_take_effect(now)));
        self.unplaced.clear();
        let names: Vec<service::Id> = self.services.keys().cloned().collect();
        names.iter().flat_map(|service| self.plan_service(service, now)).collect()
    }

    /// Returns the models and adapters that the last plan wanted and could not order.
    pub fn unplaced(&self) -> &[Unplaced] {
        &self.unplaced
    }

    /// Returns what a plan can work with now, over all services.
    pub fn headroom(&self, now: Moment) -> Headroom {
        let mut headroom = Headroom::default();
        for (name, Service { engine, sizes, .. }) in &self.services {
            let own = self.servers.iter().filter(|(_, view)| view.service == *name);
            headroom.add(&Draft::new(&self.rules, engine, sizes, &self.demand, own, now));
        }
        headroom
    }

    fn plan_service(&mut self, name: &service::Id, now: Moment) -> Vec<Order> {
        let Some(service) = self.services.get_mut(name) else { return Vec::new() };
        let own = || self.servers.iter().filter(|(_, view)| view.service == *name);
        let unresolved =
            |view: &ServerView| view.unresolved.iter().any(|sent| sent.source == Source::Store);
        let reserved = |view: &ServerView| {
            let reservation = view.reservation.as_ref();
            reservation.is_some_and(|(model, _)| view.source(model) == Source::Store)
        };
        let servers = |fits: &dyn Fn(&ServerView) -> bool| {
            own().filter(|(_, view)| fits(view)).map(|(id, _)| id.clone()).collect()
        };
        let mut store = Allowance {
            unresolved: servers(&unresolved),
            reserved: servers(&reserved),
            loads_running: store_loads(own().map(|(_, view)| view)),
            max_concurrent_loads: store::max_concurrent_loads(&service.engine),
            bucket: &mut service.bucket,
            now,
        };
        let (engine, sizes) = (&service.engine, &service.sizes);
        let mut draft = Draft::new(&self.rules, engine, sizes, &self.demand, own(), now);
        gain::plan(&mut draft, &mut store);
        adapters::plan(&mut draft);
        self.unplaced.extend(unplaced::unplaced(&draft, &mut store));
        let decisions = draft.decisions;
        decisions.into_iter().map(|decision| self.send(decision, now)).collect()
    }

    fn send(&mut self, decision: Decision, now: Moment) -> Order {
        if let Some(view) = self.servers.get_mut(&decision.order.server) {
            view.record_sent(&decision, now);
        }
        decision.order
    }

    /// Records the outcome of an order from [`Planner::plan`].
    pub fn record_outcome(&mut self, order: &Order, outcome: Outcome, now: Moment) {
        let Some(view) = self.servers.get_mut(&order.server) else { return };
        let service = self.services.get_mut(&view.service);
        let declared = service.as_ref().and_then(|service| service.sizes.get(&order.model));
        let source = view.source(&order.model);
        let load = declared.map_or(Duration::ZERO, |model| gain::load_time(model, source));
        let Some(sent) = view.record_outcome(&self.rules, order, outcome, load, now) else {
            return;
        };
        let may_take_effect = matches!(outcome, Outcome::Accepted | Outcome::Unknown);
        if let (Some(service), true) = (service, sent.charged && !may_take_effect) {
            service.bucket.refund();
        }
    }

    /// Returns the servers whose report is needed now to know what they hold or which order they
    /// are carrying out.
    pub fn unsettled(&self, now: Moment) -> impl Iterator<Item = &backend::Id> {
        self.servers.iter().filter(move |(_, view)| view.is_unsettled(now)).map(|(id, _)| id)
    }

    /// Returns the concurrent requests per server of a declared model's service; `None` if the
    /// model or the adapter isn't declared.
    fn slots(&self, model: &model::Id, adapter: Option<&adapter::Id>) -> Option<u32> {
        let engines = self.services.values().map(|service| &service.engine);
        let find = |engine: &Engine| {
            let declared = engine.models.iter().find(|declared| declared.name == *model)?;
            adapter.is_none_or(|adapter| is_declared(declared, adapter)).then_some(engine.slots)
        };
        engines.filter_map(find).next()
    }
}

/// Whether an adapter is declared: `a1` to `aN` for a model with N adapters.
fn is_declared(model: &routed::Model, adapter: &adapter::Id) -> bool {
    let number = adapter.strip_prefix('a').and_then(|number| number.parse::<u32>().ok());
    number.is_some_and(|number| (1..=model.adapters).contains(&number))
}
