//! BUDGET: a request that crashes its servers, beside sound requests that differ in the query only.

use std::time::Duration;

use http::StatusCode;
use review_rig::{
    HOST, Record, declaration, engine, finish, has_trouble, millis, start_hosts, ticket,
};
use standin::routed::{
    caller::RequestSpec,
    server::Settings,
    site::{Backend, Site},
};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

/// `contact-ms` of the settings.
const CONTACT: Duration = Duration::from_secs(3);
/// Retries that the rule allows after that.
const RETRIES: usize = 3;
/// Time after which the entry of a crashed server is removed: three liveness report intervals.
const ENTRY_LIFE: Duration = Duration::from_millis(3600);
/// Time after which a server is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
const SERVERS: usize = 8;
/// Time after which the script gives up.
const LIMIT: Duration = Duration::from_secs(112);
/// The query of the request that crashes servers.
const POISON: &str = "room=13";

fn crashes(site: &Site) -> Vec<(Instant, String, String)> {
    let mut all = Vec::new();
    for server in &site.backend.servers {
        for run in server.runs().iter().filter(|run| run.path.contains(POISON)) {
            let id = run.request.id.as_deref().unwrap_or("-").to_owned();
            all.push((run.started_at, server.id().to_string(), id));
        }
    }
    all.sort();
    all
}

#[tokio::main]
async fn main() {
    let record = Record::create();
    let broken = timeout(LIMIT, run(&record)).await;
    finish(&record, broken.ok());
}

async fn run(record: &Record) -> Vec<String> {
    // With SOUND=/pages/other the sound requests have another path.
    let sound = std::env::var("SOUND").unwrap_or_else(|_| "/pages/guest".into());
    let servers = (1..=SERVERS).map(|number| Settings::plain(&format!("app-{number}"), "app"));
    let backend = Backend::start(servers.collect()).await.expect("the servers start");
    backend.script(|script| script.work_time = Duration::from_millis(40));
    backend.declare(&declaration(engine(2)));
    let mut site = start_hosts(backend, 4).await;
    let (told, mut answers) = mpsc::unbounded_channel();
    for host in &site.hosts {
        let (mut caller, sound) = (host.caller(), sound.clone());
        tokio::spawn(async move {
            for number in 0.. {
                let spec = RequestSpec::to(HOST, &format!("{sound}?room={}", 20 + number % 50));
                let spec = spec.deadline(Some(Duration::from_secs(2)));
                let _ = timeout(Duration::from_secs(3), caller.fetch(&spec)).await;
                sleep(Duration::from_millis(60)).await;
            }
        });
        for _ in 0..4 {
            let (mut caller, told) = (host.caller(), told.clone());
            tokio::spawn(async move {
                loop {
                    let spec = ticket().deadline(Some(Duration::from_secs(2)));
                    let answer = timeout(Duration::from_secs(3), caller.fetch(&spec)).await;
                    let status = answer.ok().and_then(Result::ok).map(|answer| answer.status);
                    let _ = told.send((spec.id(), status));
                    sleep(Duration::from_millis(30)).await;
                }
            });
        }
    }
    sleep(Duration::from_secs(3)).await;
    let began = Instant::now();
    let lasts = millis("LASTS", 60_000);
    let (mut next_poison, mut sent) = (began, 0);
    let mut down: Vec<(Instant, String)> = Vec::new();
    let mut listed: Vec<(Instant, String)> = Vec::new();
    let mut started = SERVERS;
    while began.elapsed() < lasts {
        if has_trouble() && next_poison <= Instant::now() {
            let mut caller = site.hosts[sent % site.hosts.len()].caller();
            let spec = RequestSpec::to(HOST, &format!("/pages/guest?{POISON}"));
            let spec = spec.deadline(Some(Duration::from_secs(2)));
            record.line(format!("sent {} to host-{}", spec.id(), sent % site.hosts.len()));
            tokio::spawn(async move {
                let _ = timeout(Duration::from_secs(3), caller.fetch(&spec)).await;
            });
            sent += 1;
            next_poison += Duration::from_secs(1);
        }
        for server in site.backend.servers.iter().filter(|server| server.crashed_at().is_none()) {
            if server.runs().iter().any(|run| run.path.contains(POISON)) {
                server.kill();
                record.line(format!("{} began to run the request and crashed", server.id()));
                down.push((Instant::now(), server.id().to_string()));
                listed.push((Instant::now(), server.id().to_string()));
            }
        }
        while let Some((at, _)) = down.first()
            && *at + BACK_AFTER <= Instant::now()
        {
            down.remove(0);
            started += 1;
            let settings = Settings::plain(&format!("app-{started}"), "app");
            let work = Duration::from_millis(40);
            let added = site.backend.add_with_script(settings, |script| script.work_time = work);
            added.await.expect("the server starts");
            record.line(format!("app-{started} has started"));
        }
        while let Some((at, id)) = listed.first().cloned()
            && at + ENTRY_LIFE <= Instant::now()
        {
            listed.remove(0);
            site.backend.deregister(&id);
        }
        sleep(Duration::from_millis(4)).await;
    }
    // What becomes of a sound request for the same path.
    for host in &site.hosts {
        let spec = RequestSpec::to(HOST, "/pages/guest?room=99").deadline(Some(CONTACT));
        let answer = host.caller().fetch(&spec).await;
        let status = answer.map(|answer| answer.status.as_u16());
        record.line(format!("{}: a request for another room is answered {status:?}", host.name));
    }
    let mut broken = Vec::new();
    let all = crashes(&site);
    record.line(format!("{sent} attempts of the request; it began to run {} times", all.len()));
    let mut tickets = (0, 0, 0);
    while let Ok((id, status)) = answers.try_recv() {
        tickets.0 += 1;
        if status != Some(StatusCode::OK) {
            tickets.1 += 1;
            tickets.2 += usize::from(site.backend.runs_of(&id) != 0);
        }
    }
    record.line(format!(
        "{} tickets, {} without success, {} of these had begun to run",
        tickets.0, tickets.1, tickets.2
    ));
    if let Some((third, ..)) = all.get(2) {
        let late: Vec<_> = all.iter().filter(|(at, ..)| *third + CONTACT < *at).collect();
        record.line(format!("third crash at {:.3} s", record.seconds(*third)));
        record.line(format!("{} arrivals later than {CONTACT:?} after it", late.len()));
        if RETRIES < late.len() {
            let (at, server, id) = late[RETRIES];
            broken.push(format!(
                "the request reached servers {} times later than 3 s after its third crash; the \
                 fourth was {id} at {server}, at {:.3} s",
                late.len(),
                record.seconds(*at),
            ));
        }
    }
    broken
}
