//! Platform, engines and hosts of one run, in this process and on loopback.

use std::{collections::BTreeMap, error::Error, net::Ipv4Addr, time::Duration};

use policy::plan::{self, Limits, Planner};
use serde_json::json;
use settings::process::Process;
use stage::Running;
use standin::{
    engine::{self, Engine},
    objects::Platform,
    weights,
};
use tokio::sync::Mutex;
use types::{
    backend::{self, Kind, Server},
    host::{Entry, Host, List, ListState},
    prelude::*,
};

use crate::{Strategy, deployment::Sizes};

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const PLANNING_ROUNDS: usize = 64;

/// Interval of the hosts' planning.
const PLAN_INTERVAL_MS: u64 = 500;

/// Planning interval without moves: longer than any run, so that hosts plan only once, when the
/// first placement needs no change.
const NEVER_MS: u64 = 3_600_000;

/// Running platform, engines and hosts.
pub(crate) struct Site {
    pub(crate) engines: Vec<Engine>,
    pub(crate) servers: Vec<Server>,
    hosts: Mutex<Vec<Running>>,
    /// Addresses at which the hosts take callers' requests; empty without hosts.
    pub(crate) callers: Vec<std::net::SocketAddr>,
    _platform: Platform,
}

impl Site {
    /// Starts the platform, engines with the first placement loaded, and hosts if the strategy has
    /// them. Waits until the hosts are ready and have reports of all engines.
    pub(crate) async fn start(
        sizes: &Sizes,
        hosts: u8,
        strategy: Strategy,
    ) -> Result<Site, Box<dyn Error>> {
        let platform = Platform::start().await?;
        platform.poke("config/root", json!({"number": 1, "config": sizes.config}));
        let weights = weights::Store::new(
            sizes.limits.loads_per_second,
            sizes.limits.max_concurrent_loads,
            sizes.load_time,
        );
        let preloads = first_placement(sizes);
        let mut engines = Vec::new();
        for (id, preload) in preloads {
            engines.push(Engine::start(settings(sizes, &id, preload, &weights)).await?);
        }
        let servers: Vec<Server> =
            engines.iter().enumerate().map(|(n, e)| server(sizes, n, e)).collect();
        let hosts = if strategy.has_hosts() { hosts } else { 0 };
        let mut running = Vec::new();
        for n in 0..hosts {
            let any_port = (Ipv4Addr::LOCALHOST, 0).into();
            let zone = sizes.zones[usize::from(n) % sizes.zones.len()].into();
            let id = format!("host-{n}").into();
            let host = Host { id, zone, callers: any_port, peers: any_port, operators: any_port };
            let settings = json!({
                "host": host, "platform": platform.address(), "drain": {"balancer_ms": 0},
                "intervals": {
                    "plan_ms": if strategy == Strategy::Ours { PLAN_INTERVAL_MS } else { NEVER_MS },
                },
                "planning": {
                    "loads_per_second": sizes.limits.loads_per_second,
                    "loads_at_once": sizes.limits.max_concurrent_loads,
                },
            });
            running.push(stage::start(serde_json::from_value::<Process>(settings)?).await?);
        }
        platform.set_list(list(&running, &servers));
        wait_until_ready(&running, servers.len()).await?;
        let callers = running.iter().map(|host| host.context().host().callers).collect();
        Ok(Site { engines, servers, hosts: Mutex::new(running), callers, _platform: platform })
    }

    /// Number of loads and unloads that the engines accepted.
    pub(crate) fn moves(&self) -> u64 {
        self.engines.iter().map(|engine| engine.counts().moves).sum()
    }

    /// Drains and stops the hosts.
    pub(crate) async fn stop(&self) {
        let hosts: Vec<Running> = self.hosts.lock().await.drain(..).collect();
        futures_util::future::join_all(hosts.into_iter().map(Running::drain)).await;
    }
}

/// Placement by the hosts' planner without demand, with which every strategy starts.
fn first_placement(sizes: &Sizes) -> BTreeMap<backend::Id, Vec<(Unit, Mebibytes)>> {
    let mut planner = Planner::new(Limits::NONE);
    planner.configure(&sizes.config);
    let mut placed = BTreeMap::new();
    for n in 0..sizes.engines {
        let engine = plan::Engine {
            server: id(sizes, n),
            group: sizes.group.into(),
            zone: sizes.zones[n % sizes.zones.len()].into(),
            state: plan::State::Live,
            free: sizes.capacity,
            residents: Vec::new(),
        };
        placed.insert(engine.server.clone(), Vec::new());
        planner.set_engine(Duration::ZERO, engine);
    }
    for planned in planner.simulate(Duration::ZERO, PLANNING_ROUNDS) {
        let Some(preload) = placed.get_mut(&planned.server) else { continue };
        match planned.action {
            types::order::Action::Load { unit, memory } => preload.push((unit, memory)),
            types::order::Action::Unload { unit } => preload.retain(|(other, _)| *other != unit),
            types::order::Action::Role { .. } => {}
        }
    }
    placed
}

fn id(sizes: &Sizes, n: usize) -> backend::Id {
    format!("{}-{n:02}", sizes.group).into()
}

fn settings(
    sizes: &Sizes,
    id: &str,
    preload: Vec<(Unit, Mebibytes)>,
    weights: &weights::Store,
) -> engine::Settings {
    engine::Settings {
        capacity: sizes.capacity,
        slots: sizes.slots,
        step: sizes.step,
        preload,
        weights: weights.clone(),
        ..engine::Settings::new(id)
    }
}

fn server(sizes: &Sizes, n: usize, engine: &Engine) -> Server {
    Server {
        id: engine.settings().id.clone(),
        group: sizes.group.into(),
        kind: Kind::Engine,
        zone: sizes.zones[n % sizes.zones.len()].into(),
        address: engine.address(),
    }
}

fn list(hosts: &[Running], servers: &[Server]) -> List {
    let hosts = hosts
        .iter()
        .map(|host| Entry { host: host.context().host().clone(), state: ListState::Live })
        .collect();
    let live = |server: &Server| backend::Entry { server: server.clone(), state: ListState::Live };
    List { hosts, servers: servers.iter().map(live).collect() }
}

async fn wait_until_ready(hosts: &[Running], servers: usize) -> Result<(), &'static str> {
    let is_ready =
        |host: &Running| host.context().is_ready() && host.context().fleet.reporting() == servers;
    let waiting = async {
        while !hosts.iter().all(is_ready) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, waiting)
        .await
        .map_err(|_| "the hosts were not ready within 20 s")
}
