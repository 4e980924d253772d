//! Metrics of the routed path.
//!
//! All labels except the service, the customer, the duty, the task and the reason of a wish have closed sets of values. The
//! series of these sets are created once, and an update of one costs an index and an atomic
//! operation or, for a histogram, a lock.

mod exchange;
mod labels;

use std::{sync::Arc, time::Duration};

use opentelemetry::{
    KeyValue,
    metrics::{BoundCounter, BoundGauge, BoundHistogram, Counter, Gauge, Meter},
};
use types::{
    customer,
    order::Fence,
    routed::{Kind, Version},
    service,
};

pub use self::labels::{
    Admissions, AttemptOutcome, BeginPart, Break, Call, CallResult, Direction, Grants, Obstacle,
    Origin, Permits, Phase, PlanTime, Queue, Refusal, Resend,
};
use self::{exchange::Exchange, labels::Label};
use super::build::{counter, gauge, seconds};
use crate::story::{Answer, Outcome};

/// Upper bounds of the histogram buckets for phases, in seconds.
const PHASE_BOUNDS: [f64; 16] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.75, 1.5, 3.0, 6.0, 12.0, 30.0];

/// Upper bounds of the histogram buckets for the parts of the time until a request is sent, in
/// seconds. Few, since operators' collectors may truncate the exported text.
const BEGIN_BOUNDS: [f64; 4] = [0.02, 0.1, 0.3, 1.0];

/// Upper bounds of the histogram buckets for ages of reports, in seconds.
const AGE_BOUNDS: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0];

/// Upper bounds of the histogram buckets for rounds of planning and for late tasks, in seconds.
const ROUND_BOUNDS: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// The routed path's metrics; clones update the same series.
#[derive(Clone, Debug)]
pub struct Routed(Arc<Series>);

#[derive(Debug)]
struct Series {
    requests: Box<[Box<[BoundCounter<u64>]>]>,
    refusals: Box<[BoundCounter<u64>]>,
    cuts: Counter<u64>,
    attempts: Box<[BoundCounter<u64>]>,
    resends: Box<[BoundCounter<u64>]>,
    phases: Box<[Box<[BoundHistogram<f64>]>]>,
    begin: Box<[BoundHistogram<f64>]>,
    report_age: BoundHistogram<f64>,
    plan_rounds: Box<[BoundHistogram<f64>]>,
    lateness: BoundHistogram<f64>,
    declaration_age: BoundGauge<f64>,
    servers_age: BoundGauge<f64>,
    declaration: BoundGauge<u64>,
    queues: Box<[BoundGauge<u64>]>,
    calls: Box<[Box<[BoundCounter<u64>]>]>,
    orders: Box<[BoundCounter<u64>]>,
    lease: Gauge<u64>,
    term: Gauge<u64>,
    budget: Gauge<f64>,
    budget_spent: Gauge<u64>,
    budget_hosts: BoundGauge<u64>,
    wishes: Gauge<u64>,
    replicas: Gauge<u64>,
    demand: Box<[BoundCounter<u64>]>,
    unreadable: BoundCounter<u64>,
    task_panics: Counter<u64>,
    exchange: Exchange,
    relayed_servers: BoundGauge<u64>,
    tunnels: BoundGauge<u64>,
    limited: BoundGauge<u64>,
    shares: BoundGauge<u64>,
    permits: Box<[BoundGauge<u64>]>,
    grants: Box<[BoundGauge<u64>]>,
    grant_waits: BoundGauge<u64>,
    grant_wait_time: BoundGauge<u64>,
    unreadable_limits: BoundCounter<u64>,
    admissions: Box<[BoundGauge<u64>]>,
    transferred: BoundGauge<f64>,
    customer_balance: BoundGauge<f64>,
    customers_over: BoundGauge<u64>,
    customer_rate: Gauge<f64>,
    server_speed: Gauge<f64>,
}

impl Routed {
    pub(super) fn new(meter: &Meter) -> Routed {
        let requests =
            counter(meter, "routed_requests", "Requests that ended, by kind and outcome");
        let refusals =
            counter(meter, "routed_refusals", "Requests refused without being executed, by cause");
        let attempts = counter(meter, "routed_attempts", "Attempts that ended, by outcome");
        let resends =
            counter(meter, "routed_again", "Requests sent to a further server, by kind of resend");
        let calls = counter(meter, "routed_store_calls", "Calls to the store, by call and result");
        let orders = counter(meter, "routed_orders", "Orders to servers, by answer");
        let demand = counter(
            meter,
            "routed_demand",
            "Requests for models that were reported to the planner, by origin",
        );
        let phases =
            seconds(meter, "routed_phase", "Time in a phase of a request, by kind", &PHASE_BOUNDS);
        let begin = seconds(
            meter,
            "routed_begin",
            "Time from a request's arrival until it is sent to a server, by part",
            &BEGIN_BOUNDS,
        );
        let ages = "Age of the report that a decision is based on";
        let report_age = seconds(meter, "routed_report_age", ages, &AGE_BOUNDS).bind(&[]);
        let plan_rounds = seconds(
            meter,
            "routed_plan",
            "Times of rounds of planning, on the host that plans",
            &ROUND_BOUNDS,
        );
        let lateness = "Time by which the task that advances the queues runs later than it was due";
        let lateness = seconds(meter, "routed_lateness", lateness, &ROUND_BOUNDS).bind(&[]);
        let queues = gauge(meter, "routed_queue", "Length of a queue");
        let declaration = gauge(meter, "routed_declaration", "Number of the declaration in force");
        let unreadable = counter(
            meter,
            "routed_unreadable_servers",
            "Registrations of servers that could not be parsed",
        );
        let limited =
            gauge(meter, "routed_limited_servers", "Servers that are known to have a rate limit");
        let relayed_servers = gauge(
            meter,
            "routed_relayed_servers",
            "Servers that this host reaches through other hosts only",
        );
        let tunnels = gauge(
            meter,
            "routed_tunnels",
            "Connections to servers that this host carries for others",
        );
        let shares = gauge(meter, "routed_quota_shares", "Shares of limits that this host grants");
        let permits =
            gauge(meter, "routed_quota_permits", "Permits on this host since its start, by use");
        let grants =
            gauge(meter, "routed_slot_grants", "Slots of servers since this host's start, by use");
        let waits = "Waits of this host since its start that a granted slot has ended";
        let wait_time = "Milliseconds of all waits of this host that a granted slot has ended";
        let unreadable_limits = counter(
            meter,
            "routed_unreadable_limits",
            "Responses of servers whose rate limit could not be parsed",
        );
        let admissions = gauge(
            meter,
            "routed_customer_requests",
            "Requests under quotas of customers since the start of the host, by decision",
        );
        let customers_over = gauge(
            meter,
            "routed_customers_over",
            "Customers of which this host denied requests within the last seconds",
        );
        let real = |name, description| meter.f64_gauge(name).with_description(description).build();
        let transferred = real(
            "routed_customer_transferred",
            "Units of quotas that this host has transferred to coordinators since its start",
        );
        let customer_balance = real(
            "routed_customer_balance",
            "Units of quotas that this host holds as a coordinator; negative for a debt",
        );
        let customer_rate = real(
            "routed_customer_rate",
            "Units of quota a second that this host admits, for the largest customers",
        );
        let declaration_age = meter
            .f64_gauge("routed_declaration_age")
            .with_unit("s")
            .with_description(
                "Time since the declaration in force was last confirmed as the newest",
            )
            .build()
            .bind(&[]);
        let servers_age = meter
            .f64_gauge("routed_servers_age")
            .with_unit("s")
            .with_description("Time since the store last confirmed the known servers")
            .build()
            .bind(&[]);
        let budget = meter
            .f64_gauge("routed_budget")
            .with_description("Further attempts that this host may still make, by service")
            .build();
        let server_speed = meter
            .f64_gauge("routed_server_speed")
            .with_description(
                "Processing time of the fastest and the slowest server relative to the median, by \
                 service",
            )
            .build();
        let spent = "Further attempts of this host in the last window, by service";
        let hosts = "Hosts that share the retry budgets";
        Routed(Arc::new(Series {
            requests: each(|kind: Kind| {
                each(|outcome: Outcome| requests.bind(&[kind.key_value(), outcome.key_value()]))
            }),
            refusals: each(|cause: Refusal| refusals.bind(&[cause.key_value()])),
            cuts: counter(
                meter,
                "routed_cuts",
                "Responses that ended early although the caller had a part of them, by why the \
                 last server failed and why no further one was asked",
            ),
            attempts: each(|end: AttemptOutcome| attempts.bind(&[end.key_value()])),
            resends: each(|how: Resend| resends.bind(&[how.key_value()])),
            phases: each(|kind: Kind| {
                each(|phase: Phase| phases.bind(&[kind.key_value(), phase.key_value()]))
            }),
            begin: each(|part: BeginPart| begin.bind(&[part.key_value()])),
            report_age,
            plan_rounds: each(|time: PlanTime| plan_rounds.bind(&[time.key_value()])),
            lateness,
            declaration_age,
            servers_age,
            declaration: declaration.bind(&[]),
            queues: each(|queue: Queue| queues.bind(&[queue.key_value()])),
            calls: each(|call: Call| {
                each(|result: CallResult| calls.bind(&[call.key_value(), result.key_value()]))
            }),
            orders: each(|answer: Answer| orders.bind(&[answer.key_value()])),
            lease: gauge(meter, "routed_lease", "1 while this host holds a lease, else 0, by duty"),
            term: gauge(meter, "routed_term", "Fencing number of the last lease held, by duty"),
            budget,
            budget_spent: gauge(meter, "routed_budget_spent", spent),
            budget_hosts: gauge(meter, "routed_budget_hosts", hosts).bind(&[]),
            unreadable: unreadable.bind(&[]),
            task_panics: counter(
                meter,
                "routed_task_panics",
                "Panics of tasks that were started again, by task",
            ),
            exchange: Exchange::new(meter),
            demand: each(|origin: Origin| demand.bind(&[origin.key_value()])),
            relayed_servers: relayed_servers.bind(&[]),
            tunnels: tunnels.bind(&[]),
            limited: limited.bind(&[]),
            shares: shares.bind(&[]),
            permits: each(|of: Permits| permits.bind(&[of.key_value()])),
            grants: each(|of: Grants| grants.bind(&[of.key_value()])),
            grant_waits: gauge(meter, "routed_slot_waits", waits).bind(&[]),
            grant_wait_time: gauge(meter, "routed_slot_wait_time", wait_time).bind(&[]),
            unreadable_limits: unreadable_limits.bind(&[]),
            admissions: each(|of: Admissions| admissions.bind(&[of.key_value()])),
            transferred: transferred.bind(&[]),
            customer_balance: customer_balance.bind(&[]),
            customers_over: customers_over.bind(&[]),
            customer_rate,
            server_speed,
            wishes: gauge(
                meter,
                "routed_wishes",
                "Models and adapters that the planner wants to load but can't order, by reason",
            ),
            replicas: gauge(
                meter,
                "routed_replicas",
                "Replicas of models as the planner sees them, by whether they may make way",
            ),
        }))
    }

    /// Counts a request that has ended.
    pub fn request(&self, kind: Kind, outcome: Outcome) {
        self.0.requests[kind.index()][outcome.index()].add(1);
    }

    /// Counts a refused request, which was not executed.
    pub fn refusal(&self, cause: Refusal) {
        self.0.refusals[cause.index()].add(1);
    }

    /// Counts a response that ended early although the caller had a part of it.
    pub fn cut(&self, why: Break, cause: Obstacle) {
        self.0.cuts.add(1, &[why.key_value(), cause.key_value()]);
    }

    /// Counts an attempt that has ended.
    pub fn attempt(&self, end: AttemptOutcome) {
        self.0.attempts[end.index()].add(1);
    }

    /// Counts a request that is sent to a further server.
    pub fn resend(&self, how: Resend) {
        self.0.resends[how.index()].add(1);
    }

    /// Records the time that a request spent in a phase.
    pub fn phase(&self, kind: Kind, phase: Phase, time: Duration) {
        self.0.phases[kind.index()][phase.index()].record(time.as_secs_f64());
    }

    /// Records a part of the time from a request's arrival until it is sent to its first server.
    pub fn begin(&self, part: BeginPart, time: Duration) {
        self.0.begin[part.index()].record(time.as_secs_f64());
    }

    /// Records the age of a report that a decision is based on.
    pub fn report_age(&self, age: Duration) {
        self.0.report_age.record(age.as_secs_f64());
    }

    /// Records a time of a round of planning.
    pub fn plan_round(&self, of: PlanTime, time: Duration) {
        self.0.plan_rounds[of.index()].record(time.as_secs_f64());
    }

    /// Records by how much the task that advances the queues runs later than it was due.
    pub fn lateness(&self, time: Duration) {
        self.0.lateness.record(time.as_secs_f64());
    }

    /// Sets the declaration in force and the time since it was last confirmed as the newest.
    pub fn declaration(&self, version: Version, age: Duration) {
        self.0.declaration.record(version);
        self.0.declaration_age.record(age.as_secs_f64());
    }

    /// Sets the time since the store last confirmed the known servers.
    pub fn servers_age(&self, age: Duration) {
        self.0.servers_age.record(age.as_secs_f64());
    }

    /// Sets the length of a queue.
    pub fn queue(&self, queue: Queue, length: usize) {
        self.0.queues[queue.index()].record(length as u64);
    }

    /// Counts a call to the store.
    pub fn call(&self, call: Call, result: CallResult) {
        self.0.calls[call.index()][result.index()].add(1);
    }

    /// Counts an order by the server's response, or the lack of one.
    pub fn order(&self, answer: Answer) {
        self.0.orders[answer.index()].add(1);
    }

    /// Sets whether this host holds the lease of a duty, and with which term.
    pub fn lease(&self, duty: &'static str, term: Option<Fence>) {
        let labels = [KeyValue::new("duty", duty)];
        self.0.lease.record(u64::from(term.is_some()), &labels);
        if let Some(term) = term {
            self.0.term.record(term, &labels);
        }
    }

    /// Sets the number of models and adapters that the planner wants but can't order, for one
    /// reason.
    pub fn wishes(&self, why: &'static str, wishes: usize) {
        self.0.wishes.record(wishes as u64, &[KeyValue::new("why", why)]);
    }

    /// Sets the number of replicas of models that may make way for others, or stay for one reason.
    pub fn replicas(&self, state: &'static str, replicas: usize) {
        self.0.replicas.record(replicas as u64, &[KeyValue::new("state", state)]);
    }

    /// Counts requests for models that are reported to the planner.
    pub fn demand(&self, origin: Origin, requests: u64) {
        self.0.demand[origin.index()].add(requests);
    }

    /// Counts a registration that could not be parsed.
    pub fn unreadable(&self) {
        self.0.unreadable.add(1);
    }

    /// Counts a panic of a task that is started again.
    pub fn task_panicked(&self, task: &'static str) {
        self.0.task_panics.add(1, &[KeyValue::new("task", task)]);
    }

    /// Sets the number of servers that are reached through other hosts.
    pub fn relayed_servers(&self, servers: usize) {
        self.0.relayed_servers.record(servers as u64);
    }

    /// Sets the number of connections that this host carries for others.
    pub fn tunnels(&self, tunnels: usize) {
        self.0.tunnels.record(tunnels as u64);
    }

    /// Sets the number of servers known to have a limit, and of shares of limits that this host
    /// grants.
    pub fn limited(&self, servers: usize, shares: u32) {
        self.0.limited.record(servers as u64);
        self.0.shares.record(shares.into());
    }

    /// Sets the number of permits of this kind since the start of the process.
    pub fn permits(&self, permits: Permits, count: u64) {
        self.0.permits[permits.index()].record(count);
    }

    /// Sets the number of slots of servers of this kind since the start of the process.
    pub fn grants(&self, grants: Grants, count: u64) {
        self.0.grants[grants.index()].record(count);
    }

    /// Sets the number of waits that a granted slot has ended, and their total time.
    pub fn grant_waits(&self, waits: u64, time: Duration) {
        self.0.grant_waits.record(waits);
        self.0.grant_wait_time.record(u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    }

    /// Counts a server's response whose limit could not be parsed.
    pub fn unreadable_limit(&self) {
        self.0.unreadable_limits.add(1);
    }

    /// Sets the number of requests under quotas of customers since the start of the process.
    pub fn admissions(&self, decision: Admissions, count: u64) {
        self.0.admissions[decision.index()].record(count);
    }

    /// Sets the units of quotas transferred since the start of the process and held as a
    /// coordinator, and the number of customers that are over their quotas.
    pub fn customer_tokens(&self, transferred: f64, balance: f64, over: usize) {
        self.0.transferred.record(transferred);
        self.0.customer_balance.record(balance);
        self.0.customers_over.record(over as u64);
    }

    /// Sets the units of quota a second that this host admits for a customer.
    pub fn customer_rate(&self, customer: &customer::Id, rate: f64) {
        self.0.customer_rate.record(rate, &[KeyValue::new("customer", Arc::clone(customer))]);
    }

    /// Sets the number of further attempts that this host may still make for a service.
    pub fn budget(&self, service: &service::Id, left: f64) {
        self.0.budget.record(left, &[KeyValue::new("service", Arc::clone(service))]);
    }

    /// Sets the number of further attempts made for a service in the last window.
    pub fn budget_spent(&self, service: &service::Id, spent: u64) {
        self.0.budget_spent.record(spent, &[KeyValue::new("service", Arc::clone(service))]);
    }

    /// Sets the processing times of a service's fastest and slowest server, relative to the median.
    pub fn server_speed(&self, service: &service::Id, least: f64, most: f64) {
        for (server, factor) in [("fastest", least), ("slowest", most)] {
            let labels =
                [KeyValue::new("service", Arc::clone(service)), KeyValue::new("server", server)];
            self.0.server_speed.record(factor, &labels);
        }
    }

    /// Sets the number of hosts that share the retry budgets.
    pub fn budget_hosts(&self, hosts: u32) {
        self.0.budget_hosts.record(hosts.into());
    }
}

/// Builds one element for each value of a label, in the order of [`Label::ALL`].
fn each<L: Label, T>(make: impl Fn(L) -> T) -> Box<[T]> {
    L::ALL.iter().map(|label| make(*label)).collect()
}
