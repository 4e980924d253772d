//! Start and planned stop of a routed host.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use exchange::{Config, Exchange};
use futures_util::{FutureExt, future::BoxFuture};
use observe::{
    Metrics,
    story::{self, Belief, Text},
};
use settings::process::{Process, RoutedSettings};
use tokio::{net::TcpListener, select, task::JoinHandle, time::sleep};
use tokio_util::sync::CancellationToken;
use types::{backend, host::Host, time::Moment};

use crate::{
    callers,
    clock::Clock,
    demand,
    edge::Dialect,
    host::Shared,
    lateness::{Heartbeat, Lateness},
    lease, paths,
    peers::{self, PeerSource},
    planning, quarantine, ready, registration, retries, slots, task, versions, watch, workload,
};

/// Fraction of a planned stop's grace period after which requests in flight are abandoned.
const FINISH_FRACTION: f64 = 0.93;

/// Fraction of the grace period after which requests that still wait for a server are refused.
const WAIT_FRACTION: f64 = 0.7;

/// Time that the load balancer has to notice that this host is not ready.
const BALANCER_DELAY: Duration = Duration::from_millis(2500);

/// The greatest part of the grace period that is spent on that.
const BALANCER_DIVISOR: u32 = 3;

/// Maximum interval at which the dispatcher's queues are advanced.
pub(crate) const PUMP_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the longest lateness of the pump is logged, if it is notable.
const LATE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Lateness of a task from which on answers of servers may lie unread.
pub(crate) const STALL_THRESHOLD: Duration = Duration::from_millis(50);

/// Time between two advances of the queues above which the machine may have been suspended.
const JUMP_THRESHOLD: Duration = Duration::from_millis(100);

/// Interval at which a planned stop checks whether other hosts still use this one to reach servers.
const TUNNEL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Reason why a host can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener's address can't be bound.
    #[error("can't bind the listener for {role} at {address}: {cause}")]
    Bind {
        /// Who connects to the listener: callers or operators.
        role: &'static str,
        /// The address in the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The metrics can't be registered.
    #[error(transparent)]
    Metrics(#[from] observe::metrics::Error),
    /// The exchange with the other hosts can't start.
    #[error("can't start the exchange with the other hosts: {0}")]
    Exchange(#[from] exchange::Error),
}

/// A running host, until [`Running::drain`] stops it.
pub struct Running {
    shared: Arc<Shared>,
    exchange: Arc<Exchange>,
    stop: CancellationToken,
    callers: JoinHandle<()>,
}

/// Starts a host.
///
/// # Errors
///
/// A listener can't be bound, the metrics can't be registered, or the exchange can't start.
pub async fn start(
    settings: Process,
    routed: RoutedSettings,
    dialect: Arc<dyn Dialect>,
) -> Result<Running, Error> {
    start_with_clock(Clock::start(), settings, routed, dialect).await
}

/// Starts a host that uses `clock` for deadlines and leases.
///
/// # Errors
///
/// A listener can't be bound, the metrics can't be registered, or the exchange can't start.
pub async fn start_with_clock(
    clock: Clock,
    mut settings: Process,
    routed: RoutedSettings,
    dialect: Arc<dyn Dialect>,
) -> Result<Running, Error> {
    let callers = bind("callers", &mut settings.host.callers).await?;
    let ready = bind("operators", &mut settings.host.operators).await?;
    let (seeds, advertised) = (seeds(&settings), settings.peers_advertised);
    let metrics = Metrics::new()?;
    metrics.watch_log();
    let start = start_belief(&settings);
    let shared = Arc::new(Shared::new(settings, routed, dialect, metrics, clock));
    story::install(shared.logger.clone());
    shared.logger.belief(start);
    let exchange = start_exchange(&shared, seeds, advertised).await?;
    log::info!(
        host = &*shared.host.id,
        callers:% = shared.host.callers,
        peers:% = exchange.bound(),
        operators:% = shared.host.operators;
        "host starts"
    );
    let stop = CancellationToken::new();
    tokio::spawn(ready::listen(shared.clone(), ready));
    listen_for_metrics(&shared).await;
    let callers = tokio::spawn(callers::listen(shared.clone(), callers, stop.clone()));
    spawn_tasks(&shared, &exchange);
    Ok(Running { shared, exchange, stop, callers })
}

/// Starts the tasks that run until the process ends.
fn spawn_tasks(shared: &Arc<Shared>, exchange: &Arc<Exchange>) {
    task::spawn(shared, "declaration", watch::declaration);
    task::spawn(shared, "servers", watch::servers);
    task::spawn(shared, "lease", lease::run);
    task::spawn(shared, "planning", planning::run);
    task::spawn(shared, "pump", pump);
    task::spawn(shared, "paths", paths::run);
    task::spawn(shared, "quarantine", quarantine::run);
    task::spawn(shared, "slots", slots::run);
    task::spawn(shared, "versions", versions::run);
    task::spawn(shared, "sweep", sweep);
    peers::spawn_listener(shared, exchange);
    let spawn = |name, run: fn(Arc<Shared>, Arc<Exchange>) -> BoxFuture<'static, ()>| {
        let exchange = exchange.clone();
        task::spawn(shared, name, move |shared| run(shared, exchange.clone()));
    };
    spawn("retries", |shared, exchange| retries::run(shared, exchange).boxed());
    spawn("peers", |shared, exchange| peers::run(shared, exchange).boxed());
    spawn("workload", |shared, exchange| workload::run(shared, exchange).boxed());
    spawn("demand", |shared, exchange| demand::run(shared, exchange).boxed());
    spawn("registration", |shared, exchange| registration::run(shared, exchange).boxed());
}

fn start_belief(settings: &Process) -> Belief {
    Belief::Start {
        program: Text::Borrowed(env!("CARGO_PKG_VERSION")),
        settings: settings_json(settings),
    }
}

/// Logs that the settings were reloaded.
pub fn log_reload(settings: &Process) {
    story::belief(Belief::Reload { settings: settings_json(settings) });
}

fn settings_json(settings: &Process) -> serde_json::Value {
    serde_json::to_value(settings.without_secrets()).unwrap_or_default()
}

impl Running {
    /// Returns the host with the addresses that its listeners are bound to.
    pub fn host(&self) -> &Host {
        &self.shared.host
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.shared.host.callers
    }

    /// Stops in order: reports not ready, waits for the load balancer, accepts no new connections,
    /// then waits until the requests in flight have ended or the grace period is over.
    pub async fn drain(self) {
        let began = self.shared.now();
        let given = self.shared.routed.grace;
        let grace = given.mul_f64(FINISH_FRACTION);
        log::info!(host = &*self.shared.host.id; "drain begins");
        self.shared.logger.belief(Belief::Stop { why: Text::Borrowed("it was asked for") });
        self.shared.leave(began + grace);
        self.shared.term().stop();
        sleep(BALANCER_DELAY.min(given / BALANCER_DIVISOR)).await;
        self.stop.cancel();
        let wait = (began + given.mul_f64(WAIT_FRACTION)).saturating_sub(self.shared.now());
        let closing = self.shared.closing.clone();
        tokio::spawn(async move {
            sleep(wait).await;
            closing.cancel();
        });
        let left = (began + grace).saturating_sub(self.shared.now());
        if tokio::time::timeout(left, self.callers).await.is_err() {
            log::error!(open = self.shared.open_requests(); "drain ends with requests in flight");
        }
        while self.exchange.tunnels() != 0 && self.shared.now() < began + grace {
            sleep(TUNNEL_POLL_INTERVAL).await;
        }
        self.shared.stop.cancel();
        self.exchange.leave().await;
        log::info!("host ends");
    }
}

/// Returns addresses at which other hosts may listen for peers.
fn seeds(settings: &Process) -> Vec<SocketAddr> {
    let port = settings.peers_share_port.then_some(settings.host.peers.port());
    let address = |peer: &SocketAddr| SocketAddr::new(peer.ip(), port.unwrap_or(peer.port()));
    settings.peers.iter().map(address).collect()
}

async fn start_exchange(
    shared: &Arc<Shared>,
    seeds: Vec<SocketAddr>,
    advertised: Option<SocketAddr>,
) -> Result<Arc<Exchange>, Error> {
    let host = &shared.host;
    let clock = shared.clock;
    let config = Config {
        seeds,
        advertised,
        clock: Arc::new(move || clock.now()),
        ..Config::new(host.id.clone(), host.zone.clone(), host.peers, shared.incarnation)
    };
    let source = Arc::new(PeerSource(Arc::downgrade(shared)));
    let exchange = Exchange::start(config, source).await?;
    shared.set_exchange(&exchange);
    Ok(exchange)
}

async fn pump(shared: Arc<Shared>) {
    let mut before = shared.now();
    let mut late = Late::default();
    let mut lateness = Lateness::default();
    loop {
        let wait = shared.until_pump().min(lateness.until_due(shared.now()));
        let due = shared.now() + wait;
        select! {
            () = sleep(wait) => {}
            () = shared.dispatch_wakeup.notified() => {}
        }
        Heartbeat::beat(&shared);
        let now = shared.now();
        if due <= now {
            late.record(&shared, now.saturating_sub(due), now);
        }
        if let Some(lateness) = lateness.observe(now) {
            shared.dispatcher().set_lateness(lateness);
        }
        if due + STALL_THRESHOLD <= now {
            shared.dispatcher().resumed(now);
        }
        if before + JUMP_THRESHOLD < now {
            shared.clock_jumped.notify_waiters();
        }
        before = now;
        shared.pump();
    }
}

/// The longest time by which the pump was late in a period.
#[derive(Debug, Default)]
struct Late {
    since: Moment,
    longest: Duration,
}

impl Late {
    /// Records by how much the pump is late, and logs the longest time once a period.
    fn record(&mut self, shared: &Shared, late: Duration, now: Moment) {
        shared.meters.lateness(late);
        self.longest = self.longest.max(late);
        if now < self.since + LATE_LOG_INTERVAL {
            return;
        }
        if JUMP_THRESHOLD <= self.longest {
            let longest_ms = self.longest.as_secs_f64() * 1e3;
            log::info!(longest_ms; "the host ran late");
        }
        *self = Late { since: now, longest: Duration::ZERO };
    }
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = shared.now();
        let directory = shared.directory();
        let is_known = |id: &backend::Id| directory.get(id).is_some();
        shared.paths().retain(is_known);
        shared.pool.sweep(now, is_known, |gateway| shared.paths().is_usable(gateway));
        shared.control.sweep(|id| directory.get(id).is_some());
    }
}

/// Serves the metrics at a port of their own as well, if one is set. If the port is taken, the host
/// runs without this listener.
async fn listen_for_metrics(shared: &Arc<Shared>) {
    let Some(port) = shared.routed.metrics_port else { return };
    let address = SocketAddr::new(shared.host.operators.ip(), port);
    match TcpListener::bind(address).await {
        Ok(listener) => {
            tokio::spawn(ready::listen(shared.clone(), listener));
        }
        Err(error) => {
            log::error!(address:% = address; "can't bind the listener for metrics: {error}")
        }
    }
}

/// Binds a listener, and stores the actual address, whose port the system may have chosen.
async fn bind(role: &'static str, address: &mut SocketAddr) -> Result<TcpListener, Error> {
    let failed = |cause| Error::Bind { role, address: *address, cause };
    let listener = TcpListener::bind(*address).await.map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}
