//! Memory of the routing state, and time to route a request and to apply a load report.

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use policy::{
    admit::{Request, Ticket},
    ledger::Ledger,
    route::{Destination, Distances},
    traffic::{Admission, End, Requirements, Rules, Traffic},
};
use types::{
    backend,
    prelude::*,
    report::Load,
    resident::{Resident, State},
};

use crate::fit::{Row, kibibytes, micros};

const SERVERS: [u32; 4] = [96, 192, 385, 770];
const TARGET: f64 = 770.0;
const REPLICAS: u32 = 8;
const ZONES: u32 = 8;
const COPIES: usize = 8;
const BLOCKS: u64 = 16;
const NOW: Moment = Duration::from_secs(1);

pub(crate) fn rows() -> Vec<Row> {
    let points = |of: &dyn Fn(u32) -> f64| {
        SERVERS.iter().map(|servers| (f64::from(*servers), of(*servers))).collect::<Vec<_>>()
    };
    vec![
        Row::new(
            "routing state of a host",
            "KiB",
            "servers",
            points(&|servers| kibibytes(COPIES, || traffic(servers))),
            TARGET,
        ),
        Row::new("decision on a request", "µs", "servers", points(&decision_time), TARGET),
        Row::new("intake of a load report", "µs", "servers", points(&report_time), TARGET),
        Row::new(
            "load report on the wire",
            "bytes",
            "residents",
            [4_u32, 8, 16, 32].map(|n| (f64::from(n), report_bytes(n))).to_vec(),
            16.0,
        ),
        Row::new(
            "ledger of a server without open orders",
            "bytes",
            "residents",
            [4_u32, 8, 16, 32].map(|n| (f64::from(n), ledger_bytes(n))).to_vec(),
            16.0,
        ),
    ]
}

fn models(servers: u32) -> u32 {
    servers * 950 / 770
}

fn traffic(servers: u32) -> Traffic {
    let distances =
        Distances { own: "z0".into(), other: Duration::from_millis(1), named: BTreeMap::new() };
    let mut traffic = Traffic::new(distances, Rules::default());
    for number in 0..servers {
        let server = backend::Server {
            id: name("server", number),
            group: "engines".into(),
            kind: backend::Kind::Engine,
            zone: format!("z{}", number % ZONES).into(),
            address: ([127, 0, 0, 1], 1).into(),
        };
        let index = traffic.table.add(&server);
        traffic.table.report(index, &load(servers, number), NOW);
    }
    traffic
}

fn name(kind: &str, number: u32) -> Arc<str> {
    format!("{kind}-{number:05}").into()
}

fn load(servers: u32, number: u32) -> Load {
    let holds = |model: &u32| (number + servers - model * 7 % servers) % servers < REPLICAS;
    let units = (0..models(servers)).filter(holds).map(unit);
    report(number, units)
}

fn unit(model: u32) -> Unit {
    Unit::Model { model: name("model", model), version: "1".into() }
}

fn report(number: u32, units: impl Iterator<Item = Unit>) -> Load {
    let resident = |unit| Resident { unit, memory: 30_000, state: State::Ready };
    Load {
        server: name("server", number),
        incarnation: 1_700_000_000_000_000,
        sequence: 100_000,
        age: Duration::from_millis(50),
        leaving: false,
        running: number % 7,
        waiting: 0,
        slots: 32,
        step: Duration::from_millis(8),
        prefill_rate: 2048,
        prompt_backlog: u64::from(number % 5) * 100,
        capacity: 640_000,
        residents: units.map(resident).collect(),
        fence: 1_000,
        fenced: true,
        orders: Vec::new(),
        role: order::Role::Whole,
    }
}

fn report_bytes(residents: u32) -> f64 {
    let report = report(1, (0..residents).map(unit));
    serde_json::to_vec(&report).map_or(0.0, |bytes| bytes.len() as f64)
}

fn ledger_bytes(residents: u32) -> f64 {
    let ledger = Ledger::new(&report(1, (0..residents).map(unit)));
    serde_json::to_vec(&ledger).map_or(0.0, |bytes| bytes.len() as f64)
}

/// Time in microseconds to admit a request, choose its server, and record its answer and end.
fn decision_time(servers: u32) -> f64 {
    let state = RefCell::new((traffic(servers), 0, NOW));
    micros(5, 20_000, || {
        let (traffic, ticket, now) = &mut *state.borrow_mut();
        *ticket += 1;
        *now += Duration::from_micros(200);
        let Some(requirements) = requirements(traffic, servers, *ticket, *now) else { return };
        if traffic.admit(&requirements, *now, &mut Vec::new()) != Admission::Take {
            return;
        }
        if let Some(attempt) = traffic.dispatch(&requirements, *now) {
            traffic.answered(&attempt, *now);
            traffic.ended(&attempt, End::Completed, *now);
        }
        drop(traffic.pump(*now));
    })
}

fn requirements(
    traffic: &Traffic,
    servers: u32,
    ticket: Ticket,
    now: Moment,
) -> Option<Requirements> {
    let model = ticket.wrapping_mul(2_654_435_761) % u64::from(models(servers));
    let wanted = Destination::Model(model::Name::parse(&name("model", model as u32)));
    let wanted = traffic.table.find(&wanted)?;
    Some(Requirements {
        work: Request {
            ticket,
            priority: Priority::ALL[ticket as usize % Priority::ALL.len()],
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
    })
}

fn report_time(servers: u32) -> f64 {
    let loads: Vec<Load> = (0..servers).map(|number| load(servers, number)).collect();
    let mut traffic = traffic(servers);
    let mut count = 0;
    micros(5, 20_000, || {
        let load = &loads[count % loads.len()];
        count += 1;
        traffic.table.index(&load.server).map(|index| traffic.table.report(index, load, NOW))
    })
}
