//! The planner's duty: decides where models are loaded, and sends the orders for it.
//!
//! One host plans at a time, under a lease that only avoids duplicate work: two hosts that both
//! consider themselves holders do no harm. Each round settles the orders that can be settled, then
//! turns the planner's moves into orders: it reserves memory in the server's ledger, reads the
//! ledger back if the response is lost, and sends only orders that are recorded there. An unload
//! that relies on another replica is sent only if that replica's ledger, read after the unload was
//! written, still keeps it. A host without the lease settles its own orders.

mod demand;
mod fleet;
mod lease;
mod ledgers;
mod orders;
mod settle;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use observe::{Event, event};
use policy::{
    ledger::{
        absence::{GoneSenders, Times},
        replica::may_unload,
    },
    plan::{Cause, Engine, Limits, Move, Planner},
};
use types::{
    order::{Action, Order},
    prelude::*,
};

use self::{
    demand::Samples,
    lease::PlanningLease,
    ledgers::{Ledgers, StoredLedger, WriteOutcome},
    orders::Orders,
};
use crate::context::Context;

/// Maximum time between two reads of all ledgers; writes by other hosts also show as conflicts.
const LEDGER_LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Plans forever.
pub(super) async fn run(context: Arc<Context>) {
    let mut duty = Duty::new(context.clone());
    loop {
        if let Err(error) = duty.round().await {
            log::warn!("planning round failed: {error}");
        }
        tokio::time::sleep(context.settings.intervals.plan).await;
    }
}

struct Duty {
    context: Arc<Context>,
    lease: PlanningLease,
    ledgers: Ledgers,
    orders: Orders,
    gone_senders: GoneSenders,
    planner: Planner,
    samples: Samples,
    configured: config::Number,
    /// Whether no order from an earlier run of this host is left.
    earlier_runs_settled: bool,
    /// Engines as last passed to the planner.
    reported: BTreeMap<backend::Id, Engine>,
    /// Engines for which a move was attempted in the last round.
    attempted: BTreeSet<backend::Id>,
    /// Time at which a load was last repeated, by server and unit.
    retried: BTreeMap<(backend::Id, Unit), Moment>,
}

impl Duty {
    fn new(context: Arc<Context>) -> Duty {
        let planning = &context.settings.planning;
        let times = Times { list_lag: planning.list_lag, linger: planning.linger };
        Duty {
            lease: PlanningLease::new(context.clone()),
            ledgers: Ledgers::new(context.clone()),
            orders: Orders::new(context.clone()),
            gone_senders: GoneSenders::new(times),
            planner: planner(&context),
            samples: Samples::default(),
            configured: 0,
            earlier_runs_settled: false,
            reported: BTreeMap::new(),
            attempted: BTreeSet::new(),
            retried: BTreeMap::new(),
            context,
        }
    }

    async fn round(&mut self) -> Result<(), objects::Error> {
        if self.context.is_draining() {
            self.lease.release().await;
            return self.settle_own().await;
        }
        if self.context.config().number == 0 || !self.is_listed() {
            return Ok(());
        }
        if !self.lease.acquire_or_renew().await {
            self.reset_planner();
            return self.settle_own().await;
        }
        let now = self.context.now();
        if self.is_list_due(now) {
            self.ledgers.list().await?;
            self.orders.sender().retain_in(self.ledgers.iter());
        }
        self.settle_all().await;
        self.publish_moves();
        self.retry_loads().await;
        self.execute_moves().await;
        self.publish_moves();
        Ok(())
    }

    fn is_list_due(&self, now: Moment) -> bool {
        self.ledgers.listed_at().is_none_or(|listed| listed + LEDGER_LIST_INTERVAL <= now)
    }

    /// Resets the planner, since another host plans in the meantime.
    fn reset_planner(&mut self) {
        if !self.reported.is_empty() {
            self.planner = planner(&self.context);
            self.configured = 0;
            self.reported.clear();
            self.attempted.clear();
        }
    }

    /// Whether the platform lists this host; until then other hosts might consider it gone.
    fn is_listed(&self) -> bool {
        let host = &self.context.host().id;
        self.context.fleet.list().hosts.iter().any(|entry| entry.host.id == *host)
    }

    fn publish_moves(&self) {
        self.context.moves.set_ledgers(self.context.now(), self.ledgers.iter());
        self.context.moves.record_memory(&self.context.metrics);
    }

    async fn execute_moves(&mut self) {
        let config = self.context.config();
        if self.configured != config.number {
            self.planner.configure(&config.config);
            self.configured = config.number;
        }
        self.update_demand();
        self.update_engines();
        let moves = self.planner.plan(self.context.now());
        // These engines are passed to the planner again, so that a move that was not made is
        // proposed again.
        self.attempted = moves.iter().map(|proposal| proposal.server.clone()).collect();
        for proposal in &moves {
            self.execute(proposal).await;
        }
    }

    async fn execute(&mut self, proposal: &Move) {
        let cause = cause_label(proposal.cause);
        let Some(order) = self.reserve(&proposal.server, &proposal.action, cause.into()).await
        else {
            return;
        };
        if let (Action::Unload { unit }, Some(keeper)) = (&order.action, &proposal.keeper)
            && !self.is_kept(unit, keeper).await
        {
            log::info!(
                order = &*order.id, keeper = &**keeper;
                "unload withdrawn: no proof that the keeper keeps the unit"
            );
            self.orders.sender().mark_not_sent(&order.id);
            return;
        }
        self.context.metrics.moved(cause);
        self.send(order, cause);
    }

    /// Orders loads again whose orders may have been lost: their memory stays reserved anyway until
    /// they are settled.
    async fn retry_loads(&mut self) {
        let now = self.context.now();
        let pause = self.context.settings.planning.order * 2;
        let config = self.context.config();
        let lost: Vec<(backend::Id, Action, Arc<str>)> = self
            .ledgers
            .iter()
            .flat_map(|ledger| ledger.repeatable())
            .filter(|entry| pause <= self.context.moves.known_for(now, &entry.order.id))
            .filter(|entry| is_declared(&config.config, &entry.order.action))
            .map(|entry| {
                let order = &entry.order;
                (order.server.clone(), order.action.clone(), entry.cause.clone())
            })
            .collect();
        for (server, action, cause) in lost {
            let Action::Load { unit, .. } = &action else { continue };
            let key = (server.clone(), unit.clone());
            if self.retried.get(&key).is_some_and(|last| now < *last + pause) {
                continue;
            }
            self.retried.insert(key, now);
            if let Some(order) = self.reserve(&server, &action, cause.clone()).await {
                self.send(order, &cause);
            }
        }
        self.retried.retain(|_, last| now < *last + pause);
    }

    /// Reserves memory for an order; returns the order only if the reservation is known to be
    /// written.
    async fn reserve(
        &mut self,
        server: &backend::Id,
        action: &Action,
        cause: Arc<str>,
    ) -> Option<Order> {
        let StoredLedger { version, ledger } = self.ledgers.get(server).cloned()?;
        let claim = self.orders.sender().claim(cause);
        let id = claim.id.clone();
        let (next, order) = match ledger.reserve(claim, action.clone()) {
            Ok(reserved) => reserved,
            Err(short) => {
                log::info!(server = &**server; "memory not reserved: {short}");
                self.orders.sender().forget(&id);
                return None;
            }
        };
        match self.ledgers.reserve(version, &next, &id).await {
            WriteOutcome::Applied => Some(order),
            WriteOutcome::NotApplied => {
                self.orders.sender().forget(&id);
                None
            }
            WriteOutcome::Unknown => {
                self.orders.sender().mark_not_sent(&id);
                None
            }
        }
    }

    /// Whether the keeper's ledger, read now, keeps the unit.
    async fn is_kept(&mut self, unit: &Unit, keeper: &backend::Id) -> bool {
        match self.ledgers.read(keeper).await {
            Ok(stored) => may_unload(unit, stored.map(|stored| &stored.ledger)),
            Err(error) => {
                log::warn!(server = &**keeper; "ledger of the keeper not read: {error}");
                false
            }
        }
    }

    fn send(&self, order: Order, cause: &str) {
        let Some(address) = self.address(&order.server) else {
            self.orders.sender().mark_not_sent(&order.id);
            return;
        };
        log::info!(
            order = &*order.id, server = &*order.server, cause = cause;
            "sending order: {:?}", order.action
        );
        let mut event = Event::new(event::Kind::Order {
            order: order.id.clone(),
            fence: order.fence,
            action: order.action.clone(),
            cause: cause.to_owned().into(),
        });
        if let Some(unit) = order.action.unit() {
            event = event.model(unit.model());
        }
        self.context.events.record(event.server(&order.server));
        self.orders.send(address, order);
    }
}

/// Creates a planner with the limits in the settings and no engines.
fn planner(context: &Context) -> Planner {
    let planning = &context.settings.planning;
    let limits = Limits {
        loads_per_second: planning.loads_per_second,
        max_concurrent_loads: planning.loads_at_once,
    };
    Planner::new(limits)
}

/// Whether the action loads a unit that is still declared with the same version.
fn is_declared(config: &config::Config, action: &Action) -> bool {
    let Action::Load { unit, .. } = action else { return false };
    let Some(declared) = config.models.get(unit.model()) else { return false };
    match unit {
        Unit::Model { version, .. } => declared.version == *version,
        Unit::Adapter { adapter, version, .. } => {
            declared.adapters.get(adapter).is_some_and(|adapter| adapter.version == *version)
        }
    }
}

fn cause_label(cause: Cause) -> &'static str {
    match cause {
        Cause::Missing => "missing",
        Cause::Leaving => "leaving",
        Cause::Version => "version",
        Cause::Adapter => "adapter",
        Cause::Spread => "spread",
        Cause::Demand => "demand",
        Cause::Room => "room",
        Cause::Removed => "removed",
    }
}
