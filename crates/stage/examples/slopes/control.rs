//! Sizes and times of the configuration, host list, ring of events and page of metrics.

use std::{net::Ipv4Addr, time::Duration};

use observe::{
    clock::Clock,
    event::{Class, Event, Kind, Outcome},
    metrics::Metrics,
    ring::Ring,
};
use types::{
    backend::{self, Server},
    config::NumberedConfig,
    host::{Entry, Host, List, ListState},
    prelude::*,
};

use crate::{
    fit::{Row, kibibytes, micros},
    fleet,
};

type BoxError = Box<dyn std::error::Error>;

const MODELS: [usize; 4] = [119, 238, 475, 950];
const HOSTS: [usize; 4] = [8, 32, 128, 350];
const EVENTS: [usize; 4] = [3_072, 6_144, 12_288, 24_576];
const SERVICES: [usize; 4] = [4, 16, 64, 128];

pub(crate) fn rows() -> Result<Vec<Row>, BoxError> {
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    let mut memory = Vec::new();
    for models in MODELS {
        let numbered = NumberedConfig { number: 1, config: fleet::config(models) };
        let text = serde_json::to_vec(&numbered)?;
        bytes.push((models as f64, text.len() as f64 / 1024.0));
        let read =
            || serde_json::from_slice::<NumberedConfig>(&text).map(|numbered| numbered.number);
        times.push((models as f64, micros(5, 10, read) / 1e3));
        memory.push((models as f64, kibibytes(8, || numbered.clone())));
    }
    let mut lists = Vec::new();
    for hosts in HOSTS {
        lists.push((hosts as f64, serde_json::to_vec(&list(hosts))?.len() as f64 / 1024.0));
    }
    let mut pages = Vec::new();
    for services in SERVICES {
        pages.push((services as f64, metrics_page_bytes(services)? / 1024.0));
    }
    let rings: Vec<_> = EVENTS.map(|n| (n as f64, kibibytes(2, || ring(n)))).to_vec();
    let records: Vec<_> = EVENTS.map(|n| (n as f64, record_time(n))).to_vec();
    Ok(vec![
        Row::new("configuration on the wire", "KiB", "models", bytes, 950.0),
        Row::new("configuration read from JSON", "ms", "models", times, 950.0),
        Row::new("configuration in memory", "KiB", "models", memory, 950.0),
        Row::new("host list on the wire, 2.2 servers a host", "KiB", "hosts", lists, 350.0),
        Row::new("ring of events, full", "KiB", "events", rings, 24_576.0),
        Row::new("recording an event", "µs", "events", records, 24_576.0),
        Row::new("page of metrics", "KiB", "services", pages, 128.0),
    ])
}

fn list(hosts: usize) -> List {
    let address = |port: usize| (Ipv4Addr::new(10, 0, 0, 1), port as u16).into();
    let host = |n: usize| Host {
        id: format!("host-{n:05}").into(),
        zone: format!("zone-{}", n % 8).into(),
        callers: address(8_000),
        peers: address(8_001),
        operators: address(8_002),
    };
    let server = |n: usize| Server {
        id: format!("server-{n:05}").into(),
        group: "group-0".into(),
        kind: backend::Kind::Engine,
        zone: format!("zone-{}", n % 8).into(),
        address: address(9_000),
    };
    List {
        hosts: (0..hosts).map(|n| Entry { host: host(n), state: ListState::Live }).collect(),
        servers: (0..hosts * 770 / 350)
            .map(|n| backend::Entry { server: server(n), state: ListState::Live })
            .collect(),
    }
}

fn ring(events: usize) -> Ring {
    let ring = Ring::new("host-00001".into(), 1, Clock::system());
    let ring = ring.capacity(Class::Request, events);
    for n in 0..events {
        ring.record(event(n));
    }
    ring
}

fn event(n: usize) -> Event {
    let id: request::Id = format!("host-00001-1700000000-{n:08}").into();
    let kind = match n % 3 {
        0 => Kind::Request { service: "guests".into() },
        1 => Kind::Attempt { attempt: 0 },
        _ => Kind::Answer { outcome: Outcome::Answered },
    };
    Event::new(kind).request(&id).model(&"model-00001".into()).server(&"server-00001".into())
}

fn record_time(events: usize) -> f64 {
    let ring = ring(events);
    let mut n = 0;
    micros(5, 20_000, || {
        n += 1;
        ring.record(event(n))
    })
}

/// Bytes of the page of metrics when every service has answered, refused and retried requests.
fn metrics_page_bytes(services: usize) -> Result<f64, BoxError> {
    let metrics = Metrics::new()?;
    for n in 0..services {
        let service: service::Id = format!("service-{n:03}").into();
        metrics.request(&service, Outcome::Answered);
        metrics.request(&service, Outcome::Refused);
        metrics.first_token(&service, Duration::from_millis(100));
        metrics.between_tokens(&service, Duration::from_millis(10));
        metrics.refusal(&service, "overload");
        metrics.retry(&service, "unreachable");
    }
    Ok(metrics.text()?.len() as f64)
}
