//! BUDGET: a part of prompts that crashes every server of the version that a release brings.

use std::time::Duration;

use review_rig::{Record, declaration, draft, engine, finish, has_trouble, start_hosts};
use standin::routed::{
    caller::RequestSpec,
    server::{Ending, Settings},
    site::{Backend, Site},
};
use tokio::time::{Instant, sleep, timeout};
use types::routed::Engine;

/// `contact-ms` of the settings.
const CONTACT: Duration = Duration::from_secs(3);
/// Crashes after which the rule counts, and requests that it allows then.
const CRASHES: usize = 5;
const ALLOWED: usize = 3;
const SERVERS: usize = 8;
const RELEASE_GAP: Duration = Duration::from_secs(1);
/// Time from the notice that a server drains to its end.
const DRAIN: Duration = Duration::from_secs(2);
/// Id of the part.
const PART: u64 = 0xbad;
/// Time after which the script gives up.
const LIMIT: Duration = Duration::from_secs(112);

/// A prompt of the shared part, a part of its own kind, and one of its own.
fn with_part(number: u64) -> RequestSpec {
    let mut spec = draft("welcome").with_new_prompt();
    let mut shared = spec.info.prompt[0].clone();
    let mut kind = shared.clone();
    (shared.id, shared.tokens) = (PART, 40);
    (kind.id, kind.tokens) = (0x100 + number % 7, 30);
    spec.info.prompt.insert(0, kind);
    spec.info.prompt.insert(0, shared);
    spec.info.prompt[2].tokens = 30;
    spec.deadline(Some(Duration::from_secs(2)))
}

/// A prompt without the part.
fn sound(number: u64) -> RequestSpec {
    let mut spec = with_part(number);
    spec.info.prompt[0].id = 0x900d;
    spec
}

fn settings(number: usize, engine: &Engine, software: &str) -> Settings {
    let model = Settings::model(&format!("lm-{number}"), "lm", engine, &["welcome", "desk"]);
    Settings { software: software.into(), ..model }
}

/// Starts a server of the new version. With the trouble, it crashes when it begins to answer on the part.
async fn add(site: &mut Site, number: usize, engine: &Engine) {
    let added = site.backend.add_with_script(settings(number, engine, "v2"), |script| {
        script.poison_part = has_trouble().then_some(PART);
    });
    added.await.expect("the server starts");
}

#[tokio::main]
async fn main() {
    let record = Record::create();
    let broken = timeout(LIMIT, run(&record)).await;
    finish(&record, broken.ok());
}

async fn run(record: &Record) -> Vec<String> {
    let engine = engine(2);
    let servers = (1..=SERVERS).map(|number| settings(number, &engine, "v1"));
    let backend = Backend::start(servers.collect()).await.expect("the servers start");
    backend.declare(&declaration(engine.clone()));
    let mut site = start_hosts(backend, 4).await;
    for host in &site.hosts {
        let mut caller = host.caller();
        tokio::spawn(async move {
            for number in 0.. {
                let _ = timeout(Duration::from_secs(3), caller.fetch(&sound(number))).await;
                sleep(Duration::from_millis(50)).await;
            }
        });
    }
    let began = Instant::now();
    // Two releases, each of half of the servers, one server at a time.
    let mut releases: Vec<(Instant, String)> = (0..SERVERS as u32)
        .map(|turn| {
            let at = Duration::from_secs(6) + RELEASE_GAP * turn;
            (began + at, format!("lm-{}", turn + 1))
        })
        .collect();
    let mut leaving: Vec<(Instant, String)> = Vec::new();
    let mut ended: Vec<String> = Vec::new();
    let mut released = None;
    let (mut sent, mut started) = (0_u64, SERVERS);
    let mut crashed: Vec<(Instant, String)> = Vec::new();
    let (mut back, mut gone): (Vec<Instant>, Vec<(Instant, String)>) = (Vec::new(), Vec::new());
    let mut next = began + Duration::from_secs(2);
    while began.elapsed() < Duration::from_secs(45) {
        while releases.first().is_some_and(|(at, _)| *at <= Instant::now()) {
            let (_, old) = releases.remove(0);
            started += 1;
            add(&mut site, started, &engine).await;
            site.backend.server(&old).drain(None);
            record.line(format!("lm-{started} has started as v2, {old} is draining"));
            leaving.push((Instant::now() + DRAIN, old));
        }
        while leaving.first().is_some_and(|(at, _)| *at <= Instant::now()) {
            let (_, old) = leaving.remove(0);
            ended.push(old.clone());
            site.backend.deregister(&old);
            site.backend.server(&old).kill();
            record.line(format!("{old} has ended"));
            if leaving.is_empty() && releases.is_empty() {
                released = Some(Instant::now());
                record.line("all servers are v2");
            }
        }
        if next <= Instant::now() {
            let index = sent as usize % site.hosts.len();
            let (mut caller, spec) = (site.hosts[index].caller(), with_part(sent));
            record.line(format!("sent {} with the part to host-{index}", spec.id()));
            tokio::spawn(async move {
                let _ = timeout(Duration::from_secs(3), caller.fetch(&spec)).await;
            });
            sent += 1;
            next += Duration::from_millis(500);
        }
        for server in &site.backend.servers {
            let id = server.id().to_string();
            if let Some(at) = server.crashed_at()
                && !crashed.iter().any(|(_, known)| *known == id)
                && !ended.contains(&id)
            {
                record.line(format!("{id} has crashed"));
                crashed.push((at, id.clone()));
                back.push(at + Duration::from_secs(3));
                gone.push((at + Duration::from_millis(3600), id));
            }
        }
        while back.first().is_some_and(|at| *at <= Instant::now()) {
            back.remove(0);
            started += 1;
            add(&mut site, started, &engine).await;
            record.line(format!("lm-{started} has started"));
        }
        while gone.first().is_some_and(|(at, _)| *at <= Instant::now()) {
            let (_, id) = gone.remove(0);
            site.backend.deregister(&id);
        }
        sleep(Duration::from_millis(10)).await;
    }
    let mut ends: Vec<(Instant, String)> = Vec::new();
    for server in &site.backend.servers {
        let runs = server.runs();
        let with_part = runs.iter().filter(|run| {
            run.request.prompt.iter().any(|part| part.id == PART)
                && run.ending == Some(Ending::Crashed)
        });
        ends.extend(with_part.map(|run| {
            let id = run.request.id.as_deref().unwrap_or("-");
            (run.arrived_at, format!("{id} at {}", server.id()))
        }));
    }
    ends.sort();
    record.line(format!("{} servers have crashed, {sent} requests with the part", crashed.len()));
    let mut broken = Vec::new();
    // Counted are the crashes since no server of the old version is left.
    let since = released.expect("the releases end");
    let counted: Vec<_> = crashed.iter().filter(|(at, _)| since < *at).collect();
    if let Some((fifth, _)) = counted.get(CRASHES - 1) {
        let late: Vec<_> = ends.iter().filter(|(at, _)| *fifth + CONTACT < *at).collect();
        record.line(format!(
            "fifth crash at {:.3} s, {} arrivals later than 3 s after it",
            record.seconds(*fifth),
            late.len()
        ));
        if ALLOWED < late.len() {
            let (at, what) = late[ALLOWED];
            broken.push(format!(
                "{} requests with the part reached servers later than 3 s after the fifth crash; \
                 the fourth was {what}, at {:.3} s",
                late.len(),
                record.seconds(*at),
            ));
        }
    }
    broken
}
