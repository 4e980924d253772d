//! A host with a few servers, and requests for them.

use policy::dispatch::{
    Dispatcher, HostStart, RequestSpec, RetryBudgetConfig, Settings, Ticket, Verdict,
};
use types::{
    prelude::*,
    routed::{Kind, LoadedModel, Report, Route, Server, ServerLoad, Share, State},
};

pub const GOAL: Duration = Duration::from_millis(400);
pub const TIMEOUT: Duration = Duration::from_secs(4);

pub fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

pub fn host() -> Dispatcher {
    let mut host = Dispatcher::new(Settings {
        host: "a".into(),
        run: 1,
        zone: "a".into(),
        hosts: 1,
        retries: RetryBudgetConfig::default(),
    });
    host.registered(HostStart::First);
    host
}

/// A dispatcher that is one of `hosts` connected hosts and knows these servers.
pub fn among(hosts: usize, servers: impl Iterator<Item = Server>) -> Dispatcher {
    let hosts = hosts as u32;
    let mut host = Dispatcher::new(Settings {
        host: "a".into(),
        run: 1,
        zone: "a".into(),
        hosts,
        retries: RetryBudgetConfig::default(),
    });
    host.registered(HostStart::First);
    host.hosts(hosts);
    servers.for_each(|server| host.server(&server, at(0)));
    host
}

pub fn route(kind: Kind) -> Route {
    Route {
        name: "r".into(),
        host: "portal".into(),
        prefix: "/".into(),
        kind,
        resumable: false,
        sticky: false,
        timeout: TIMEOUT,
        goal: GOAL,
        gap: None,
        silence: None,
        attempts: 3,
        priority: 2,
        split: vec![Share { service: "app".into(), weight: 1 }],
        public: false,
    }
}

pub fn request(ticket: Ticket, kind: Kind, now: Moment) -> RequestSpec {
    let request = RequestSpec::new(ticket, &route(kind), &"app".into(), now + TIMEOUT);
    RequestSpec { fingerprint: ticket, ..request }
}

/// A streamed request for a model.
pub fn generation(ticket: Ticket, model: &str, now: Moment) -> RequestSpec {
    RequestSpec {
        model: Some(model.into()),
        input: 300,
        output: 100,
        ..request(ticket, Kind::Stream, now)
    }
}

pub fn server(id: &str, zone: &str, models: &[(&str, &[&str])]) -> Server {
    Server {
        id: id.into(),
        name: id.into(),
        started_at: 0,
        service: "app".into(),
        software: "".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        slots: 2,
        state: State::Ready,
        remaining: None,
        cold: Duration::ZERO,
        models: held(models),
        resident: vec![],
        on_disk: vec![],
        sequence: 0,
    }
}

pub fn held(models: &[(&str, &[&str])]) -> Vec<LoadedModel> {
    let held = |(model, adapters): &(&str, &[&str])| LoadedModel {
        model: (*model).into(),
        version: 1,
        adapters: adapters.iter().map(|adapter| (*adapter).into()).collect(),
    };
    models.iter().map(held).collect()
}

pub fn report(running: u32, models: &[(&str, &[&str])]) -> Report {
    Report { models: held(models), running, ..Report::default() }
}

/// The load of a server that doesn't state its momentary speed.
pub fn load(running: u32, waiting: u32, slots: u32) -> ServerLoad {
    ServerLoad { running, waiting, slots, slowdown: None }
}

/// A host with servers without models, in its own zone.
pub fn plain(ids: &[&str]) -> Dispatcher {
    let mut host = host();
    ids.iter().for_each(|id| host.server(&server(id, "a", &[]), at(0)));
    host
}

/// The server that a request is sent to; panics for any other verdict.
#[track_caller]
pub fn sent(verdict: Verdict) -> backend::Id {
    match verdict {
        Verdict::Send(server) => server,
        other => panic!("not sent: {other:?}"),
    }
}
