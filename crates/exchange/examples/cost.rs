//! Measures the cost of an exchange for a small host:
//! `cargo run --release -p cyclamenstage-exchange --example cost -- HOSTS SECONDS CALLS`.
//!
//! All hosts run on one thread over loopback and publish changing work every 100 ms; then one
//! fetches a declaration from another, call after call. Processor time and memory are those of the
//! process.

#![allow(clippy::print_stdout, reason = "the example prints what it measures")]

use std::{error::Error, fs, net::SocketAddr, sync::Arc, time::Duration};

use exchange::{
    Config, Exchange, Refusal, ServerListing, Source,
    fleet::{Load, Publication, Revision, State},
};
use futures_util::{FutureExt, future::BoxFuture};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep},
};
use types::{
    backend,
    routed::{Declaration, Kind, Route, Share, Version},
};

const ROUTES: usize = 60;
const SERVERS: u64 = 20;

struct FixedSource(Arc<Declaration>);

impl Source for FixedSource {
    fn declaration(&self, above: Version) -> Option<Arc<Declaration>> {
        Some(self.0.clone()).filter(|declaration| declaration.version > above)
    }

    fn servers(&self, _: Revision) -> Option<ServerListing> {
        None
    }

    fn follow(&self, above: Revision) -> Option<ServerListing> {
        self.servers(above)
    }

    fn dial(&self, _: backend::Id) -> BoxFuture<'static, Result<TcpStream, Refusal>> {
        async { Err(Refusal::Declined) }.boxed()
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<u64> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    let [hosts, seconds, calls] = arguments[..] else {
        return Err("usage: cost HOSTS SECONDS CALLS".into());
    };
    let memory_before = memory()?;
    let source = Arc::new(FixedSource(Arc::new(declaration())));
    let mut exchanges: Vec<Arc<Exchange>> = Vec::new();
    for host in 0..hosts {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let zone = format!("zone-{}", host % 4).into();
        let seeds = exchanges.first().map(|first| first.member().address);
        let config = Config::new(format!("host-{host}").into(), zone, address, host + 1);
        let config = Config { seeds: seeds.into_iter().collect(), ..config };
        let exchange = Exchange::start(config, source.clone()).await?;
        exchange.publish(Publication::State(State::Ready));
        exchanges.push(exchange);
    }
    sleep(Duration::from_secs(2)).await;
    let (start, before) = (Instant::now(), processor_time()?);
    while start.elapsed() < Duration::from_secs(seconds) {
        let step = start.elapsed().as_millis() as u64 / 100;
        exchanges.iter().for_each(|exchange| exchange.publish(Publication::InFlight(loads(step))));
        sleep(Duration::from_millis(100)).await;
    }
    let share = (processor_time()? - before).as_secs_f64() / start.elapsed().as_secs_f64();
    let sent: u64 = exchanges.iter().map(|exchange| exchange.counts().sent).sum();
    println!("{hosts} hosts: {:.3}% of a core each", 100.0 * share / hosts as f64);
    println!(
        "datagrams sent a second by each: {:.1}",
        sent as f64 / hosts as f64 / (seconds + 2) as f64
    );
    println!("memory of the process: {memory_before} kB before, {} kB with all hosts", memory()?);
    let from = exchanges[0].member().address;
    let (before, start) = (processor_time()?, Instant::now());
    for _ in 0..calls {
        exchanges[hosts as usize - 1]
            .fetch_declaration(from, 0)
            .await?
            .ok_or("the host has no declaration")?;
    }
    let (busy, took) = (processor_time()? - before, start.elapsed());
    let each = 1.0 / calls as f64;
    println!(
        "a call: {:.3} ms of processor time for both sides, {:.3} ms until answered; {} kB after",
        busy.as_secs_f64() * 1e3 * each,
        took.as_secs_f64() * 1e3 * each,
        memory()?
    );
    Ok(())
}

fn loads(step: u64) -> Vec<Load> {
    let load = |server| Load {
        server: format!("i-{server:08x}").into(),
        model: Some(format!("model-{server:05}").into()),
        requests: ((step + server) % 7) as u32 + 1,
        tokens: (step * 311 + server * 97) % 4_000,
    };
    (0..SERVERS).map(load).collect()
}

fn declaration() -> Declaration {
    let route = |n: usize| Route {
        name: format!("route-{n}").into(),
        host: "stage.example".into(),
        prefix: format!("/r{n}/").into(),
        kind: Kind::Idempotent,
        resumable: false,
        sticky: false,
        timeout: Duration::from_secs(2),
        goal: Duration::from_millis(300),
        gap: None,
        silence: None,
        attempts: 3,
        priority: 1,
        split: vec![Share { service: format!("service-{n}").into(), weight: 1 }],
        public: false,
    };
    Declaration { version: 1, routes: (0..ROUTES).map(route).collect(), ..Declaration::default() }
}

/// Returns the resident memory of the process, in kB.
fn memory() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).ok_or("no VmRSS")?;
    Ok(line.split_whitespace().nth(1).ok_or("VmRSS has no value")?.parse()?)
}

/// Returns the processor time of this thread, on which all hosts run.
fn processor_time() -> Result<Duration, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    Ok(Duration::from_nanos(text.split_whitespace().next().ok_or("schedstat is empty")?.parse()?))
}
