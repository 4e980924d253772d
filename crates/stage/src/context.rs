//! Shared state of the host: settings, clients, caches, and the configuration in force.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use meter::Meter;
use objects::Store;
use observe::{
    Clock, Event, Metrics, Ring, event,
    metrics::{self, Direction, Link},
};
use policy::once::{self, HostRun};
use settings::process::Process;
use tokio::sync::watch;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use types::{config::NumberedConfig, prelude::*};

use crate::{
    claims::Claims, counted::CountedStore, declared::Declared, fleet::Fleet, moves::Moves,
    peers::Peers, traffic::Traffic,
};

/// State shared by all parts of the host.
pub struct Context {
    /// Settings of this process.
    pub settings: Process,
    /// Number of this run, greater after each start: microseconds since the Unix epoch.
    pub incarnation: host::Incarnation,
    /// Client of the platform's object API, with calls counted.
    pub store: Arc<dyn Store>,
    /// Client of backend servers for callers' requests.
    pub backends: ::backend::Client,
    /// Client of backend servers for load reports and orders.
    pub control: ::backend::Client,
    /// Bytes sent and received for load reports and orders.
    pub control_bytes: Meter,
    /// Bytes sent and received in calls to the platform.
    pub platform_bytes: Meter,
    /// Hosts, backend servers and what they report.
    pub fleet: Fleet,
    /// Declared configuration as known to this host.
    pub declared: Declared,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Membership state of the other hosts, and the client for calls to them.
    pub peers: Peers,
    /// Requests in flight: admission, choice of servers, limits.
    pub traffic: Arc<Traffic>,
    /// Loads and unloads of models and adapters, as known to this host.
    pub moves: Moves,
    /// Metrics that this host exports.
    pub metrics: Metrics,
    /// Most recent events of this host, for the time line.
    pub events: Arc<Ring>,
    /// Configuration in force; only [`Context::advance`] changes it.
    config: watch::Sender<Arc<NumberedConfig>>,
    /// Cancelled when an operator requests a planned stop, or a later run of this host exists.
    pub stop_requested: CancellationToken,
    /// Cancelled at the end of a planned stop; ends background duties.
    pub stop: CancellationToken,
    /// Tracks the background duties.
    pub duties: TaskTracker,
    draining: AtomicBool,
    origin: Instant,
}

impl Context {
    /// Creates the state from the settings and the peers' token; clients connect on first use.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be set up.
    pub fn new(settings: Process, peers_token: peer::Token) -> Result<Context, metrics::Error> {
        let platform_bytes = Meter::default();
        let builder = objects::Builder::new(settings.platform)
            .watch_time(policy::member::watch::TIMEOUT)
            .meter(platform_bytes.clone());
        let control_bytes = Meter::default();
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = u64::try_from(started.as_micros()).unwrap_or(u64::MAX);
        let me = HostRun { host: settings.host.id.clone(), incarnation };
        let origin = Instant::now();
        let metrics = Metrics::new()?;
        let events = Arc::new(Ring::new(settings.host.id.clone(), incarnation, Clock::system()));
        metrics.watch_ring(&events);
        watch_bytes(&metrics, Link::Platform, &platform_bytes);
        watch_bytes(&metrics, Link::Servers, &control_bytes);
        events.record(Event::new(event::Kind::Start));
        let peers = Peers::new(&settings, incarnation, peers_token);
        watch_bytes(&metrics, Link::Peers, peers.meter());
        let store = CountedStore::new(builder.build(), metrics.clone(), events.clone());
        Ok(Context {
            peers,
            traffic: Arc::new(Traffic::new(&settings, origin)),
            moves: Moves::default(),
            metrics,
            events,
            settings,
            incarnation,
            store: Arc::new(store),
            backends: ::backend::Client::new(),
            control: ::backend::Client::with_meter(control_bytes.clone()),
            control_bytes,
            platform_bytes,
            fleet: Fleet::default(),
            declared: Declared::default(),
            claims: Claims::new(me, once::Settings::default()),
            config: watch::channel(Arc::default()).0,
            stop_requested: CancellationToken::new(),
            stop: CancellationToken::new(),
            duties: TaskTracker::new(),
            draining: AtomicBool::new(false),
            origin,
        })
    }

    /// Returns the time since this process started.
    pub fn now(&self) -> Moment {
        self.origin.elapsed()
    }

    /// Returns this host's description from the settings.
    pub fn host(&self) -> &Host {
        &self.settings.host
    }

    /// Returns the configuration in force; its number is 0 before the first one.
    pub fn config(&self) -> Arc<NumberedConfig> {
        self.config.borrow().clone()
    }

    /// Subscribes to changes of the configuration in force.
    pub fn config_changes(&self) -> watch::Receiver<Arc<NumberedConfig>> {
        self.config.subscribe()
    }

    /// Puts a configuration in force if its number is higher; returns whether it did.
    pub fn advance(&self, numbered: NumberedConfig) -> bool {
        let numbered = Arc::new(numbered);
        self.config.send_if_modified(|current| {
            let is_newer = current.number < numbered.number;
            if is_newer {
                *current = numbered;
            }
            is_newer
        })
    }

    /// Whether this host accepts new work: not draining, and with a configuration in force.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && 0 < self.config.borrow().number
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Starts a planned stop: from now on the host is not ready.
    pub fn begin_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }
}

/// Exports a meter's byte counts as metrics.
fn watch_bytes(metrics: &Metrics, link: Link, meter: &Meter) {
    let meter = meter.clone();
    metrics.watch_bytes(link, move |direction| match direction {
        Direction::In => meter.received(),
        Direction::Out => meter.sent(),
    });
}
