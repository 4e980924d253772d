//! Harness: a running host between a scripted caller and scripted servers, with a scripted store.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod caller;
pub mod dialect;
pub mod server;
pub mod store;

use std::{collections::BTreeMap, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use relay::{
    Running,
    clock::Clock,
    edge::{ObjectKind, Order},
};
use settings::process::{self, Process, Retry, RoutedSettings};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};
use types::{
    host::Host,
    routed::{Declaration, Engine, Kind, Limits, Route, Service, Share, State},
};

use self::{
    caller::Caller,
    dialect::NeutralDialect,
    server::{Connection, Server},
    store::StoreObjects,
};

/// Timeout of each wait, and value of each duration in the host's settings that no test varies.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// The service that all servers belong to.
const SERVICE: &str = "words";

/// Awaits a future; panics after [`TIMEOUT`].
pub async fn within<T>(future: impl Future<Output = T>) -> T {
    timeout(TIMEOUT, future).await.expect("completion within the timeout")
}

/// What a host calls right before it hands something to a connection.
struct Hooks {
    on_order: fn(&Order),
    on_forward: fn(),
}

impl Default for Hooks {
    fn default() -> Hooks {
        Hooks { on_order: |_| (), on_forward: || () }
    }
}

/// A running host with its store.
pub struct TestHost {
    pub address: SocketAddr,
    pub objects: Arc<StoreObjects>,
    running: Running,
}

impl TestHost {
    /// Starts a host with one route; returns when the route is in force and the host is registered.
    pub async fn start(route: Route, servers: &[&Server]) -> TestHost {
        TestHost::start_with_clock(Clock::start(), route, servers).await
    }

    /// Starts a host as [`TestHost::start`] does, on a clock that the test controls.
    pub async fn start_with_clock(clock: Clock, route: Route, servers: &[&Server]) -> TestHost {
        TestHost::start_with(clock, routed(), route, servers).await
    }

    /// Starts a host as [`TestHost::start_with_clock`] does, which calls `on_forward` right before
    /// it hands a request to its connection.
    pub async fn start_with_forwards(
        clock: Clock,
        route: Route,
        servers: &[&Server],
        on_forward: fn(),
    ) -> TestHost {
        let objects = Arc::new(StoreObjects::new(declaration(route, Vec::new())));
        let hooks = Hooks { on_forward, ..Hooks::default() };
        TestHost::start_on(clock, routed(), objects, servers, hooks).await
    }

    /// Starts a host as [`TestHost::start_with_clock`] does, which sends orders to its servers.
    pub async fn start_with_orders(
        clock: Clock,
        engine: Engine,
        servers: &[&Server],
        on_order: fn(&Order),
    ) -> TestHost {
        let service = Service {
            name: SERVICE.into(),
            health: "/health".into(),
            connections: 8,
            engine: Some(engine),
        };
        let route = route(Kind::Idempotent);
        TestHost::start_declared(
            clock,
            routed(),
            declaration(route, vec![service]),
            servers,
            on_order,
        )
        .await
    }

    /// Starts a host as [`TestHost::start`] does, with an empty retry budget.
    pub async fn without_retries(route: Route, servers: &[&Server]) -> TestHost {
        let retry = Retry { ratio: 0.0, extra: 0.0, window: TIMEOUT };
        TestHost::start_with(Clock::start(), RoutedSettings { retry, ..routed() }, route, servers)
            .await
    }

    /// Starts a host as [`TestHost::start`] does, which leaves servers alone within `drain`.
    pub async fn start_with_drain(drain: Duration, route: Route, servers: &[&Server]) -> TestHost {
        let settings = RoutedSettings { drain, ..routed() };
        TestHost::start_with(Clock::start(), settings, route, servers).await
    }

    async fn start_with(
        clock: Clock,
        routed: RoutedSettings,
        route: Route,
        servers: &[&Server],
    ) -> TestHost {
        TestHost::start_declared(clock, routed, declaration(route, Vec::new()), servers, |_| ())
            .await
    }

    async fn start_declared(
        clock: Clock,
        routed: RoutedSettings,
        declaration: Declaration,
        servers: &[&Server],
        on_order: fn(&Order),
    ) -> TestHost {
        let objects = Arc::new(StoreObjects::new(declaration));
        let hooks = Hooks { on_order, ..Hooks::default() };
        TestHost::start_on(clock, routed, objects, servers, hooks).await
    }

    /// Starts a host whose store's parsers panic once for each of these kinds.
    pub async fn start_planted(kinds: &[ObjectKind], servers: &[&Server]) -> TestHost {
        let declaration = declaration(route(Kind::Idempotent), Vec::new());
        let objects = Arc::new(StoreObjects::new(declaration));
        kinds.iter().for_each(|kind| objects.plant(*kind));
        TestHost::start_on(Clock::start(), routed(), objects, servers, Hooks::default()).await
    }

    async fn start_on(
        clock: Clock,
        routed: RoutedSettings,
        objects: Arc<StoreObjects>,
        servers: &[&Server],
        hooks: Hooks,
    ) -> TestHost {
        for server in servers {
            objects.register(registration(server));
        }
        let store = store::listen(objects.clone()).await;
        let Hooks { on_order, on_forward } = hooks;
        let dialect = Arc::new(NeutralDialect { objects: objects.clone(), on_order, on_forward });
        let running =
            relay::start_with_clock(clock, process(store), routed, dialect).await.expect("a host");
        let host = TestHost { address: running.address(), objects, running };
        within(host.wait_in_force()).await;
        within(host.wait_registered()).await;
        host
    }

    /// Registers another server in the store.
    pub fn register(&self, server: &Server) {
        self.objects.register(registration(server));
    }

    pub async fn caller(&self) -> Caller {
        Caller::connect(self.address).await
    }

    /// Returns the text of the host's metrics.
    pub async fn metrics(&self) -> String {
        let mut stream =
            TcpStream::connect(self.running.host().operators).await.expect("a connection");
        let call = "GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        stream.write_all(call.as_bytes()).await.expect("a request");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("a response");
        text
    }

    /// Returns the panics of the host's tasks, by task.
    pub async fn task_panics(&self) -> BTreeMap<String, u64> {
        let text = self.metrics().await;
        let panics = text.lines().filter_map(|line| {
            let (task, rest) =
                line.split_once("routed_task_panics_total{task=\"")?.1.split_once('"')?;
            Some((task.to_owned(), rest.rsplit(' ').next()?.parse().ok()?))
        });
        panics.collect()
    }

    async fn wait_registered(&self) {
        let mut registered = self.objects.registered.subscribe();
        registered.wait_for(|is| *is).await.expect("a store");
    }

    async fn wait_in_force(&self) {
        loop {
            let mut caller = self.caller().await;
            caller.write("GET /none HTTP/1.1\r\nhost: h\r\nrequest-name: probe\r\n\r\n").await;
            if caller.answer().await.status == 404 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Starts a host whose server has received the request `q`.
pub async fn begin(route: Route, server: &Server) -> (TestHost, Caller, Connection) {
    let host = TestHost::start(route, &[server]).await;
    let mut caller = host.caller().await;
    caller.write(&request("q")).await;
    let mut connection = server.accept().await;
    connection.receive().await;
    (host, caller, connection)
}

/// Returns a route for all paths under `/a/`.
pub fn route(kind: Kind) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/a/".into(),
        kind,
        resumable: false,
        sticky: false,
        timeout: TIMEOUT,
        goal: TIMEOUT,
        gap: None,
        silence: None,
        attempts: 2,
        priority: 0,
        split: vec![Share { service: SERVICE.into(), weight: 1 }],
        public: false,
    }
}

/// Returns a route for streams that may be resumed at another server.
pub fn resumable() -> Route {
    Route { resumable: true, ..route(Kind::Stream) }
}

/// Returns the text of a caller's request with this request id.
pub fn request(name: &str) -> String {
    format!("POST /a/x HTTP/1.1\r\nhost: h\r\nrequest-name: {name}\r\ncontent-length: 2\r\n\r\nhi")
}

fn declaration(route: Route, services: Vec<Service>) -> Declaration {
    Declaration {
        version: 1,
        routes: vec![route],
        services,
        limits: Limits::default(),
        customers: None,
    }
}

fn registration(server: &Server) -> types::routed::Server {
    types::routed::Server {
        id: server.id.clone(),
        name: server.id.clone(),
        started_at: 0,
        service: SERVICE.into(),
        software: "".into(),
        address: server.address,
        zone: "z".into(),
        slots: 8,
        state: State::Ready,
        remaining: None,
        cold: Duration::ZERO,
        models: Vec::new(),
        resident: Vec::new(),
        on_disk: Vec::new(),
        sequence: 0,
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn process(store: SocketAddr) -> Process {
    let host = Host {
        id: "host-1".into(),
        zone: "z".into(),
        callers: any_port(),
        peers: any_port(),
        operators: any_port(),
    };
    Process {
        host,
        platform: store,
        peers: Vec::new(),
        operators_token: None,
        peers_token: None,
        peers_advertised: None,
        peers_share_port: false,
        bounds: process::Bounds::default(),
        drain: process::Drain::default(),
        intervals: process::Intervals::default(),
        planning: process::Planning::default(),
        traffic: process::Traffic::default(),
        log: process::Log::default(),
        routed: None,
    }
}

fn routed() -> RoutedSettings {
    RoutedSettings {
        dialect: process::Dialect::Platform,
        apply: TIMEOUT,
        drain: TIMEOUT,
        grace: TIMEOUT,
        turn: TIMEOUT,
        retry: Retry { ratio: 1.0, extra: 100.0, window: TIMEOUT },
        metrics_port: None,
        revocation: process::Revocation::default(),
    }
}
