//! Streams at a sound server that is silent for a moment, while the only other server fails them.
//!
//! The tests guard against hosts that end a stream although its first server could still send the
//! rest of it in time.

use std::time::Duration;

use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};
use standin::routed::{
    caller::RequestSpec,
    host::Host,
    server::{Fault, Script, Server, Settings},
    server_links::Cut,
    site::{Backend, Site},
    store::{Faults, Refusal},
    until,
};
use tokio::time::{sleep, timeout};
use types::routed::Declaration;

use crate::site::{declaration, draft, engine, new_site, status_of};

const SERVERS: [&str; 2] = ["lm-1", "lm-2"];

const EVENTS: u64 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the sound server is silent.
const PAUSE: Duration = Duration::from_millis(1_200);

/// Silence after which hosts ask the other server also for a stream that has begun.
const LONG_PAUSE: Duration = Duration::from_secs(2);

/// Time for the complete stream.
const DEADLINE: Duration = Duration::from_secs(10);

/// Time after the start of a stream at which its server has sent three events.
const THREE_EVENTS: Duration = Duration::from_millis(250);

/// When a silence begins.
#[derive(Clone, Copy, Debug)]
enum Begins {
    /// Before the first event.
    BeforeTheHead,
    /// Before the first event, at a server that takes longer for the head of each of its answers than
    /// hosts wait before they ask another one.
    BeforeASlowHead,
    /// After the third event.
    Midway,
    /// After the third event, for [`LONG_PAUSE`].
    MidwayForLong,
}

/// What the other server does with every request.
#[derive(Clone, Copy, Debug)]
enum Other {
    /// Rejects it after 300 ms.
    RejectsLate,
    /// Sends the head of an answer and nothing else.
    SendsHeadOnly,
    /// Sends two events and breaks off.
    BreaksOff,
    /// Sends two events and breaks off, later than hosts keep the attempt at the first server.
    BreaksOffLate,
    /// Sends six events in more time than hosts use servers without news from the store, and breaks
    /// off.
    BreaksOffOutdated,
}

impl Other {
    fn script(self) -> Script {
        let (fault, interval) = match self {
            Other::RejectsLate => {
                let after = Duration::from_millis(300);
                let status = StatusCode::SERVICE_UNAVAILABLE;
                (Fault::NotRunLate { status, after }, EVENT_INTERVAL)
            }
            Other::SendsHeadOnly => (Fault::Stalled { events: 0 }, EVENT_INTERVAL),
            Other::BreaksOff => (Fault::Broken { events: 2 }, EVENT_INTERVAL),
            Other::BreaksOffLate => (Fault::Broken { events: 2 }, EVENT_INTERVAL * 2),
            Other::BreaksOffOutdated => (Fault::Broken { events: 6 }, EVENT_INTERVAL * 4),
        };
        Script {
            events: EVENTS,
            event_interval: interval,
            default_fault: Some(fault),
            ..Script::default()
        }
    }
}

/// How the host reaches the servers.
#[derive(Clone, Copy, Debug)]
enum Way {
    Direct,
    /// Through the other host.
    Relayed,
}

/// The declaration with two attempts for each request.
fn declared(begins: Begins) -> Declaration {
    let mut declared = declaration();
    for route in &mut declared.routes {
        route.attempts = 2;
        route.goal = match begins {
            Begins::BeforeTheHead | Begins::BeforeASlowHead => Duration::from_millis(300),
            Begins::Midway | Begins::MidwayForLong => Duration::from_secs(1),
        };
    }
    declared
}

/// Starts hosts with a change of their settings, each of which reaches each server through a link
/// that can fail.
async fn start(hosts: usize, declared: &Declaration, change: impl Fn(&mut Value)) -> Site {
    let mut backend = Backend::start(Vec::new()).await.expect("the store starts");
    backend.link_servers(hosts);
    for id in SERVERS {
        let server = Settings::model(id, "lm", &engine(), &["welcome"]);
        backend.add(server).await.expect("the server starts");
    }
    backend.declare(declared);
    let mut site = new_site(backend, |_| {});
    for _ in 0..hosts {
        site.add(&change).await.expect("the host starts");
    }
    site.wait_until_ready().await;
    site
}

async fn start_for(way: Way, begins: Begins) -> Site {
    match way {
        Way::Direct => start(1, &declared(begins), |_| {}).await,
        Way::Relayed => {
            let site = start(2, &declared(begins), |_| {}).await;
            site.backend.server_links().cut(0, Cut::Refuse);
            until("the host serves through the other one", async || {
                status_of(&site.hosts[0], &draft().with_new_prompt()).await == Some(StatusCode::OK)
            })
            .await;
            site
        }
    }
}

/// The lines of a host's log about a request, one a line.
fn log_of(host: &Host, request: &RequestSpec) -> String {
    let lines = host.log().into_iter().map(|line| line["message"].to_string());
    lines.filter(|line| line.contains(&*request.id())).collect::<Vec<_>>().join("\n")
}

/// Sends a stream to the first host, and asserts that all of it arrives although its server is
/// silent for a while and the other one fails it.
async fn assert_complete(site: &Site, begins: Begins, other: Other) {
    assert_complete_beside(site, begins, other, async || {}).await;
}

/// [`assert_complete`] with something that happens once the other server has the request. Returns
/// the log of the first host about it.
async fn assert_complete_beside(
    site: &Site,
    begins: Begins,
    other: Other,
    event: impl AsyncFn(),
) -> String {
    let servers = SERVERS.map(|id| site.backend.server(id));
    let work_time = match begins {
        Begins::BeforeTheHead | Begins::BeforeASlowHead => Duration::from_millis(900),
        Begins::Midway | Begins::MidwayForLong => Duration::from_millis(2),
    };
    let pause = match begins {
        Begins::BeforeTheHead | Begins::BeforeASlowHead | Begins::Midway => PAUSE,
        Begins::MidwayForLong => LONG_PAUSE,
    };
    for server in servers {
        server.script(|script| {
            let event_interval = EVENT_INTERVAL;
            *script = Script { work_time, events: EVENTS, event_interval, ..Script::default() };
        });
    }
    let request = draft().with_new_prompt().deadline(Some(DEADLINE));
    let has_arrived =
        |server: &Server| server.arrivals().iter().any(|arrival| arrival.id == request.id());
    let links = site.backend.server_links();
    let silence = async {
        until("a server has the request", async || servers.iter().any(|it| has_arrived(it))).await;
        let [sound, failing] = match has_arrived(servers[0]) {
            true => servers,
            false => [servers[1], servers[0]],
        };
        failing.script(|script| *script = other.script());
        if let Begins::Midway | Begins::MidwayForLong = begins {
            sleep(THREE_EVENTS).await;
        }
        links.pause(sound.address());
        let resuming = async {
            sleep(pause).await;
            if let Begins::BeforeTheHead = begins {
                sound.script(|script| script.work_time = Duration::from_millis(2));
            }
            links.resume(sound.address());
        };
        let asking = async {
            let asked = until("the other server has the request", async || has_arrived(failing));
            // A host may also wait for the end of the silence.
            if timeout(pause, asked).await.is_ok() {
                event().await;
            }
        };
        tokio::join!(resuming, asking);
        failing
    };
    let mut caller = site.hosts[0].caller();
    let (answer, failing) = tokio::join!(caller.fetch(&request), silence);
    // The log has the end of the request only a moment after it.
    sleep(EVENT_INTERVAL).await;
    let log = log_of(&site.hosts[0], &request);
    let answer = answer.unwrap_or_else(|error| panic!("no answer: {error:?}\n{log}"));
    let (status, events) = (answer.status, answer.events());
    assert_eq!(status, StatusCode::OK, "{log}");
    assert!(answer.is_complete, "cut after {events:?}\n{log}");
    assert_eq!(events, (1..=EVENTS).collect::<Vec<_>>(), "{log}");
    // Silences of streams that have begun may end before another server is asked.
    if !matches!(begins, Begins::Midway) {
        assert!(has_arrived(failing), "the other server was not asked\n{log}");
    }
    log
}

#[rstest]
#[tokio::test]
async fn a_stream_is_not_cut_by_another_server_that_rejects_late(
    #[values(
        Begins::BeforeTheHead,
        Begins::BeforeASlowHead,
        Begins::Midway,
        Begins::MidwayForLong
    )]
    begins: Begins,
    #[values(Way::Direct, Way::Relayed)] way: Way,
) {
    let site = start_for(way, begins).await;
    assert_complete(&site, begins, Other::RejectsLate).await;
}

#[rstest]
#[tokio::test]
async fn a_stream_is_not_cut_by_another_server_that_sends_only_a_head(
    #[values(
        Begins::BeforeTheHead,
        Begins::BeforeASlowHead,
        Begins::Midway,
        Begins::MidwayForLong
    )]
    begins: Begins,
) {
    let site = start_for(Way::Direct, begins).await;
    assert_complete(&site, begins, Other::SendsHeadOnly).await;
}

#[rstest]
#[tokio::test]
async fn a_stream_is_not_cut_by_another_server_that_breaks_off(
    #[values(
        Begins::BeforeTheHead,
        Begins::BeforeASlowHead,
        Begins::Midway,
        Begins::MidwayForLong
    )]
    begins: Begins,
    #[values(Other::BreaksOff, Other::BreaksOffLate)] other: Other,
    #[values(Way::Direct, Way::Relayed)] way: Way,
) {
    let site = start_for(way, begins).await;
    assert_complete(&site, begins, other).await;
}

/// The store does not answer the host, and the host that claims to reach the store is frozen.
#[rstest]
#[tokio::test]
async fn a_stream_is_not_cut_by_a_host_with_outdated_knowledge(
    #[values(Begins::BeforeTheHead, Begins::BeforeASlowHead, Begins::MidwayForLong)] begins: Begins,
) {
    // Time for which hosts hold the store for degraded after a failure.
    const DEGRADED_TIME: Duration = Duration::from_secs(8);
    // Ends after the other server has broken off, and before the frozen host counts as silent.
    const SILENCE: Duration = Duration::from_secs(4);
    let site = start(2, &declared(begins), |_| {}).await;
    // Until the host knows that the other one reaches the store.
    sleep(DEGRADED_TIME).await;
    let (host, frozen) = (&site.hosts[0], &site.hosts[1]);
    let store_silence = async || {
        frozen.signal(Signal::SIGSTOP);
        site.backend.store.set_faults(&host.name, |faults| {
            faults.refusal = Some(Refusal::Silence);
        });
        sleep(SILENCE).await;
        site.backend.store.set_faults(&host.name, |faults| *faults = Faults::default());
        frozen.signal(Signal::SIGCONT);
    };
    let other = Other::BreaksOffOutdated;
    let log = assert_complete_beside(&site, begins, other, store_silence).await;
    assert!(log.contains("outdated"), "the host's knowledge was not outdated\n{log}");
}

/// The hedge spends the budget, which refills a window later.
#[rstest]
#[tokio::test]
async fn a_stream_is_not_cut_for_want_of_retry_budget(
    #[values(Begins::BeforeTheHead, Begins::BeforeASlowHead, Begins::MidwayForLong)] begins: Begins,
) {
    // The number of hosts that a host assumes for its first 20 s.
    const ASSUMED_HOSTS: u32 = 8;
    // Hosts use 0.8 of it: one retry in each window, for streams that have begun and others.
    let extra = 2 * ASSUMED_HOSTS;
    let retry = json!({"ratio": 0.0, "extra": extra, "window_s": 2});
    let change = |settings: &mut Value| settings["routed"]["retry"] = retry.clone();
    let site = start(1, &declared(begins), change).await;
    assert_complete(&site, begins, Other::BreaksOffLate).await;
}
