//! LOST: streams that are taken up again after all hosts were killed at once.

use std::time::Duration;

use http::StatusCode;
use review_rig::{Record, declaration, draft, engine, finish, has_trouble, servers, start_hosts};
use standin::routed::site::Backend;
use tokio::time::{Instant, sleep, sleep_until, timeout};

const HOSTS: usize = 4;
/// Streams of each host.
const STREAMS: usize = 4;
/// `contact-ms` of the settings.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which the processes are down.
const DOWN: Duration = Duration::from_millis(1600);
/// Streams taken up from which on the rule counts.
const LEAST: usize = 12;
/// Time after which the script gives up.
const LIMIT: Duration = Duration::from_secs(112);

#[tokio::main]
async fn main() {
    let record = Record::create();
    let broken = timeout(LIMIT, run(&record)).await;
    finish(&record, broken.ok());
}

async fn run(record: &Record) -> Vec<String> {
    let mut engine = engine(2);
    engine.slots = 32;
    let backend = Backend::start(servers(&engine)).await.expect("the servers start");
    backend.script(|script| {
        (script.events, script.event_interval) = (80, Duration::from_millis(100));
    });
    backend.declare(&declaration(engine.clone()));
    let mut site = start_hosts(backend, HOSTS).await;
    sleep(Duration::from_secs(4)).await;
    let spec = || draft("welcome").with_new_prompt().deadline(Some(Duration::from_secs(15)));
    let began = Instant::now();
    let mut streams = Vec::new();
    for host in &site.hosts {
        for _ in 0..STREAMS {
            let (mut caller, spec, name) = (host.caller(), spec(), host.name.clone());
            streams.push(tokio::spawn(async move {
                let read = async {
                    let open = caller.open(&spec).await.ok()?;
                    // Without the trouble, the caller's own connection breaks.
                    let answer = match has_trouble() {
                        true => open.finish().await.ok()?,
                        false => open.finish_at(20).await.ok()?,
                    };
                    caller.disconnect();
                    answer.events().last().copied()
                };
                let events = timeout(Duration::from_secs(9), read).await.ok().flatten();
                (spec.id(), name, events.unwrap_or_default())
            }));
        }
    }
    sleep_until(began + Duration::from_secs(2)).await;
    if has_trouble() {
        site.hosts.iter_mut().for_each(|host| host.kill());
        record.line("all hosts are killed at once");
        sleep(DOWN).await;
        for index in 0..HOSTS {
            site.restart(index).await.expect("the host starts again");
        }
        record.line("all hosts have started again");
    }
    site.wait_until_ready().await;
    sleep(CONTACT + Duration::from_millis(300)).await;
    record.line("all hosts are in touch");
    let (mut resumed, mut went_on) = (0, 0);
    let mut attempts = Vec::new();
    for (number, stream) in streams.into_iter().enumerate() {
        let (id, host, events) = stream.await.expect("the caller ends");
        let to = &site.hosts[(number + 1) % HOSTS];
        record.line(format!("{id} broke at {host} after event {events}; taken up at {}", to.name));
        let spec = spec().take_up(&id, events);
        let mut caller = to.caller();
        attempts.push(tokio::spawn(async move { caller.fetch(&spec).await }));
    }
    let mut new = Vec::new();
    for number in 0..HOSTS * STREAMS {
        let (mut caller, spec) = (site.hosts[number % HOSTS].caller(), spec());
        new.push(tokio::spawn(async move { caller.fetch(&spec).await }));
    }
    for attempt in attempts {
        let answer = attempt.await.expect("the caller ends");
        resumed += 1;
        let status = answer.as_ref().map(|answer| (answer.status, answer.events().len()));
        record.line(format!("taken up: {status:?}"));
        let goes_on = |answer: &standin::routed::caller::Answer| {
            answer.status == StatusCode::OK && !answer.events().is_empty()
        };
        went_on += usize::from(answer.as_ref().is_ok_and(goes_on));
    }
    let mut begun = 0;
    let all_new = new.len();
    for attempt in new {
        let answer = attempt.await.expect("the caller ends");
        begun += usize::from(answer.is_ok_and(|answer| !answer.events().is_empty()));
    }
    record.line(format!("{went_on} of {resumed} went on, {begun} of {all_new} new streams began"));
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    if LEAST <= resumed && share(went_on, resumed) < share(begun, all_new) / 2.0 {
        return vec![format!(
            "of {resumed} streams taken up at hosts in touch {went_on} went on, while {begun} of \
             {all_new} new ones began"
        )];
    }
    Vec::new()
}
