//! Servers whose answers never end: the requests at them end, the host's memory stays bounded, and
//! other requests are served.

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    caller::RequestSpec,
    host::Host,
    server::{Ending, Endless, Fault, Server, Settings},
    site::{Backend, Site},
    until,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    site::{
        HOST, chat, declaration, draft, engine, page, site, site_with_info_log, start_site,
        status_of, ticket,
    },
    stories::report,
};

/// Sends as fast as the connection takes.
const FLOOD: Duration = Duration::ZERO;
const DRIP: Duration = Duration::from_millis(20);

/// Time after which a request has to end, with some time for the machine.
const DEADLINE: Duration = Duration::from_secs(4);
const SLACK: Duration = Duration::from_millis(500);

/// Greatest resident memory of a host, in KiB.
const MAX_MEMORY_KIB: u64 = 128 * 1024;

/// Longest time that another request may take meanwhile.
const MAX_OTHER_TIME: Duration = DEADLINE;

/// Requests in flight at each of the endless servers.
const SLOTS: u32 = 32;

fn endless(part: Endless, pause: Duration) -> Option<Fault> {
    Some(Fault::Endless { part, pause })
}

/// Outcomes of a request's attempts, once the host has logged some.
async fn attempt_outcomes(site: &Site, id: &str) -> Vec<String> {
    let mut outcomes = Vec::new();
    until("the end of an attempt is logged", async || {
        let report = report(site, id).await.json;
        let lines = report["lines"].as_array().cloned().unwrap_or_default();
        let ended = lines.iter().filter(|line| line["kind"] == "attempt-ended");
        outcomes = ended.filter_map(|line| line["outcome"].as_str().map(str::to_owned)).collect();
        !outcomes.is_empty()
    })
    .await;
    outcomes
}

async fn wait_until_closed(server: &Server) {
    let began = Instant::now();
    until("the host closes its connections to the server", async || server.running() == 0).await;
    assert!(began.elapsed() < SLACK, "the server's runs ended {:?} later", began.elapsed());
}

#[rstest]
#[case::head(Endless::Head, "endless")]
#[case::interim(Endless::Interim, "endless")]
#[case::length(Endless::Length, "endless")]
#[case::unframed(Endless::Unframed, "endless")]
#[case::chunks(Endless::Chunks, "endless")]
#[case::extension(Endless::Extension, "garbled")]
#[case::trailers(Endless::Trailers, "garbled")]
#[tokio::test]
async fn an_answer_that_floods_ends_early(#[case] part: Endless, #[case] outcome: &str) {
    let site = site_with_info_log().await;
    site.backend.script(|script| script.default_fault = endless(part, FLOOD));
    let began = Instant::now();
    let request = ticket().deadline(Some(DEADLINE));
    assert_eq!(status_of(&site.hosts[0], &request).await, Some(StatusCode::BAD_GATEWAY));
    assert!(began.elapsed() < DEADLINE - SLACK, "ended after {:?}", began.elapsed());
    assert_eq!(site.backend.runs_of(&request.id()), 1);
    for server in &site.backend.servers {
        wait_until_closed(server).await;
    }
    assert_eq!(attempt_outcomes(&site, &request.id()).await, [outcome]);
}

#[rstest]
#[case::head(Endless::Head, Some("endless"))]
#[case::interim(Endless::Interim, Some("endless"))]
#[case::length(Endless::Length, Some("endless"))]
#[case::unframed(Endless::Unframed, None)]
#[case::chunks(Endless::Chunks, None)]
#[case::extension(Endless::Extension, None)]
#[case::trailers(Endless::Trailers, Some("garbled"))]
#[tokio::test]
async fn an_answer_that_drips_ends_in_time(
    #[case] part: Endless,
    #[case] early_outcome: Option<&str>,
) {
    let site = site_with_info_log().await;
    site.backend.script(|script| script.default_fault = endless(part, DRIP));
    let began = Instant::now();
    let request = ticket().deadline(Some(DEADLINE));
    let status = status_of(&site.hosts[0], &request).await;
    if let Some(outcome) = early_outcome {
        assert_eq!(status, Some(StatusCode::BAD_GATEWAY));
        assert!(began.elapsed() < DEADLINE - SLACK, "ended after {:?}", began.elapsed());
        assert_eq!(attempt_outcomes(&site, &request.id()).await, [outcome]);
    } else {
        assert_eq!(status, Some(StatusCode::GATEWAY_TIMEOUT));
        assert!(began.elapsed() < DEADLINE + SLACK, "ended after {:?}", began.elapsed());
    }
    for server in &site.backend.servers {
        wait_until_closed(server).await;
    }
}

#[rstest]
#[tokio::test]
async fn an_idempotent_request_is_answered_by_another_server(
    #[values(Endless::Head, Endless::Interim, Endless::Length, Endless::Chunks)] part: Endless,
    #[values(FLOOD, DRIP)] pause: Duration,
) {
    let site = site(1).await;
    site.backend.server("app-1").script(|script| script.default_fault = endless(part, pause));
    while site.backend.server("app-1").runs().is_empty() {
        let answer = site.hosts[0].caller().fetch(&page()).await.unwrap();
        assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
    }
    wait_until_closed(site.backend.server("app-1")).await;
}

#[rstest]
#[tokio::test]
async fn a_resumable_stream_goes_on_at_another_server(
    #[values(
        Endless::Head,
        Endless::Interim,
        Endless::Chunks,
        Endless::Unframed,
        Endless::Extension,
        Endless::Comments
    )]
    part: Endless,
    #[values(FLOOD, DRIP)] pause: Duration,
) {
    let site = site(1).await;
    let bad = site.backend.server("lm-1");
    bad.script(|script| script.default_fault = endless(part, pause));
    while bad.runs().is_empty() {
        let answer = site.hosts[0].caller().fetch(&draft().with_new_prompt()).await.unwrap();
        assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
        assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
    }
    wait_until_closed(bad).await;
}

#[rstest]
#[tokio::test]
async fn a_stream_that_may_not_run_again_ends_in_time(
    #[values(Endless::Chunks, Endless::Comments, Endless::Trailers)] part: Endless,
    #[values(FLOOD, DRIP)] pause: Duration,
) {
    let site = site(1).await;
    site.backend.script(|script| script.default_fault = endless(part, pause));
    let began = Instant::now();
    let answer = site.hosts[0].caller().fetch(&chat().deadline(Some(DEADLINE))).await.unwrap();
    // No event has come, so the caller has no head yet.
    let errors = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
    assert!(
        errors.contains(&answer.status),
        "an endless stream was answered with {}",
        answer.status
    );
    assert!(began.elapsed() < DEADLINE + SLACK, "ended after {:?}", began.elapsed());
    for server in &site.backend.servers {
        wait_until_closed(server).await;
    }
}

/// A host before servers with [`SLOTS`] slots whose answers never end, and a sound one.
async fn crowded_site(part: Endless, pause: Duration) -> Site {
    let engine = types::routed::Engine { slots: SLOTS, ..engine() };
    let settings = [
        Settings { slots: SLOTS, queue: 0, ..Settings::plain("app-1", "app") },
        Settings { queue: 0, ..Settings::model("lm-1", "lm", &engine, &["welcome"]) },
        Settings::plain("other-1", "other"),
    ];
    let backend = Backend::start(settings.into()).await.expect("the servers start");
    for id in ["app-1", "lm-1"] {
        backend.server(id).script(|script| script.default_fault = endless(part, pause));
    }
    backend.declare(&declaration());
    let site = start_site(backend, 1).await;
    site.wait_until_ready().await;
    site
}

/// Resident memory of a host in KiB, at its peak.
fn peak_memory_kib(host: &Host) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", host.process_id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    peak.trim().trim_end_matches(" kB").parse().unwrap()
}

/// All slots of two servers are kept busy; the callers leave in the end.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn memory_is_bounded_and_others_are_served(
    #[values(Endless::Head, Endless::Length, Endless::Chunks, Endless::Comments)] part: Endless,
    #[values(FLOOD, Duration::from_millis(1))] pause: Duration,
) {
    const LOAD_TIME: Duration = Duration::from_secs(4);
    let site = crowded_site(part, pause).await;
    let host = &site.hosts[0];
    let mut callers = JoinSet::new();
    for number in 0..2 * SLOTS {
        let mut caller = host.caller();
        let request = if number % 2 == 0 { ticket() } else { chat() };
        callers.spawn(async move {
            loop {
                let _ = caller.fetch(&request.with_new_prompt()).await;
                // Callers that are refused don't return at once.
                sleep(Duration::from_millis(100)).await;
            }
        });
    }
    let began = Instant::now();
    let mut slowest = Duration::ZERO;
    while began.elapsed() < LOAD_TIME {
        let sent_at = Instant::now();
        let status = status_of(host, &RequestSpec::to(HOST, "/pages/deep/x")).await;
        assert_eq!(status, Some(StatusCode::OK));
        slowest = slowest.max(sent_at.elapsed());
        sleep(Duration::from_millis(50)).await;
    }
    let peak = peak_memory_kib(host);
    assert!(peak < MAX_MEMORY_KIB, "the host used {peak} KiB");
    let busiest = [site.backend.server("app-1"), site.backend.server("lm-1")];
    assert!(busiest.iter().all(|server| !server.runs().is_empty()));
    assert!(slowest < MAX_OTHER_TIME, "another request took {slowest:?}");
    callers.shutdown().await;
    for server in busiest {
        wait_until_closed(server).await;
        let is_ended = |ending: Option<Ending>| ending == Some(Ending::CallerClosed);
        assert!(server.runs().iter().all(|run| is_ended(run.ending)));
    }
}
