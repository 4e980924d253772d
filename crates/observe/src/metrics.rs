//! The host's metrics: opentelemetry instruments, shown as Prometheus text.
//!
//! One method for each thing that is measured, so that names, units and labels stand in one place.
//! A label takes its values from a closed set or from what operators declare, never from what
//! callers send, so the number of series is bounded. An update costs a hash of its labels and an
//! atomic operation.

mod build;
mod labels;
pub mod routed;

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider, UpDownCounter},
};
use opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider};
use prometheus::{Registry, TextEncoder};
use types::{backend, config, memory::Mebibytes, model, service};

use self::build::{cardinality, counter, gauge, seconds};
pub use self::labels::{Attainment, Direction, Link, Listener, Member, Memory};
use crate::{
    event::{Outcome, PlatformState},
    log,
    ring::Ring,
};

/// Content type of [`Metrics::text`].
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Prefix of every metric's name.
const NAMESPACE: &str = "cyclamenstage";

/// Upper bounds of the buckets for first-token times, in seconds.
const FIRST_TOKEN_BOUNDS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.4, 2.0, 5.0, 10.0];

/// Upper bounds of the buckets for times between tokens, in seconds.
const BETWEEN_TOKENS_BOUNDS: [f64; 12] =
    [0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.074, 0.1, 0.2, 0.5, 1.0, 5.0];

/// The host's metrics; a clone counts into the same series.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    // Held for its life: instruments stop counting when it goes.
    provider: SdkMeterProvider,
    requests: Counter<u64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    attainment: Counter<u64>,
    in_flight: UpDownCounter<i64>,
    limit: Gauge<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    platform_calls: Counter<u64>,
    platform_up: Gauge<u64>,
    waiting: Gauge<u64>,
    memory: Gauge<u64>,
    moves: Counter<u64>,
    configuration: Gauge<u64>,
    members: Gauge<u64>,
    denied: Counter<u64>,
}

impl Metrics {
    /// Sets the instruments up.
    ///
    /// # Errors
    ///
    /// The instruments can't be joined to the registry.
    pub fn new() -> Result<Metrics, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_view(cardinality).build();
        Ok(Metrics::with_provider(registry, provider))
    }

    fn with_provider(registry: Registry, provider: SdkMeterProvider) -> Metrics {
        let meter = provider.meter(NAMESPACE);
        Metrics {
            requests: counter(&meter, "requests", "Requests that ended, by service and outcome"),
            first_token: seconds(
                &meter,
                "first_token",
                "Time to the first token, or to the answer's head",
                &FIRST_TOKEN_BOUNDS,
            ),
            between_tokens: seconds(
                &meter,
                "between_tokens",
                "Time between one token and the next",
                &BETWEEN_TOKENS_BOUNDS,
            ),
            attainment: counter(&meter, "attainment", "Requests that met or missed their target"),
            in_flight: meter
                .i64_up_down_counter("in_flight")
                .with_description("Requests in flight, by service")
                .build(),
            limit: gauge(&meter, "limit", "Limit on requests in flight, by server and model"),
            refusals: counter(&meter, "refusals", "Requests refused, by service and cause"),
            retries: counter(&meter, "retries", "Further attempts, by service and cause"),
            platform_calls: counter(
                &meter,
                "platform_calls",
                "Calls of the object API, by operation and result",
            ),
            platform_up: gauge(&meter, "platform_up", "1 while the object API answers, else 0"),
            waiting: gauge(&meter, "waiting", "Things that wait for the object API, by duty"),
            memory: gauge(&meter, "memory", "Accelerator memory in MiB, by server and state"),
            moves: counter(&meter, "moves", "Orders to load or unload, by cause"),
            configuration: gauge(&meter, "configuration", "Number of the configuration in force"),
            members: gauge(&meter, "members", "Hosts and servers, by kind and standing"),
            denied: counter(&meter, "denied", "Calls with a wrong or missing token, by listener"),
            registry,
            provider,
        }
    }

    /// Counts the events that this ring drops from now on. The ring isn't kept alive.
    pub fn watch_ring(&self, ring: &Arc<Ring>) {
        let ring: Weak<Ring> = Arc::downgrade(ring);
        let meter = self.provider.meter(NAMESPACE);
        let _registered = meter
            .u64_observable_counter("events_dropped")
            .with_description("Events dropped from the ring to make room")
            .with_callback(move |observer| {
                if let Some(ring) = ring.upgrade() {
                    observer.observe(ring.dropped(), &[]);
                }
            })
            .build();
    }

    /// Counts the records that this process's log leaves out.
    pub fn watch_log(&self) {
        let meter = self.provider.meter(NAMESPACE);
        let _registered = meter
            .u64_observable_counter("log_dropped")
            .with_description("Records left out of the log, by cause")
            .with_callback(|observer| {
                let log::Dropped { full, ceiling, .. } = log::dropped();
                observer.observe(full, &[KeyValue::new("cause", "full")]);
                observer.observe(ceiling, &[KeyValue::new("cause", "ceiling")]);
            })
            .build();
        let _registered = meter
            .u64_observable_counter("log_dropped_plans")
            .with_description("Those of them that told of plans: starts, leases, wishes, orders")
            .with_callback(|observer| observer.observe(log::dropped().plans, &[]))
            .build();
    }

    /// The instruments of the routed path, with their labels resolved; to be made once.
    pub fn routed(&self) -> routed::Routed {
        routed::Routed::new(&self.provider.meter(NAMESPACE))
    }

    /// Shows the bytes of a link's control traffic, which is everything but callers' requests and
    /// their answers. `total` is asked for the bytes since the process began.
    pub fn watch_bytes(
        &self,
        link: Link,
        total: impl Fn(Direction) -> u64 + Send + Sync + 'static,
    ) {
        let _registered = self
            .provider
            .meter(NAMESPACE)
            .u64_observable_counter("control_bytes")
            .with_description("Bytes of control traffic, by link and direction")
            .with_callback(move |observer| {
                for direction in [Direction::In, Direction::Out] {
                    let link = KeyValue::new("link", link.as_str());
                    let label = KeyValue::new("direction", direction.as_str());
                    observer.observe(total(direction), &[link, label]);
                }
            })
            .build();
    }

    /// A request ended.
    pub fn request(&self, service: &service::Id, outcome: Outcome) {
        self.requests.add(1, &[of_service(service), KeyValue::new("outcome", outcome.as_str())]);
    }

    /// The first token, or a plain answer's head, was handed over this long after the request.
    pub fn first_token(&self, service: &service::Id, time: Duration) {
        self.first_token.record(time.as_secs_f64(), &[of_service(service)]);
    }

    /// A token was handed over this long after the one before.
    pub fn between_tokens(&self, service: &service::Id, time: Duration) {
        self.between_tokens.record(time.as_secs_f64(), &[of_service(service)]);
    }

    /// A request met or missed its target.
    pub fn attainment(&self, service: &service::Id, result: Attainment) {
        self.attainment.add(1, &[of_service(service), KeyValue::new("result", result.as_str())]);
    }

    /// A request came in; it counts as in flight until the guard is dropped.
    pub fn in_flight(&self, service: &service::Id) -> InFlight {
        let labels = [of_service(service)];
        self.in_flight.add(1, &labels);
        InFlight { counter: self.in_flight.clone(), labels }
    }

    /// The limit on requests in flight to a model on a server is now this.
    pub fn limit(&self, server: &backend::Id, model: &model::Id, limit: u64) {
        let model = KeyValue::new("model", Arc::clone(model));
        self.limit.record(limit, &[of_server(server), model]);
    }

    /// A request was refused; `cause` is the stable word that the caller gets as its type.
    pub fn refusal(&self, service: &service::Id, cause: &'static str) {
        self.refusals.add(1, &[of_service(service), KeyValue::new("cause", cause)]);
    }

    /// A request was tried again; `cause` is why the attempt before failed.
    pub fn retry(&self, service: &service::Id, cause: &'static str) {
        self.retries.add(1, &[of_service(service), KeyValue::new("cause", cause)]);
    }

    /// The object API was called.
    pub fn platform_call(&self, operation: &'static str, result: &'static str) {
        let operation = KeyValue::new("operation", operation);
        self.platform_calls.add(1, &[operation, KeyValue::new("result", result)]);
    }

    /// What this host sees of the object API.
    pub fn platform(&self, state: PlatformState) {
        let up = match state {
            PlatformState::Up => 1,
            PlatformState::Down => 0,
        };
        self.platform_up.record(up, &[]);
    }

    /// So many things of a duty wait for the object API to answer.
    pub fn waiting(&self, duty: &'static str, count: u64) {
        self.waiting.record(count, &[KeyValue::new("duty", duty)]);
    }

    /// So much of a server's memory is in this state.
    pub fn memory(&self, server: &backend::Id, state: Memory, amount: Mebibytes) {
        let state = KeyValue::new("state", state.as_str());
        self.memory.record(amount, &[of_server(server), state]);
    }

    /// A model or adapter was ordered to load or unload; `cause` is why the plan wants it.
    pub fn moved(&self, cause: &'static str) {
        self.moves.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// This configuration is in force here.
    pub fn configuration(&self, number: config::Number) {
        self.configuration.record(number, &[]);
    }

    /// So many hosts or servers have this standing, as this host sees it.
    pub fn members(&self, kind: Member, standing: &'static str, count: u64) {
        let kind = KeyValue::new("member", kind.as_str());
        self.members.record(count, &[kind, KeyValue::new("standing", standing)]);
    }

    /// A call was denied for its token.
    pub fn denied(&self, listener: Listener) {
        self.denied.add(1, &[KeyValue::new("listener", listener.as_str())]);
    }

    /// All of them as Prometheus text, of type [`CONTENT_TYPE`].
    ///
    /// # Errors
    ///
    /// The text can't be written.
    pub fn text(&self) -> Result<String, Error> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

/// One request in flight.
#[derive(Debug)]
#[must_use = "the request counts as in flight until this is dropped"]
pub struct InFlight {
    counter: UpDownCounter<i64>,
    labels: [KeyValue; 1],
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.counter.add(-1, &self.labels);
    }
}

/// Why metrics can't be set up or shown.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The instruments can't be joined to the registry.
    #[error("metrics set-up: {0}")]
    Setup(#[from] OTelSdkError),
    /// The text can't be written.
    #[error("metrics text: {0}")]
    Text(#[from] prometheus::Error),
}

fn of_service(service: &service::Id) -> KeyValue {
    KeyValue::new("service", Arc::clone(service))
}

fn of_server(server: &backend::Id) -> KeyValue {
    KeyValue::new("server", Arc::clone(server))
}
