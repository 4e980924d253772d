//! ORDER: servers that start again under their ids with another version while the store is away.

use std::time::Duration;

use http::StatusCode;
use review_rig::{Record, declaration, draft, engine, finish, has_trouble, start_hosts};
use standin::routed::{
    server::Settings,
    site::{Backend, Site},
    store::Refusal,
    stream::Event,
};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use types::routed::Engine;

const SERVERS: usize = 8;
/// How long the store is down.
const OUTAGE: Duration = Duration::from_millis(4500);
const HOSTS: usize = 4;
/// Streams of each host.
const STREAMS: usize = 24;
/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;
/// Time after which the script gives up.
const LIMIT: Duration = Duration::from_secs(112);

fn settings(number: usize, engine: &Engine, software: &str, started_at: u64) -> Settings {
    Settings {
        software: software.into(),
        started_at,
        ..Settings::model(&format!("lm-{number}"), "lm", engine, &["welcome", "desk"])
    }
}

fn slow_streams(site: &Site) {
    site.backend.script(|script| {
        (script.events, script.event_interval) = (60, Duration::from_millis(100));
    });
}

#[tokio::main]
async fn main() {
    let record = Record::create();
    let broken = timeout(LIMIT, run(&record)).await;
    finish(&record, broken.ok());
}

async fn run(record: &Record) -> Vec<String> {
    let mut engine = engine(2);
    engine.slots = 16;
    let servers = (1..=SERVERS).map(|number| settings(number, &engine, "v1", 1_000));
    let backend = Backend::start(servers.collect()).await.expect("the servers start");
    backend.declare(&declaration(engine.clone()));
    let mut site = start_hosts(backend, HOSTS).await;
    slow_streams(&site);
    sleep(Duration::from_secs(3)).await;
    let began = Instant::now();
    if has_trouble() {
        site.backend.store.set_faults_everywhere(|faults| faults.refusal = Some(Refusal::Down));
        record.line("the store is down (503)");
    }
    let mut streams = Vec::new();
    for host in &site.hosts {
        for _ in 0..STREAMS {
            let (mut caller, spec) = (host.caller(), draft("welcome").with_new_prompt());
            let spec = spec.deadline(Some(Duration::from_secs(12)));
            let (id, host) = (spec.id(), host.name.clone());
            streams.push(tokio::spawn(async move { (id, host, caller.fetch(&spec).await) }));
            sleep(Duration::from_millis(8)).await;
        }
    }
    for number in 1..=SERVERS / 2 {
        sleep_until(began + Duration::from_millis(1000 + 400 * number as u64)).await;
        let again = settings(number, &engine, "v2", 2_000 + number as u64);
        site.backend.restart(again).await.expect("the server starts again");
        slow_streams(&site);
        record.line(format!("lm-{number} ends and starts again under its id, as v2"));
    }
    sleep_until(began + OUTAGE).await;
    if has_trouble() {
        site.backend.store.set_faults_everywhere(|faults| faults.refusal = None);
        record.line("the store is back");
    }
    let (mut joined, mut whole) = (Vec::new(), 0);
    for stream in streams {
        let (id, host, answer) = stream.await.expect("the caller ends");
        let Ok(answer) = answer else {
            record.line(format!("{id} at {host}: no answer"));
            continue;
        };
        whole += usize::from(answer.status == StatusCode::OK && answer.is_complete);
        let events: Vec<Event> = answer.stream().unwrap_or_default();
        let mut parts: Vec<(String, u64, u64)> = Vec::new();
        for event in &events {
            let writer = format!("{} {}", event.run, event.software);
            match parts.last_mut().filter(|(last, ..)| *last == writer) {
                Some((_, _, to)) => *to = event.number,
                None => parts.push((writer, event.number, event.number)),
            }
        }
        let line =
            format!("{id} at {host}: {} complete {}: {parts:?}", answer.status, answer.is_complete);
        record.line(&line);
        if events.iter().any(|event| event.software != events[0].software) {
            joined.push(line);
        }
    }
    record.line(format!("{whole} whole streams, {} of two versions", joined.len()));
    if ALLOWED < joined.len() { joined } else { Vec::new() }
}
