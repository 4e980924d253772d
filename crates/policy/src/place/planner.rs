//! The planner: takes events and returns orders.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use types::{
    prelude::*,
    routed::{self, Engine, Report},
};

use super::{
    Effort, Order, Outcome, Rules, adapters,
    demand::{Demand, Work},
    draft::{Decision, Draft, Models, store_loads},
    gain,
    pace::RoundUrgency,
    server_view::{SentOrder, ServerView, Source},
    store::{self, Allowance, Bucket},
    survey::Survey,
    unplaced,
};

/// A service with model servers.
#[derive(Clone, Debug)]
struct Service {
    engine: Engine,
    models: Models,
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
    /// Work of the last plan.
    effort: Effort,
}

impl Planner {
    /// Creates a planner without services, servers or demand.
    pub fn new(rules: Rules) -> Planner {
        let (services, servers, unresolved) = Default::default();
        let (demand, effort) = Default::default();
        Planner { rules, services, servers, unresolved, demand, effort }
    }

    /// Adds a service, or replaces its declaration.
    pub fn declare(&mut self, service: &service::Id, engine: &Engine, now: Moment) {
        let rules = &self.rules;
        let entry = self.services.entry(service.clone()).or_insert_with(|| Service {
            engine: engine.clone(),
            models: Models::default(),
            bucket: Bucket::new(rules, engine.loads_per_s, now),
        });
        entry.bucket.set_rate(rules, engine.loads_per_s);
        entry.engine = engine.clone();
        entry.models.declare(engine);
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

    /// Applies a server's report, unless it is older than the planner's view. Returns how soon a
    /// round is needed: at once if room was made for a load.
    pub fn report(&mut self, server: &backend::Id, report: &Report, now: Moment) -> RoundUrgency {
        let Some(view) = self.servers.get_mut(server) else { return RoundUrgency::Normal };
        let begun = view.apply_report(report, now);
        if let Some(service) = self.services.get_mut(&view.service) {
            (0..begun).for_each(|_| service.bucket.charge());
        }
        match view.reservation {
            Some(_) if view.accepts_orders(now) => RoundUrgency::Urgent,
            Some(_) | None => RoundUrgency::Normal,
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
    /// Returns how soon a round is needed: at once if none was waiting before.
    pub fn record_waiting(
        &mut self,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        now: Moment,
    ) -> RoundUrgency {
        let is_declared = self.slots(model, adapter).is_some();
        match is_declared && self.demand.record_waiting(model, adapter, now) {
            true => RoundUrgency::Urgent,
            false => RoundUrgency::Normal,
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
        let unresponsive: BTreeSet<&backend::Id> = servers.iter().collect();
        for (id, view) in &mut self.servers {
            view.is_unresponsive = unresponsive.contains(id);
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
        self.effort = Effort::default();
        let names: Vec<service::Id> = self.services.keys().cloned().collect();
        names.iter().flat_map(|service| self.plan_service(service, now)).collect()
    }

    /// Returns how much work the last plan took.
    pub fn effort(&self) -> Effort {
        self.effort
    }

    /// Returns what a plan can work with now, over all services, and the models and adapters that are
    /// wanted and have no order under way. This takes about as long as a plan, so it is not part of
    /// one.
    pub fn survey(&self, now: Moment) -> Survey {
        let mut survey = Survey::default();
        for (name, service) in &self.services {
            let draft = self.draft(name, service, now);
            let mut bucket = service.bucket;
            let mut store = self.allowance(name, service, &mut bucket, now);
            survey.headroom.add(&draft);
            survey.unplaced.extend(unplaced::unplaced(&draft, &mut store));
            survey.effort = survey.effort.plus(draft.effort());
        }
        survey
    }

    /// Returns the servers of a service.
    fn own<'a>(
        &'a self,
        service: &service::Id,
    ) -> impl Iterator<Item = (&'a backend::Id, &'a ServerView)> + Clone {
        self.servers.iter().filter(move |(_, view)| view.service == *service)
    }

    fn draft<'a>(&'a self, name: &service::Id, service: &'a Service, now: Moment) -> Draft<'a> {
        let Service { engine, models, .. } = service;
        Draft::new(&self.rules, engine, models, &self.demand, self.own(name), now)
    }

    /// Returns the loads that the service's weight store can still serve.
    fn allowance<'a>(
        &self,
        name: &service::Id,
        service: &Service,
        bucket: &'a mut Bucket,
        now: Moment,
    ) -> Allowance<'a> {
        let is_unresolved =
            |view: &ServerView| view.unresolved.iter().any(|sent| sent.source == Source::Store);
        let is_reserved = |view: &ServerView| {
            let reservation = view.reservation.as_ref();
            reservation.is_some_and(|(model, _)| view.source(model) == Source::Store)
        };
        let servers = |fits: &dyn Fn(&ServerView) -> bool| {
            self.own(name).filter(|(_, view)| fits(view)).map(|(id, _)| id.clone()).collect()
        };
        Allowance {
            bucket,
            unresolved: servers(&is_unresolved),
            reserved: servers(&is_reserved),
            loads_running: store_loads(self.own(name).map(|(_, view)| view)),
            max_concurrent_loads: store::max_concurrent_loads(&service.engine),
            now,
        }
    }

    fn plan_service(&mut self, name: &service::Id, now: Moment) -> Vec<Order> {
        let Some(service) = self.services.get(name) else { return Vec::new() };
        let mut bucket = service.bucket;
        let mut store = self.allowance(name, service, &mut bucket, now);
        let mut draft = self.draft(name, service, now);
        gain::plan(&mut draft, &mut store);
        adapters::plan(&mut draft);
        let (effort, decisions) = (draft.effort(), draft.decisions);
        self.effort = self.effort.plus(effort);
        if let Some(service) = self.services.get_mut(name) {
            service.bucket = bucket;
        }
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
        let declared = service.as_ref().and_then(|service| service.models.sizes.get(&order.model));
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
        let find = |Service { engine, models, .. }: &Service| {
            let declared = &engine.models[*models.indexes.get(model)?];
            adapter.is_none_or(|adapter| is_declared(declared, adapter)).then_some(engine.slots)
        };
        self.services.values().find_map(find)
    }
}

/// Whether an adapter is declared: `a1` to `aN` for a model with N adapters.
fn is_declared(model: &routed::Model, adapter: &adapter::Id) -> bool {
    let number = adapter.strip_prefix('a').and_then(|number| number.parse::<u32>().ok());
    number.is_some_and(|number| (1..=model.adapters).contains(&number))
}
