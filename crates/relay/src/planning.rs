//! Sends the planner's orders to the model servers while this host holds the lease.

mod rounds;

use std::{sync::Arc, time::Duration};

use observe::story::{Answer, Belief, Text};
use policy::place::{self, Outcome, Pace, Planner, RoundUrgency};
use tokio::{
    select,
    task::yield_now,
    time::{Instant, sleep},
};
use types::{order::Fence, prelude::*, routed::Server};

use crate::{
    connect::WriteGuard,
    control::ControlConnection,
    edge::{self, OrderStatus},
    host::Shared,
    paths,
    unplaced::{self, UnplacedReporter},
};

use self::rounds::Rounds;

/// Interval at which a host that does not plan looks for the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two requests for a report to one server.
const REPORT_INTERVAL: Duration = Duration::from_millis(120);

/// Like `REPORT_INTERVAL`, for a server that states a rate limit: such a server may count requests
/// for reports against the limit.
const LIMITED_REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// Plans whenever this host holds the lease, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut unplaced = UnplacedReporter::default();
    let mut rounds = Rounds::default();
    let mut pace = Pace::default();
    loop {
        if shared.term().fence(shared.now()).is_none() {
            unplaced.end(&shared);
            shared.reset_demand_log();
            (rounds, pace) = Default::default();
            shared.plan_wakeup.take();
            select! {
                () = sleep(LEASE_CHECK_INTERVAL) => {}
                () = shared.plan_wakeup.requested() => {}
            }
            continue;
        }
        wait_for_round(&shared, &pace).await;
        let now = shared.now();
        let request = shared.plan_wakeup.take();
        if shared.term().fence(now).is_none() {
            continue;
        }
        round(&shared, now);
        let ended = shared.now();
        pace.record(now, ended);
        rounds.record(&shared, request.map(|request| request.since), now, ended);
        // Lets the orders be sent before the survey.
        yield_now().await;
        unplaced.report(&shared, shared.now());
        shared.log_demand(now);
    }
}

/// Waits until the next round of planning is due.
async fn wait_for_round(shared: &Shared, pace: &Pace) {
    loop {
        let request = shared.plan_wakeup.pending();
        let due = request.map_or(pace.next_unrequested(), |request| pace.next(request.urgency));
        let left = due.saturating_sub(shared.now());
        if left.is_zero() {
            // Lets the tasks run that became ready during the last round.
            yield_now().await;
            return;
        }
        select! {
            () = sleep(left) => {}
            () = shared.plan_wakeup.requested() => {}
        }
    }
}

impl Shared {
    /// Requests a round of planning.
    pub(crate) fn wake_planner(&self, urgency: RoundUrgency) {
        self.plan_wakeup.request(urgency, self.now());
    }
}

fn round(shared: &Arc<Shared>, now: Moment) {
    let dispatcher = shared.dispatcher();
    let unresponsive = dispatcher.unresponsive(now);
    let limited = dispatcher.quotas().limits().limited();
    let limits =
        limited.filter_map(|(id, limit)| Some((id.clone(), limit.rate?.as_f64()))).collect();
    let speeds = dispatcher.speed_factors();
    drop(dispatcher);
    let mut planner = shared.planner();
    planner.set_unresponsive(&unresponsive);
    planner.set_speeds(&speeds);
    planner.set_rate_limits(&limits);
    for order in planner.plan(now) {
        tokio::spawn(carry_out(shared.clone(), order));
    }
    let unsettled: Vec<backend::Id> = planner.unsettled(now).cloned().collect();
    drop(planner);
    for id in unsettled {
        let Some(server) = shared.server(&id) else { continue };
        if shared.dispatcher().backs_off(&id, now) {
            continue;
        }
        let is_limited = shared.dispatcher().quotas().limit(&id).is_some();
        let pause = if is_limited { LIMITED_REPORT_INTERVAL } else { REPORT_INTERVAL };
        if shared.runs_models(&server.service) && shared.report_is_due(&id, now, pause) {
            tokio::spawn(report(shared.clone(), server));
        }
    }
}

async fn report(shared: Arc<Shared>, server: Arc<Server>) {
    let Some(report) = shared.control.report(&*shared.dialect, &server).await else { return };
    let now = shared.now();
    let Some(server) = shared.current_run(&server, report.started_at) else { return };
    let urgency = shared.planner().report(&server.id, &report, now);
    shared.apply_report(&server, &report);
    shared.wake_planner(urgency);
}

async fn carry_out(shared: Arc<Shared>, order: place::Order) {
    shared.logger.belief(placement(&shared, &order));
    let outcome = match shared.server(&order.server) {
        Some(server) => send(&shared, &server, &order).await,
        None => Outcome::NotThere,
    };
    let now = shared.now();
    shared.planner().record_outcome(&order, outcome, now);
    shared.apply_order(&order, outcome);
    shared.wake_planner(match order.cause {
        place::Cause::Missing | place::Cause::Room => RoundUrgency::Urgent,
        place::Cause::Spread | place::Cause::Demand => RoundUrgency::Normal,
    });
}

async fn send(shared: &Arc<Shared>, server: &Arc<Server>, order: &place::Order) -> Outcome {
    if shared.dispatcher().backs_off(&server.id, shared.now()) {
        unplaced::report_unsent(shared, order, "back-off");
        return Outcome::Busy;
    }
    if !shared.dispatcher().take_permit(&server.id, shared.now()) {
        unplaced::report_unsent(shared, order, "limit");
        return Outcome::Busy;
    }
    let slot = shared.control.slot(server);
    let Some(connection) = ControlConnection::open(server, &slot).await else {
        paths::check_path(shared, server);
        unplaced::report_unsent(shared, order, "not-reached");
        return Outcome::Busy;
    };
    // Opening the connection may have taken long.
    let Some(fence) = shared.term().fence(shared.now()) else {
        unplaced::report_unsent(shared, order, "no-lease");
        return Outcome::Busy;
    };
    let began = Instant::now();
    let edge_order = edge::Order {
        server: server.name.clone(),
        operation: match order.operation {
            place::Operation::Load => edge::Operation::Load,
            place::Operation::Unload => edge::Operation::Unload,
        },
        model: order.model.clone(),
        adapter: order.adapter.clone(),
        expected: order.expected,
        holder: shared.host.id.clone(),
        fence,
    };
    let guard = Arc::new(lease_guard(shared, fence));
    let reply = connection
        .order(&*shared.dialect, server, &edge_order, guard.clone(), shared.order_timeout)
        .await;
    if guard.is_unsent() {
        unplaced::report_unsent(shared, order, "no-lease");
        return Outcome::Busy;
    }
    let status = match shared.current_run(server, reply.started_at) {
        Some(run) if run.id == server.id => reply.status,
        // Another run of the server has received the order; a report will show what that run did.
        Some(_) | None => OrderStatus::NotThere,
    };
    report_answer(shared, order, fence, status, began.elapsed());
    if status == OrderStatus::Unknown {
        paths::check_path(shared, server);
    }
    match status {
        OrderStatus::Accepted => Outcome::Accepted,
        OrderStatus::Holds => Outcome::AlreadyHolds,
        OrderStatus::Conflict | OrderStatus::Fenced => Outcome::Conflict,
        OrderStatus::NotThere | OrderStatus::Invalid => Outcome::NotThere,
        OrderStatus::Unknown => Outcome::Unknown,
    }
}

/// Permits writes while this host holds the lease under `fence`.
fn lease_guard(shared: &Arc<Shared>, fence: Fence) -> WriteGuard {
    let shared = Arc::downgrade(shared);
    WriteGuard::new(move || {
        shared.upgrade().is_some_and(|shared| shared.term().may_order(shared.now()) == Some(fence))
    })
}

fn report_answer(
    shared: &Shared,
    order: &place::Order,
    fence: Fence,
    status: OrderStatus,
    took: Duration,
) {
    let answer = match status {
        OrderStatus::Accepted => Answer::Accepted,
        OrderStatus::Holds => Answer::Holds,
        OrderStatus::Conflict => Answer::Conflict,
        OrderStatus::Fenced => Answer::Stale,
        OrderStatus::NotThere => Answer::OtherRun,
        OrderStatus::Invalid => Answer::Rejected,
        OrderStatus::Unknown => Answer::None,
    };
    shared.meters.order(answer);
    shared.logger.belief(Belief::Order {
        server: order.server.clone(),
        action: action(order.operation),
        model: order.model.clone(),
        adapter: order.adapter.clone(),
        fence,
        expected: Some(order.expected),
        answer,
        took,
    });
}

fn placement(shared: &Shared, order: &place::Order) -> Belief {
    let why = match order.cause {
        place::Cause::Missing => "missing",
        place::Cause::Spread => "spread",
        place::Cause::Demand => "demand",
        place::Cause::Room => "room",
    };
    Belief::Placement {
        server: order.server.clone(),
        action: action(order.operation),
        model: order.model.clone(),
        adapter: order.adapter.clone(),
        demand: None,
        replicas: replicas(shared, &order.model),
        why: Text::Borrowed(why),
    }
}

/// Returns the number of servers that report a model as loaded.
pub(crate) fn replicas(shared: &Shared, model: &model::Id) -> u32 {
    let directory = shared.directory();
    let holds = |server: &&Arc<Server>| server.models.iter().any(|held| held.model == *model);
    u32::try_from(directory.servers().filter(holds).count()).unwrap_or(u32::MAX)
}

fn action(operation: place::Operation) -> Text {
    Text::Borrowed(match operation {
        place::Operation::Load => "load",
        place::Operation::Unload => "unload",
    })
}

/// Passes a declaration's engines to the planner.
pub(crate) fn declare(
    planner: &mut Planner,
    declaration: &types::routed::Declaration,
    now: Moment,
) {
    for service in &declaration.services {
        if let Some(engine) = &service.engine {
            planner.declare(&service.name, engine, now);
        }
    }
}
