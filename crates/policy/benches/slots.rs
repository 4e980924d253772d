//! Cost of advancing granted slots at a host with a request at each of many servers.

use std::{hint::black_box, time::Duration};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use policy::{
    dispatch::{Dispatcher, HostStart, RequestSpec, RetryBudgetConfig, Settings},
    slots::{Slots, Want},
};
use types::{
    prelude::*,
    routed::{Kind, Route, Server, Share, State},
};

const SIZES: [(usize, usize); 2] = [(76, 112), (350, 770)];

const TICK: Duration = Duration::from_millis(20);

/// Ticks until owners are told again.
const TICKS: u32 = 20;

fn hosts(hosts: usize) -> Vec<host::Id> {
    (0..hosts).map(|number| format!("host-{number}").into()).collect()
}

fn id(number: usize) -> backend::Id {
    format!("server-{number}").into()
}

fn slots(hosts: &[host::Id], servers: usize) -> Slots {
    let mut slots = Slots::new(hosts[0].clone(), 1);
    slots.set_live(hosts);
    for id in (0..servers).map(id) {
        slots.set_wanted(&id, Want { slots: 1, ..Want::default() }, Duration::ZERO);
        slots.set_wanted(&id, Want::default(), Duration::ZERO);
        slots.set_use(&id, 1, 0);
        slots.set_capacity(&id, Some(8));
    }
    slots.tick(Duration::ZERO);
    slots.outgoing();
    slots
}

/// Advances all ticks of one interval in which nothing changes.
fn advance(mut slots: Slots) -> Slots {
    for tick in 1..=TICKS {
        slots.tick(TICK * tick);
        black_box(slots.outgoing());
    }
    slots
}

fn route() -> Route {
    Route {
        name: "r".into(),
        host: "portal".into(),
        prefix: "/".into(),
        kind: Kind::Idempotent,
        resumable: false,
        sticky: false,
        timeout: Duration::from_secs(60),
        goal: Duration::from_secs(1),
        gap: None,
        silence: None,
        attempts: 3,
        priority: 2,
        split: vec![Share { service: "app".into(), weight: 1 }],
        public: false,
    }
}

fn server(id: backend::Id) -> Server {
    Server {
        name: id.clone(),
        id,
        started_at: 0,
        service: "app".into(),
        software: "".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        slots: 8,
        state: State::Ready,
        remaining: None,
        cold: Duration::ZERO,
        models: vec![],
        resident: vec![],
        on_disk: vec![],
        sequence: 0,
    }
}

/// A host that has sent as many requests as there are servers, and then meets the other hosts.
fn dispatcher(hosts: &[host::Id], servers: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Settings {
        host: hosts[0].clone(),
        run: 1,
        zone: "a".into(),
        hosts: 1,
        retries: RetryBudgetConfig::default(),
    });
    dispatcher.registered(HostStart::First);
    for id in (0..servers).map(id) {
        dispatcher.server(&server(id), Duration::ZERO);
    }
    for ticket in 1..=servers as u64 {
        let spec = RequestSpec::new(ticket, &route(), &"app".into(), Duration::from_secs(60));
        dispatcher.arrive(RequestSpec { fingerprint: ticket, ..spec }, Duration::ZERO);
    }
    dispatcher.share_among(std::iter::empty(), hosts.to_vec(), Duration::ZERO);
    for _ in 0..3 {
        dispatcher.pump(Duration::ZERO);
        dispatcher.slots_outgoing();
    }
    dispatcher
}

fn bench(criterion: &mut Criterion) {
    for (count, servers) in SIZES {
        let hosts = hosts(count);
        let size = format!("{count} hosts, {servers} servers");
        let settled = slots(&hosts, servers);
        criterion.bench_function(&format!("slots/400 ms of ticks/{size}"), |bencher| {
            bencher.iter_batched(|| settled.clone(), advance, BatchSize::LargeInput);
        });
        let mut dispatcher = dispatcher(&hosts, servers);
        criterion.bench_function(&format!("slots/pump without a change/{size}"), |bencher| {
            bencher.iter(|| black_box(dispatcher.pump(Duration::ZERO)));
        });
    }
}

criterion_group!(benches, bench);
criterion_main!(benches);
