//! Cost of the decisions on one request's path: admission, choice of a server, accounting.

use std::{collections::BTreeMap, hint::black_box};

use criterion::{Criterion, criterion_group, criterion_main};
use policy::{
    admit::{Request, Ticket},
    route::{Destination, Distances},
    traffic::{Admission, End, Requirements, Rules, Traffic},
};
use types::{
    prelude::*,
    report::Load,
    resident::{Resident, State},
};

/// Blocks of a prompt that have a digest.
const BLOCKS: u64 = 16;

struct Size {
    name: &'static str,
    models: u32,
    servers: u32,
    replicas: u32,
    zones: u32,
}

const SIZES: [Size; 2] = [
    Size { name: "14 models, 9 servers", models: 14, servers: 9, replicas: 4, zones: 4 },
    Size { name: "950 models, 770 servers", models: 950, servers: 770, replicas: 8, zones: 8 },
];

fn traffic(size: &Size) -> Traffic {
    let distances =
        Distances { own: "z0".into(), other: Duration::from_millis(1), named: BTreeMap::new() };
    let mut traffic = Traffic::new(distances, Rules::default());
    for at in 0..size.servers {
        let server = backend::Server {
            id: format!("server-{at}").into(),
            group: "engines".into(),
            kind: backend::Kind::Engine,
            zone: format!("z{}", at % size.zones).into(),
            address: "127.0.0.1:1".parse().unwrap(),
        };
        let index = traffic.table.add(&server);
        traffic.table.report(index, &load(size, at), Duration::ZERO);
    }
    traffic
}

/// Builds a server's load report. Model `m` has its replicas on the servers after `m * 7`.
fn load(size: &Size, server: u32) -> Load {
    let holds = |model: &u32| {
        (server + size.servers - model * 7 % size.servers) % size.servers < size.replicas
    };
    let residents = (0..size.models)
        .filter(holds)
        .map(|model| Resident {
            unit: Unit::Model { model: format!("model-{model}").into(), version: "1".into() },
            memory: 1,
            state: State::Ready,
        })
        .collect();
    Load {
        server: format!("server-{server}").into(),
        incarnation: 1,
        sequence: 1,
        age: Duration::from_millis(50),
        leaving: false,
        running: server % 7,
        waiting: 0,
        slots: 32,
        step: Duration::from_millis(8),
        prefill_rate: 2048,
        prompt_backlog: u64::from(server % 5) * 100,
        capacity: 80_000,
        residents,
        fence: 0,
        fenced: true,
        orders: Vec::new(),
        role: order::Role::Whole,
    }
}

fn requirements(traffic: &Traffic, size: &Size, ticket: Ticket, now: Moment) -> Requirements {
    let model = ticket.wrapping_mul(2_654_435_761) % u64::from(size.models);
    let wanted = Destination::Model(model::Name::parse(&format!("model-{model}")));
    let wanted = traffic.table.find(&wanted).unwrap();
    Requirements {
        work: Request {
            ticket,
            priority: Priority::ALL[ticket as usize % 3],
            customer: "magnolia".into(),
            customer_share: 1,
            service: "guests".into(),
            service_share: 1,
            wanted,
            pool: traffic.table.pool(wanted),
            due: now + Duration::from_secs(60),
            spread: ticket.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        },
        target: Duration::from_secs(60),
        version: "1".into(),
        prefix: (0..BLOCKS).map(|block| model << 32 | (ticket % 64) << 8 | block).collect(),
        prompt_tokens: 1024,
    }
}

fn path(criterion: &mut Criterion) {
    for size in &SIZES {
        let mut traffic = traffic(size);
        let mut ticket = 0;
        let mut now = Duration::from_millis(100);
        criterion.bench_function(&format!("admit, route, account: {}", size.name), |bencher| {
            bencher.iter(|| {
                ticket += 1;
                now += Duration::from_micros(200);
                let requirements = requirements(&traffic, size, ticket, now);
                let admission = traffic.admit(black_box(&requirements), now, &mut Vec::new());
                assert_eq!(admission, Admission::Take);
                let attempt = traffic.dispatch(&requirements, now).unwrap();
                traffic.answered(&attempt, now);
                traffic.ended(&attempt, End::Completed, now);
                black_box(traffic.pump(now));
            });
        });
    }
}

criterion_group!(benches, path);
criterion_main!(benches);
