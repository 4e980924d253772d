//! Hosts that don't run for a while, beside sound servers.
//!
//! The tests guard against a host that judges its servers by its own absence: what they sent lies
//! unread in its sockets when it goes on, and all timers that fell due meanwhile complete at once.

use std::time::Duration;

use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use standin::routed::{
    caller::{Answer, RequestSpec},
    server::{Fault, Script, Server},
    site::Site,
    until,
};
use tokio::{task::JoinSet, time::sleep};

use crate::site::{chat, declaration, draft, linked_site_with, page};

const GOAL: Duration = Duration::from_millis(300);

/// Silence of a server after which a request with [`GOAL`] goes to another server as well.
const MAX_SILENCE: Duration = Duration::from_millis(600);

/// Silence of a server in the middle of a stream after which the stream goes to another server as
/// well.
const MAX_STREAM_PAUSE: Duration = Duration::from_millis(800);

const EVENTS: u64 = 6;

/// More requests than two servers have places for.
const REQUESTS: usize = 60;

/// Time after a caller has left within which nothing may be at work on its request.
const CLOSE_TIME: Duration = Duration::from_millis(500);

const REJECTION: Option<Fault> = Some(Fault::NotRun(StatusCode::SERVICE_UNAVAILABLE));

/// What a host misses while it is stopped.
#[derive(Clone, Copy)]
enum Missed {
    Head,
    Events,
}

async fn stalling_site() -> Site {
    let mut declared = declaration();
    for route in &mut declared.routes {
        (route.goal, route.attempts) = (GOAL, 2);
    }
    linked_site_with(1, &declared).await
}

/// Waits until one of two servers runs a request, and returns it and then the other one.
async fn until_run(servers: [&Server; 2]) -> (&Server, &Server) {
    until("a server runs the request", async || {
        servers.iter().any(|server| !server.runs().is_empty())
    })
    .await;
    let [first, second] = servers;
    if first.runs().is_empty() { (second, first) } else { (first, second) }
}

async fn stop_host(site: &Site, time: Duration) {
    site.hosts[0].signal(Signal::SIGSTOP);
    sleep(time).await;
    site.hosts[0].signal(Signal::SIGCONT);
}

fn assert_whole(answer: &Answer, spec: &RequestSpec) {
    assert_eq!(answer.status, StatusCode::OK, "{spec:?}");
    assert!(answer.is_complete, "the answer is cut");
}

#[rstest]
#[case::head_of_a_resumable_stream(draft(), ["lm-1", "lm-2"], Missed::Head)]
#[case::events_of_a_resumable_stream(draft(), ["lm-1", "lm-2"], Missed::Events)]
#[case::head_of_a_stream(chat(), ["lm-1", "lm-2"], Missed::Head)]
#[case::events_of_a_stream(chat(), ["lm-1", "lm-2"], Missed::Events)]
#[case::plain(page(), ["app-1", "app-2"], Missed::Head)]
#[tokio::test]
async fn a_request_stays_with_a_server_that_sent_while_the_host_was_stopped(
    #[case] spec: RequestSpec,
    #[case] servers: [&str; 2],
    #[case] missed: Missed,
    #[values(100, 300, 600, 900)] stall_ms: u64,
) {
    let site = stalling_site().await;
    let servers = servers.map(|id| site.backend.server(id));
    let stall = Duration::from_millis(stall_ms);
    // The host goes on after the time at which it would have given its verdict.
    let stop_at = MAX_SILENCE - (stall * 3 / 4).min(Duration::from_millis(200));
    for server in servers {
        server.script(|script| {
            let work_time = match missed {
                Missed::Head => stop_at + stall / 4,
                Missed::Events => Duration::from_millis(2),
            };
            let event_interval = Duration::from_millis(100);
            *script = Script { work_time, events: EVENTS, event_interval, ..Script::default() };
        });
    }
    let mut caller = site.hosts[0].caller();
    let stalling = async {
        let (server, other) = until_run(servers).await;
        other.script(|script| script.default_fault = REJECTION);
        match missed {
            Missed::Head => sleep(stop_at).await,
            Missed::Events => sleep(Duration::from_millis(150)).await,
        }
        stop_host(&site, stall).await;
        (server, other)
    };
    let request = spec.deadline(Some(Duration::from_secs(10)));
    let (answer, (server, other)) = tokio::join!(caller.fetch(&request), stalling);
    assert_whole(&answer.expect("an answer"), &request);
    assert_eq!(server.runs().len(), 1);
    assert_eq!(other.arrivals().len(), 0, "the request was sent to another server as well");
}

/// A stream was taken from its server because the other one's rejection lay unread. With no stop at
/// all the rejection is read in time.
#[rstest]
#[tokio::test]
async fn a_stream_stays_with_its_server_if_the_other_rejects_it_while_the_host_is_stopped(
    #[values(0, 100, 300, 600, 900)] stall_ms: u64,
    #[values(Missed::Head, Missed::Events)] missed: Missed,
) {
    let site = stalling_site().await;
    let servers = ["lm-1", "lm-2"].map(|id| site.backend.server(id));
    let stall = Duration::from_millis(stall_ms);
    let (work_time, silent_from, hedged_after) = match missed {
        Missed::Head => (MAX_SILENCE + Duration::from_millis(600), Duration::ZERO, MAX_SILENCE),
        Missed::Events => (Duration::from_millis(2), Duration::from_millis(250), MAX_STREAM_PAUSE),
    };
    for server in servers {
        server.script(|script| {
            let event_interval = Duration::from_millis(100);
            *script = Script { work_time, events: EVENTS, event_interval, ..Script::default() };
        });
    }
    let links = site.backend.server_links();
    let mut caller = site.hosts[0].caller();
    let stalling = async {
        let (server, other) = until_run(servers).await;
        other.script(|script| script.default_fault = REJECTION);
        links.pause(other.address());
        sleep(silent_from).await;
        links.pause(server.address());
        sleep(hedged_after + Duration::from_millis(150)).await;
        let resume_other = async {
            sleep(stall / 4).await;
            links.resume(other.address());
        };
        tokio::join!(stop_host(&site, stall), resume_other);
        sleep(Duration::from_millis(300)).await;
        links.resume(server.address());
        (server, other)
    };
    let request = draft().deadline(Some(Duration::from_secs(4)));
    let (answer, (server, other)) = tokio::join!(caller.fetch(&request), stalling);
    let answer = answer.expect("an answer");
    assert!(!other.arrivals().is_empty(), "the other server was not asked");
    assert_whole(&answer, &request);
    assert_eq!(answer.events(), (1..=EVENTS).collect::<Vec<_>>());
    assert_eq!(server.runs().len(), 1);
}

/// Requests of callers that have left went on, or were sent to servers, after their host had not
/// run. Some are at servers and the others wait for a place there.
#[rstest]
#[tokio::test]
async fn requests_end_whose_callers_left_while_the_host_was_stopped(
    #[values(100, 300, 600, 900)] stall_ms: u64,
) {
    let mut declared = declaration();
    declared.routes.iter_mut().for_each(|route| route.goal = Duration::from_secs(8));
    let site = linked_site_with(1, &declared).await;
    let servers = ["lm-1", "lm-2"].map(|id| site.backend.server(id));
    let work_time = Duration::from_secs(3);
    servers.iter().for_each(|server| server.script(|script| script.work_time = work_time));
    let mut sending = JoinSet::new();
    for _ in 0..REQUESTS {
        let mut caller = site.hosts[0].caller();
        let spec = chat().with_new_prompt().deadline(Some(Duration::from_secs(9)));
        sending.spawn(async move { caller.fetch(&spec).await });
    }
    let runs = || servers.iter().flat_map(|server| server.runs()).collect::<Vec<_>>();
    let arrivals = || servers.iter().map(|server| server.arrivals().len()).sum::<usize>();
    sleep(Duration::from_secs(1)).await;
    assert!(!runs().is_empty(), "no request runs");
    assert_eq!(sending.len(), REQUESTS);
    assert!(sending.try_join_next().is_none(), "a request was answered");
    assert!(arrivals() < REQUESTS, "no request waits at the host");
    let leaving = async {
        sleep(Duration::from_millis(stall_ms / 2)).await;
        sending.shutdown().await;
    };
    tokio::join!(stop_host(&site, Duration::from_millis(stall_ms)), leaving);
    let before = arrivals();
    sleep(CLOSE_TIME).await;
    let running = runs().iter().filter(|run| run.ended_at.is_none()).count();
    assert_eq!(running, 0, "runs go on after their callers have left");
    assert_eq!(arrivals(), before, "a request was sent after its caller had left");
}
