//! State that the tasks of a host share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use exchange::{Exchange, fleet::Notice};
use observe::{
    Metrics,
    metrics::routed::{Direction, Queue, Routed as Meters},
    story::{Belief, Logger, Output, Source},
};
use policy::{
    customer,
    dispatch::{self, Change, Dispatcher, RetryBudgetConfig, Ticket, Verdict},
    follow::{self, Knowledge},
    paths::Paths,
    place::{self, Planner},
    streams::{Streams, versions::Versions},
    term::{self, OrderLease},
};
use settings::process::{Process, RoutedSettings};
use tokio::sync::{Mutex as AsyncMutex, Notify, oneshot};
use tokio_util::sync::CancellationToken;
use types::{
    prelude::*,
    routed::{Declaration, Version},
};

use crate::{
    announced::Announced, body::LargeBodies, clock::Clock, confirm::Confirmation, control::Control,
    customers::CustomerQuotas, demand::Demand, directory::Directory, edge::Dialect,
    lateness::Heartbeat, log_limiter::LogLimiter, peers::Counts, planning, pool::Pool,
    store::Store, timer::sleep, versions::LastRead, wakeup::Wakeup,
};

/// Time in which the end of a response is written before the requests in flight are abandoned.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Difference between the delays with which hosts attempt to take a lease, so that they don't all
/// contend at once.
const CONTENTION_STEP: Duration = Duration::from_millis(60);

/// Number of different delays. A host's delay follows from its id.
const CONTENTION_SLOTS: u32 = 5;

/// Number of hosts that are assumed to share the retry budget until the others are known.
const ASSUMED_HOSTS: u32 = 8;

/// State that the tasks of a host share.
pub struct Shared {
    pub(crate) host: Host,
    pub(crate) routed: RoutedSettings,
    /// Identity of this run of the host.
    pub(crate) incarnation: host::Incarnation,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) clock: Clock,
    /// Notified when the clock has jumped, as after a suspension of the machine.
    pub(crate) clock_jumped: Arc<Notify>,
    /// When the host's tasks last ran.
    pub(crate) heartbeat: Heartbeat,
    /// Writes the structured log of the host's beliefs and of requests.
    pub(crate) logger: Logger,
    pub(crate) metrics: Metrics,
    /// Metrics of the request path.
    pub(crate) meters: Meters,
    /// What the store last said of the declaration.
    pub(crate) declaration_confirmed: Mutex<Confirmation>,
    /// Held while the store is asked whether the declaration in force is the newest.
    pub(crate) confirming: AsyncMutex<()>,
    pub(crate) store: Store,
    pub(crate) pool: Pool,
    pub(crate) large_bodies: LargeBodies,
    pub(crate) control: Control,
    /// Timeout of an order.
    pub(crate) order_timeout: Duration,
    /// Wakes the task that pumps the queues before its next round.
    pub(crate) dispatch_wakeup: Notify,
    /// Wakes the planner before its next round.
    pub(crate) plan_wakeup: Wakeup,
    /// Cancelled when requests that still wait for a server are to be refused.
    pub(crate) closing: CancellationToken,
    /// Cancelled during a planned stop, when callers' connections have ended or their time is over.
    pub(crate) stop: CancellationToken,
    declaration: ArcSwapOption<Declaration>,
    /// The highest version that another host is known to have in force.
    pub(crate) announced: Announced,
    /// Customers of the declaration in force; none if callers are not identified.
    customers: ArcSwapOption<customer::Directory>,
    /// Notified when other customers have come into force.
    pub(crate) customers_changed: Notify,
    /// Quotas of customers, with the requests that wait for their decisions.
    pub(crate) customer_quotas: CustomerQuotas,
    directory: Mutex<Directory>,
    planner: Mutex<Planner>,
    paths: Mutex<Paths>,
    dispatcher: Mutex<Dispatcher>,
    streams: Mutex<Streams>,
    versions: Mutex<Versions>,
    /// The store's list of versions, as it was read last for a stream without a record.
    pub(crate) listing_read: AsyncMutex<LastRead>,
    /// Notified when other hosts have sent records of streams.
    pub(crate) streams_received: Notify,
    /// Channels for the next verdicts on requests that wait in the dispatcher or that may be moved
    /// to another server.
    waiting: Mutex<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    /// The next request's ticket.
    tickets: AtomicU64,
    term: Mutex<OrderLease>,
    /// When a report was last requested from each server.
    pub(crate) reports: Mutex<HashMap<backend::Id, Moment>>,
    /// Demand reports sent and received.
    pub(crate) demand: Demand,
    /// Counters that are published to peers.
    pub(crate) counts: Mutex<Counts>,
    /// Limits log messages about registrations that can't be parsed.
    pub(crate) unreadable_servers_log: LogLimiter,
    /// Limits log messages about rate limits that can't be parsed.
    pub(crate) unreadable_limits_log: LogLimiter,
    /// What is known of the age of the known servers.
    pub(crate) servers_known: Mutex<Knowledge>,
    /// Held while the store is asked for changes of the servers.
    pub(crate) confirming_servers: AsyncMutex<()>,
    /// Whether another host reaches the store.
    pub(crate) is_store_reached_by_others: AtomicBool,
    /// When most of the peers that this host asked had no recent answer of the store.
    pub(crate) peers_outdated_at: Mutex<Option<Moment>>,
    /// The source from which changes of the servers were last fetched.
    pub(crate) server_source: Mutex<Option<Source>>,
    exchange: OnceLock<Weak<Exchange>>,
    /// Whether a planned stop has begun.
    /// When a planned stop abandons the requests in flight, once it has begun.
    finish_by: OnceLock<Moment>,
    /// Number of requests that have arrived and not ended.
    open_requests: AtomicU32,
}

impl Shared {
    pub(crate) fn new(
        settings: Process,
        routed: RoutedSettings,
        dialect: Arc<dyn Dialect>,
        metrics: Metrics,
        clock: Clock,
    ) -> Shared {
        let delay = CONTENTION_STEP
            * (settings.host.id.bytes().map(u32::from).sum::<u32>() % CONTENTION_SLOTS);
        let times = term::Settings { turn: routed.turn, delay, ..term::Settings::default() };
        let incarnation = rand::random();
        let term = OrderLease::new(settings.host.id.clone(), incarnation, times);
        let dispatcher = Dispatcher::new(dispatch::Settings {
            host: settings.host.id.clone(),
            run: incarnation,
            zone: settings.host.zone.clone(),
            hosts: ASSUMED_HOSTS,
            retries: RetryBudgetConfig {
                window: routed.retry.window,
                ratio: routed.retry.ratio,
                extra: routed.retry.extra,
            },
        });
        let adapter_loads_total = settings.planning.adapters_at_once;
        let rules = place::Rules { adapter_loads_total, ..place::Rules::default() };
        let log_clock = observe::Clock::system();
        let logger = Logger::new(settings.host.id.clone(), incarnation, log_clock, Output::Process);
        let meters = metrics.routed();
        Shared {
            store: Store::new(
                dialect.clone(),
                settings.platform,
                logger.clone(),
                meters.clone(),
                clock,
                routed.drain.mul_f64(follow::MAX_PAUSE_SHARE),
            ),
            logger,
            metrics,
            meters,
            declaration_confirmed: Mutex::default(),
            confirming: AsyncMutex::default(),
            control: Control::default(),
            order_timeout: times.order_timeout,
            dispatch_wakeup: Notify::new(),
            plan_wakeup: Wakeup::default(),
            planner: Mutex::new(Planner::new(rules)),
            paths: Mutex::new(Paths::new(settings.host.id.clone(), settings.host.zone.clone())),
            dispatcher: Mutex::new(dispatcher),
            streams: Mutex::default(),
            versions: Mutex::new(Versions::new(&settings.host.id, clock.now())),
            listing_read: AsyncMutex::default(),
            streams_received: Notify::new(),
            waiting: Mutex::default(),
            tickets: AtomicU64::new(0),
            term: Mutex::new(term),
            reports: Mutex::default(),
            demand: Demand::new(incarnation),
            counts: Mutex::default(),
            unreadable_servers_log: LogLimiter::default(),
            unreadable_limits_log: LogLimiter::default(),
            servers_known: Mutex::new(Knowledge::new(routed.drain)),
            confirming_servers: AsyncMutex::default(),
            is_store_reached_by_others: AtomicBool::new(false),
            peers_outdated_at: Mutex::default(),
            server_source: Mutex::default(),
            exchange: OnceLock::new(),
            customer_quotas: CustomerQuotas::new(settings.host.id.clone(), incarnation),
            incarnation,
            host: settings.host,
            routed,
            dialect,
            clock,
            clock_jumped: Arc::default(),
            heartbeat: Heartbeat::start(),
            pool: Pool::default(),
            large_bodies: LargeBodies::default(),
            closing: CancellationToken::new(),
            stop: CancellationToken::new(),
            declaration: ArcSwapOption::empty(),
            announced: Announced::default(),
            customers: ArcSwapOption::empty(),
            customers_changed: Notify::new(),
            directory: Mutex::default(),
            finish_by: OnceLock::new(),
            open_requests: AtomicU32::new(0),
        }
    }

    /// Returns the time since the start of the process.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the declaration in force.
    pub(crate) fn declaration(&self) -> Option<Arc<Declaration>> {
        self.declaration.load_full()
    }

    /// Puts a declaration in force, unless the declaration in force has the same or a later
    /// version.
    pub(crate) fn declare(&self, declaration: Declaration, from: Source) {
        let before = self.declaration();
        let version = declaration.version;
        let current = before.as_ref().map(|before| before.version);
        let customers = match customer::accept(current, &declaration) {
            Ok(customers) => customers.map(Arc::new),
            Err(customer::Rejection::Outdated) => return,
            Err(customer::Rejection::Conflicts(conflicts)) => {
                return report_conflicts(version, &conflicts);
            }
        };
        self.logger.belief(Belief::Declaration { version, from });
        self.log_customers(before.as_deref(), &declaration);
        planning::declare(&mut self.planner(), &declaration, self.now());
        self.customers.store(customers);
        self.customers_changed.notify_waiters();
        let declared = declaration.customers.as_deref().unwrap_or_default();
        self.customer_quotas().declare(declared, self.now());
        self.dispatcher().declare(&declaration);
        self.notify(Notice::DeclarationInForce { version });
        self.declaration.store(Some(Arc::new(declaration)));
        self.register_known(before.as_deref());
    }

    /// Logs what a declaration changes about customers, if anything.
    fn log_customers(&self, before: Option<&Declaration>, declaration: &Declaration) {
        let before = before.and_then(|before| before.customers.as_deref()).unwrap_or_default();
        let after = declaration.customers.as_deref().unwrap_or_default();
        let change = customer::Change::between(before, after);
        if change.is_empty() {
            return;
        }
        let customer::Change { added, removed, keys_added, keys_removed, limits_changed } = change;
        self.logger.belief(Belief::Customers {
            version: declaration.version,
            added,
            removed,
            keys_added,
            keys_removed,
            limits_changed,
        });
    }

    /// Returns the customers of the declaration in force; `None` if callers are not identified.
    pub(crate) fn customers(&self) -> Option<Arc<customer::Directory>> {
        self.customers.load_full()
    }

    /// Updates the metrics that are computed when they are read, rather than at each change.
    pub(crate) fn update_metrics(&self) {
        if let Some(declaration) = self.declaration() {
            let age = self.now().saturating_sub(self.declaration_confirmed_at());
            self.meters.declaration(declaration.version, age);
        }
        let dispatcher = self.dispatcher();
        let at_servers: u32 = dispatcher.work().iter().map(|(_, _, count, _)| *count).sum();
        let waiting = dispatcher.waiting();
        let deferred = dispatcher.deferred(self.now());
        drop(dispatcher);
        self.update_quota_metrics();
        self.update_slot_metrics();
        self.update_customer_metrics();
        self.update_retry_metrics();
        self.update_speed_metrics();
        let tunnels = self.exchange().map_or(0, |exchange| exchange.tunnels());
        self.meters.tunnels(tunnels);
        self.update_exchange_metrics();
        self.meters.servers_age(self.servers_age());
        self.meters.relayed_servers(self.paths().relayed());
        self.meters.queue(Queue::Waiting, waiting);
        self.meters.queue(Queue::Deferred, deferred);
        self.meters.queue(Queue::InFlight, at_servers as usize);
        self.meters.queue(Queue::Open, self.open_requests() as usize);
    }

    fn update_exchange_metrics(&self) {
        let Some(exchange) = self.exchange() else { return };
        let counts = exchange.counts();
        self.meters.exchange_panics(exchange.panics());
        self.meters.exchange(Direction::Sent, counts.sent, counts.sent_bytes);
        self.meters.exchange(Direction::Received, counts.received, counts.received_bytes);
        self.meters.exchange_lost(counts.lost_notices);
        self.meters.exchange_refused(exchange.dropped_notices());
        for (content, origin, sent) in exchange.traffic().iter() {
            let (content, origin) = (content.as_str(), origin.as_str());
            self.meters.exchange_messages(content, origin, sent.messages, sent.bytes);
        }
    }

    /// Locks the directory of servers.
    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the exchange with the other hosts, once.
    pub(crate) fn set_exchange(&self, exchange: &Arc<Exchange>) {
        let _ = self.exchange.set(Arc::downgrade(exchange));
    }

    /// Returns the exchange with the other hosts.
    pub(crate) fn exchange(&self) -> Option<Arc<Exchange>> {
        self.exchange.get()?.upgrade()
    }

    /// Sends each notice to its host, without retransmission.
    pub(crate) fn send_once(&self, notices: impl Iterator<Item = (host::Id, Notice)>) {
        let Some(exchange) = self.exchange() else { return };
        for (to, notice) in notices {
            if let Err(error) = exchange.send_once(&to, notice) {
                log::debug!(host = &*self.host.id; "{error}");
            }
        }
    }

    /// Locks the planner.
    pub(crate) fn planner(&self) -> MutexGuard<'_, Planner> {
        self.planner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of the paths to servers. No other lock may be taken meanwhile.
    pub(crate) fn paths(&self) -> MutexGuard<'_, Paths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the dispatcher.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the records of streams. No other lock may be taken meanwhile.
    pub(crate) fn streams(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the list of versions. No other lock may be taken meanwhile.
    pub(crate) fn versions(&self) -> MutexGuard<'_, Versions> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a number that is unique among this run's requests.
    pub(crate) fn next_ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a receiver for the dispatcher's next verdict on a request.
    pub(crate) fn wait_for_verdict(&self, ticket: Ticket) -> oneshot::Receiver<Verdict> {
        let (sender, receiver) = oneshot::channel();
        self.waiting().insert(ticket, sender);
        receiver
    }

    /// Discards the receiver of a request's verdict.
    pub(crate) fn stop_waiting(&self, ticket: Ticket) {
        self.waiting().remove(&ticket);
    }

    /// Lets the dispatcher advance its queues, and delivers its messages and verdicts.
    pub(crate) fn pump(&self) {
        // The executor reads the sockets between the turns of this task.
        self.servers_known().read(self.now());
        let mut dispatcher = self.dispatcher();
        let changes = dispatcher.pump(self.now());
        let quotas = dispatcher.quota_outgoing();
        let loans = dispatcher.loans_outgoing();
        let slots = dispatcher.slots_outgoing();
        drop(dispatcher);
        self.send_slots(slots);
        self.send_quotas(quotas);
        self.send_loans(loans);
        self.send_streams();
        self.pump_customer_quotas();
        for Change { ticket, verdict } in changes {
            if let Some(sender) = self.waiting().remove(&ticket) {
                // A request that has ended meanwhile has reported its end to the dispatcher.
                let _ = sender.send(verdict);
            }
        }
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<Ticket, oneshot::Sender<Verdict>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks this host's view of the lease on orders.
    pub(crate) fn term(&self) -> MutexGuard<'_, OrderLease> {
        self.term.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the load balancer may send callers to this host.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.declaration.load().is_some()
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.finish_by().is_some()
    }

    /// Returns when a planned stop abandons the requests in flight, once it has begun.
    pub(crate) fn finish_by(&self) -> Option<Moment> {
        self.finish_by.get().copied()
    }

    /// Waits until a planned stop is about to abandon the requests in flight.
    pub(crate) async fn finished(&self) {
        self.closing.cancelled().await;
        if let Some(end) = self.finish_by() {
            sleep(end.saturating_sub(self.now() + FLUSH_TIME)).await;
        }
    }

    /// Returns whether the time of the requests in flight is over, so that those that are left are
    /// dropped.
    pub(crate) fn has_finished(&self) -> bool {
        self.finish_by().is_some_and(|end| end <= self.now())
    }

    /// Marks the beginning of a planned stop, which abandons the requests in flight at `finish_by`.
    pub(crate) fn leave(&self, finish_by: Moment) {
        let _ = self.finish_by.set(finish_by);
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open_request(self: &Arc<Self>) -> OpenGuard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenGuard(self.clone())
    }

    /// Returns the number of open requests.
    pub(crate) fn open_requests(&self) -> u32 {
        self.open_requests.load(Ordering::Relaxed)
    }
}

/// Logs why a declaration is not put in force.
fn report_conflicts(version: Version, conflicts: &[customer::Conflict]) {
    for conflict in conflicts {
        log::error!(version = version; "the declaration is refused: {conflict}");
    }
}

/// Counts one open request while it exists.
pub(crate) struct OpenGuard(Arc<Shared>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
