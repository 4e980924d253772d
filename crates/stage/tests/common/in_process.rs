//! A host in the test's process, with scripted backend servers.

use serde_json::json;
use stage::Running;
use standin::objects::Platform;
use types::{
    backend::{self, Kind, Server},
    host::{List, ListState},
};

use super::{get, script::ScriptedServer, until};

/// A host in the test's process and the stand-in platform that it uses.
pub struct Fixture {
    pub host: Running,
    pub platform: Platform,
}

impl Fixture {
    /// Starts a host and waits until it is ready and has a report from each server.
    ///
    /// The host reads each server's report once and then every 600 s, so that it learns of a
    /// server's failure from requests only.
    pub async fn start(servers: &[ScriptedServer]) -> Fixture {
        Fixture::start_with(servers, json!({})).await
    }

    /// As [`Fixture::start`], with the given `bounds` settings for callers.
    pub async fn start_with(servers: &[ScriptedServer], bounds: serde_json::Value) -> Fixture {
        let platform = Platform::start().await.expect("the platform starts");
        Fixture::start_on(platform, servers, bounds).await
    }

    /// As [`Fixture::start_with`], on a platform that has the state of an earlier host.
    pub async fn start_on(
        platform: Platform,
        servers: &[ScriptedServer],
        bounds: serde_json::Value,
    ) -> Fixture {
        let config = json!({
            "customers": {"guests": {}},
            "models": {"welcome": {"group": "lm", "version": "v1", "memory": 1}},
            "services": {
                "chat": {
                    "customer": "guests", "offer": {"models": ["welcome"]},
                    "target": {"first_token_ms": 60_000},
                },
                "tickets": {
                    "customer": "guests", "offer": {"plain": "app"},
                    "target": {"first_token_ms": 60_000}, "non_idempotent": ["POST"],
                },
            },
        });
        platform.poke("config/root", json!({"number": 1, "config": config}));
        platform.set_list(List { hosts: Vec::new(), servers: servers.iter().map(entry).collect() });
        let any = "127.0.0.1:0";
        let settings = json!({
            "host": {
                "id": "host-0", "zone": "biloxi-hall",
                "callers": any, "peers": any, "operators": any,
            },
            "platform": platform.address(),
            "intervals": {
                "list_ms": 50, "report_ms": 600_000, "heartbeat_ms": 50, "plan_ms": 600_000,
            },
            "drain": {"balancer_ms": 0, "finish_ms": 5000},
            "bounds": bounds,
        });
        let settings = serde_json::from_value(settings).expect("the settings are valid");
        let host = stage::start(settings).await.expect("the host starts");
        let fixture = Fixture { host, platform };
        let operators = fixture.host.context().host().operators;
        until("the host is ready", async || {
            let Some(status) = get(operators, "/status").await else { return false };
            status["ready"] == true && status["reporting"] == servers.len()
        })
        .await;
        fixture
    }

    pub fn callers(&self) -> std::net::SocketAddr {
        self.host.context().host().callers
    }
}

fn entry(scripted: &ScriptedServer) -> backend::Entry {
    let group = if scripted.kind == Kind::Engine { "lm" } else { "app" };
    let server = Server {
        id: scripted.id.as_str().into(),
        group: group.into(),
        kind: scripted.kind,
        zone: "biloxi-hall".into(),
        address: scripted.address,
    };
    backend::Entry { server, state: ListState::Live }
}
