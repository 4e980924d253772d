//! The host's metrics: opentelemetry instruments, exported as Prometheus text.
//!
//! Each measurement has one method, so that names, units and labels are defined in one place. A
//! label takes its values from a closed set or from what operators declare, never from what callers
//! send, so the number of series is bounded. An update costs a hash of its labels and an atomic
//! operation.

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

/// Value of the `Content-Type` header for [`Metrics::text`].
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Prefix of every metric's name.
const NAMESPACE: &str = "cyclamenstage";

/// Upper bounds of the histogram buckets for first-token times, in seconds.
const FIRST_TOKEN_BOUNDS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.4, 2.0, 5.0, 10.0];

/// Upper bounds of the histogram buckets for times between tokens, in seconds.
const BETWEEN_TOKENS_BOUNDS: [f64; 12] =
    [0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.074, 0.1, 0.2, 0.5, 1.0, 5.0];

/// The host's metrics; clones update the same series.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    // Keeps the instruments alive: they stop recording when the provider is dropped.
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
    /// Creates the instruments and the registry that they are exported from.
    ///
    /// # Errors
    ///
    /// The exporter can't be registered.
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
                "Time to the first token, or to the head of a plain response",
                &FIRST_TOKEN_BOUNDS,
            ),
            between_tokens: seconds(
                &meter,
                "between_tokens",
                "Time between one token and the next",
                &BETWEEN_TOKENS_BOUNDS,
            ),
            attainment: counter(
                &meter,
                "attainment",
                "Requests that met or missed their latency target",
            ),
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
                "Calls to the object API, by operation and result",
            ),
            platform_up: gauge(&meter, "platform_up", "1 while the object API answers, else 0"),
            waiting: gauge(
                &meter,
                "waiting",
                "Tasks that wait for the object API to respond, by duty",
            ),
            memory: gauge(&meter, "memory", "Accelerator memory in MiB, by server and state"),
            moves: counter(&meter, "moves", "Orders to load or unload, by cause"),
            configuration: gauge(&meter, "configuration", "Number of the configuration in force"),
            members: gauge(&meter, "members", "Hosts and servers, by kind and standing"),
            denied: counter(&meter, "denied", "Calls with a wrong or missing token, by listener"),
            registry,
            provider,
        }
    }

    /// Exports the number of events that this ring has dropped. Does not keep the ring alive.
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

    /// Exports the numbers of records that the process's log has dropped.
    pub fn watch_log(&self) {
        let meter = self.provider.meter(NAMESPACE);
        let _registered = meter
            .u64_observable_counter("log_dropped")
            .with_description("Records dropped from the log, by cause")
            .with_callback(|observer| {
                let log::Dropped { full, rate_limited, .. } = log::dropped();
                observer.observe(full, &[KeyValue::new("cause", "full")]);
                observer.observe(rate_limited, &[KeyValue::new("cause", "ceiling")]);
            })
            .build();
        let _registered = meter
            .u64_observable_counter("log_dropped_plans")
            .with_description("Dropped log records about plans, such as leases, wishes and orders")
            .with_callback(|observer| observer.observe(log::dropped().plans, &[]))
            .build();
    }

    /// Creates the instruments of the routed path, with resolved labels; called once per process.
    pub fn routed(&self) -> routed::Routed {
        routed::Routed::new(&self.provider.meter(NAMESPACE))
    }

    /// Exports the bytes of a link's control traffic, which is everything except callers' requests
    /// and their responses. `total` returns the bytes since the start of the process.
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

    /// Counts a request that has ended.
    pub fn request(&self, service: &service::Id, outcome: Outcome) {
        self.requests.add(1, &[of_service(service), KeyValue::new("outcome", outcome.as_str())]);
    }

    /// Records the time from the request to the first token, or to the head of a plain response.
    pub fn first_token(&self, service: &service::Id, time: Duration) {
        self.first_token.record(time.as_secs_f64(), &[of_service(service)]);
    }

    /// Records the time from one token to the next.
    pub fn between_tokens(&self, service: &service::Id, time: Duration) {
        self.between_tokens.record(time.as_secs_f64(), &[of_service(service)]);
    }

    /// Counts a request that met or missed its latency target.
    pub fn attainment(&self, service: &service::Id, result: Attainment) {
        self.attainment.add(1, &[of_service(service), KeyValue::new("result", result.as_str())]);
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn in_flight(&self, service: &service::Id) -> InFlight {
        let labels = [of_service(service)];
        self.in_flight.add(1, &labels);
        InFlight { counter: self.in_flight.clone(), labels }
    }

    /// Sets the limit on requests in flight to a model on a server.
    pub fn limit(&self, server: &backend::Id, model: &model::Id, limit: u64) {
        let model = KeyValue::new("model", Arc::clone(model));
        self.limit.record(limit, &[of_server(server), model]);
    }

    /// Counts a refused request; `cause` is the stable identifier in the problem type that the
    /// caller receives.
    pub fn refusal(&self, service: &service::Id, cause: &'static str) {
        self.refusals.add(1, &[of_service(service), KeyValue::new("cause", cause)]);
    }

    /// Counts a further attempt; `cause` is why the previous attempt failed.
    pub fn retry(&self, service: &service::Id, cause: &'static str) {
        self.retries.add(1, &[of_service(service), KeyValue::new("cause", cause)]);
    }

    /// Counts a call to the object API.
    pub fn platform_call(&self, operation: &'static str, result: &'static str) {
        let operation = KeyValue::new("operation", operation);
        self.platform_calls.add(1, &[operation, KeyValue::new("result", result)]);
    }

    /// Sets whether the object API is available to this host.
    pub fn platform(&self, state: PlatformState) {
        let up = match state {
            PlatformState::Up => 1,
            PlatformState::Down => 0,
        };
        self.platform_up.record(up, &[]);
    }

    /// Sets the number of tasks of a duty that wait for the object API to respond.
    pub fn waiting(&self, duty: &'static str, count: u64) {
        self.waiting.record(count, &[KeyValue::new("duty", duty)]);
    }

    /// Sets how much of a server's accelerator memory is in this state.
    pub fn memory(&self, server: &backend::Id, state: Memory, amount: Mebibytes) {
        let state = KeyValue::new("state", state.as_str());
        self.memory.record(amount, &[of_server(server), state]);
    }

    /// Counts an order to load or unload a model or adapter; `cause` is the planner's reason.
    pub fn moved(&self, cause: &'static str) {
        self.moves.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Sets the number of the configuration that is in force on this host.
    pub fn configuration(&self, number: config::Number) {
        self.configuration.record(number, &[]);
    }

    /// Sets how many hosts or servers have this standing, as seen by this host.
    pub fn members(&self, kind: Member, standing: &'static str, count: u64) {
        let kind = KeyValue::new("member", kind.as_str());
        self.members.record(count, &[kind, KeyValue::new("standing", standing)]);
    }

    /// Counts a call that was denied because its token was wrong or missing.
    pub fn denied(&self, listener: Listener) {
        self.denied.add(1, &[KeyValue::new("listener", listener.as_str())]);
    }

    /// Returns all metrics as Prometheus text of type [`CONTENT_TYPE`].
    ///
    /// # Errors
    ///
    /// The metrics can't be encoded.
    pub fn text(&self) -> Result<String, Error> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

/// Guard of one request in flight.
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

/// Error from creating or exporting metrics.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter can't be registered.
    #[error("can't register the metrics exporter: {0}")]
    Setup(#[from] OTelSdkError),
    /// The metrics can't be encoded.
    #[error("can't encode the metrics: {0}")]
    Text(#[from] prometheus::Error),
}

fn of_service(service: &service::Id) -> KeyValue {
    KeyValue::new("service", Arc::clone(service))
}

fn of_server(server: &backend::Id) -> KeyValue {
    KeyValue::new("server", Arc::clone(server))
}
