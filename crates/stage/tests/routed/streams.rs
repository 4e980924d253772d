//! Streams that break, stall, or are resumed at another server.

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    caller::{Answer, RequestSpec},
    server::{Ending, Fault, Run},
    site::Site,
    until,
};
use tokio::time::sleep;

use crate::site::{chat, declaration, draft, linked_site_with, site};

fn model_servers(site: &Site) -> impl Iterator<Item = &standin::routed::server::Server> {
    site.backend.servers.iter().filter(|server| server.id().starts_with("lm"))
}

fn runs(site: &Site) -> Vec<Run> {
    let mut runs: Vec<Run> = model_servers(site).flat_map(|server| server.runs()).collect();
    runs.sort_by_key(|run| run.started_at);
    runs
}

/// Whether streams end with their connections, without a length or chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Chunks,
    Close,
}

async fn site_with(end: StreamEnd) -> Site {
    let site = site(1).await;
    for server in model_servers(&site) {
        server.script(|script| script.is_unframed = end == StreamEnd::Close);
    }
    site
}

/// Makes the first stream at server `lm-1` fail, and sends requests until that server gets one.
/// Returns the answer to that request.
async fn ask_until_fault(site: &Site, fault: Fault, request: &RequestSpec) -> Answer {
    let server = site.backend.server("lm-1");
    server.script(|script| script.faults = [fault].into());
    loop {
        // A new prompt each time, as a host prefers the server that has a prompt's prefix cached.
        let answer = site.hosts[0].caller().fetch(&request.with_new_prompt()).await.unwrap();
        if !server.runs().is_empty() {
            return answer;
        }
    }
}

#[rstest]
#[case::before_the_first_event(Fault::Broken { events: 0 }, 0)]
#[case::in_the_middle(Fault::Broken { events: 2 }, 2)]
#[tokio::test]
async fn a_broken_stream_that_may_not_run_again_looks_broken(
    #[case] fault: Fault,
    #[case] events: u64,
    #[values(StreamEnd::Chunks, StreamEnd::Close)] end: StreamEnd,
) {
    let site = site_with(end).await;
    let answer = ask_until_fault(&site, fault, &chat()).await;
    // The head comes with the first event, and an error of the host before.
    let expected =
        if events == 0 { (StatusCode::BAD_GATEWAY, true) } else { (StatusCode::OK, false) };
    assert_eq!((answer.status, answer.is_complete), expected);
    assert_eq!(answer.events(), (1..=events).collect::<Vec<_>>());
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    assert!(events == 0 || text.ends_with("\n\n"), "the caller got a partial event: {text:?}");
    let runs = runs(&site);
    let id =
        runs.iter().find(|run| run.ending == Some(Ending::Corrupted)).unwrap().request.id.clone();
    assert_eq!(site.backend.runs_of(&id.unwrap()), 1);
}

#[rstest]
#[case::broken_at_once(Fault::Broken { events: 0 }, None)]
#[case::broken_later(Fault::Broken { events: 3 }, Some(3))]
#[case::silent_later(Fault::Stalled { events: 3 }, Some(3))]
#[tokio::test]
async fn a_resumable_stream_goes_on_elsewhere(
    #[case] fault: Fault,
    #[case] after: Option<u64>,
    #[values(StreamEnd::Chunks, StreamEnd::Close)] end: StreamEnd,
) {
    let site = site_with(end).await;
    let answer = ask_until_fault(&site, fault, &draft()).await;
    assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
    assert_eq!(answer.events(), vec![1, 2, 3, 4, 5]);

    let first = site.backend.server("lm-1").runs()[0].clone();
    let id = first.request.id.unwrap();
    let began_at = if after.is_some() { "lm-1" } else { "lm-2" };
    let seal = format!("{began_at}.{id}");
    assert_eq!(
        answer.metadata.seal.as_deref(),
        Some(&*seal),
        "the head of the answer is not that of the server of its first event"
    );
    let second = site.backend.server("lm-2").runs();
    let second = second.iter().find(|run| run.request.id.as_ref() == Some(&id)).unwrap();
    assert_eq!(second.request.resume, after);
    assert_eq!((second.ending, site.backend.runs_of(&id)), (Some(Ending::Answered), 2));
}

/// A server that fails may also close the connection right after the head.
#[tokio::test]
async fn a_stream_that_is_closed_before_its_first_event_is_no_complete_answer() {
    let site = site_with(StreamEnd::Close).await;
    let answer = ask_until_fault(&site, Fault::Short { events: 0 }, &chat()).await;
    assert!(!answer.is_complete || !answer.status.is_success(), "an empty stream looks complete");
    let site = site_with(StreamEnd::Close).await;
    let answer = ask_until_fault(&site, Fault::Short { events: 0 }, &draft()).await;
    assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
    assert_eq!(answer.events(), vec![1, 2, 3, 4, 5]);
}

/// Each answer ends its connection, so that more connections are opened than there are servers.
#[rstest]
#[case::that_may_not_run_again(chat())]
#[case::that_resume(draft())]
#[tokio::test]
async fn streams_that_end_with_their_connections_are_served_whole(#[case] request: RequestSpec) {
    const STREAMS: u64 = 40;
    let site = site_with(StreamEnd::Close).await;
    let mut caller = site.hosts[0].caller();
    for _ in 0..STREAMS {
        let answer = caller.fetch(&request.with_new_id()).await.unwrap();
        assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
        assert_eq!(answer.events(), vec![1, 2, 3, 4, 5]);
    }
    assert_eq!(caller.connections(), 1, "the caller's connection was closed");
    assert_eq!(runs(&site).len() as u64, STREAMS);
    let connections: u64 = model_servers(&site).map(|server| server.connections()).sum();
    assert!(STREAMS <= connections, "{connections} connections for {STREAMS} streams");
}

#[tokio::test]
async fn a_caller_that_leaves_a_stream_ends_it_at_the_server() {
    let site = site(1).await;
    for server in model_servers(&site) {
        server.script(|script| {
            (script.events, script.event_interval) = (1000, Duration::from_millis(20))
        });
    }
    for request in [chat(), draft()] {
        let mut caller = site.hosts[0].caller();
        let mut opened = caller.open(&request).await.unwrap();
        assert!(opened.event(3).await);
        drop((opened, caller));
        until("the server sees that the caller has closed the connection", async || {
            runs(&site).iter().all(|run| run.ending == Some(Ending::CallerClosed))
        })
        .await;
        assert_eq!(site.backend.runs_of(&request.id()), 1);
    }
}

#[tokio::test]
async fn events_pass_as_they_come() {
    let site = site(1).await;
    for server in model_servers(&site) {
        server.script(|script| script.default_fault = Some(Fault::Stalled { events: 2 }));
    }
    let mut caller = site.hosts[0].caller();
    let mut opened = caller.open(&chat()).await.unwrap();
    assert!(opened.event(2).await, "the host holds back events that the server has sent");
}

#[tokio::test]
async fn a_stream_ends_with_its_routes_time() {
    let site = site(1).await;
    for server in model_servers(&site) {
        server.script(|script| script.default_fault = Some(Fault::Stalled { events: 2 }));
    }
    let request = chat().deadline(Some(Duration::from_millis(700)));
    let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
    assert!(!answer.is_complete, "a stream without its end looks complete");
    assert_eq!(answer.events(), vec![1, 2]);
    until("the host closes the connection to the server", async || {
        runs(&site).iter().all(|run| run.ending == Some(Ending::CallerClosed))
    })
    .await;
}

/// Only one server has the adapter loaded, and it closes each connection before the first event.
/// The other server has to load the adapter.
#[tokio::test]
async fn a_stream_whose_only_holder_fails_goes_to_another_that_gets_its_adapter() {
    let site = site(1).await;
    let request = draft().adapter("a1");
    let first = site.hosts[0].caller().fetch(&request).await.unwrap();
    assert_eq!(first.status, StatusCode::OK);
    let holder = model_servers(&site).find(|server| !server.runs().is_empty()).unwrap();
    holder.script(|script| script.default_fault = Some(Fault::Lost));
    let answer = site.hosts[0].caller().fetch(&request.with_new_id()).await.unwrap();
    assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
}

/// The caller has the head of the first server, so the request can't be refused any more.
#[rstest]
#[case::two_attempts(2)]
#[case::three_attempts(3)]
#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_waits_while_others_are_full(
    #[case] attempts: u32,
) {
    const FULL_FOR: Duration = Duration::from_secs(1);
    let mut declared = declaration();
    for route in &mut declared.routes {
        (route.goal, route.attempts) = (Duration::from_millis(400), attempts);
    }
    let site = linked_site_with(1, &declared).await;
    let (server, other) = (site.backend.server("lm-1"), site.backend.server("lm-2"));
    let full = Fault::NotRun(StatusCode::SERVICE_UNAVAILABLE);
    // Requests that leave the host enough of the retry budget.
    let mut caller = site.hosts[0].caller();
    for _ in 0..200 {
        caller.fetch(&draft().with_new_prompt()).await.unwrap();
    }
    let before = server.runs().len();
    server.script(|script| {
        (script.work_time, script.default_fault) =
            (Duration::from_millis(100), Some(Fault::Broken { events: 0 }));
    });
    let answer = loop {
        let request = draft().with_new_prompt().deadline(Some(Duration::from_secs(4)));
        let fullness = async {
            sleep(Duration::from_millis(50)).await;
            if before < server.runs().len() {
                other.script(|script| script.default_fault = Some(full));
                sleep(FULL_FOR).await;
                other.script(|script| script.default_fault = None);
            }
        };
        let (answer, ()) = tokio::join!(caller.fetch(&request), fullness);
        if before < server.runs().len() {
            break answer.unwrap();
        }
    };
    assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
    assert_eq!(answer.events(), vec![1, 2, 3, 4, 5]);
}
