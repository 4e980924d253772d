//! Planned stops of hosts and servers.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use nix::sys::signal::Signal;
use rstest::rstest;
use standin::routed::{
    caller::RequestSpec,
    server::{Fault, Settings},
    site::Site,
    until,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::site::{backend, chat, declaration, draft, page, site, start_site, status_of, ticket};

const SLOW: Duration = Duration::from_millis(900);

#[rstest]
#[case::draining(true)]
#[case::gone_from_the_list(false)]
#[tokio::test]
async fn a_leaving_server_gets_nothing_new(#[case] is_announced: bool) {
    let mut site = site(2).await;
    match is_announced {
        true => site.backend.server("app-1").drain(None),
        false => site.backend.deregister("app-1"),
    }
    site.wait_until_observed().await;
    let runs_before = site.backend.server("app-1").runs().len();
    for host in &site.hosts {
        for request in [page(), ticket(), page(), ticket()] {
            assert_eq!(status_of(host, &request).await, Some(StatusCode::OK));
        }
    }
    assert_eq!(site.backend.server("app-1").runs().len(), runs_before);
}

#[tokio::test]
async fn a_leaving_server_finishes_what_it_runs() {
    let site = site(1).await;
    let server = site.backend.server("app-1");
    server.script(|script| script.work_time = SLOW);
    site.backend.server("app-2").drain(None);
    site.wait_until_observed().await;
    let mut caller = site.hosts[0].caller();
    let pending = tokio::spawn(async move { caller.fetch(&ticket()).await });
    until("the request runs", async || server.running() == 1).await;
    server.drain(None);
    site.wait_until_observed().await;
    let answer = pending.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
}

#[rstest]
#[case::idempotent(page())]
#[case::non_idempotent(ticket())]
#[case::stream(chat())]
#[tokio::test]
async fn sigterm_cuts_nothing_and_the_process_ends(#[case] request: RequestSpec) {
    let mut site = site(1).await;
    site.backend.script(|script| (script.work_time, script.event_interval) = (SLOW, SLOW / 3));
    let (mut caller, mut idle) = (site.hosts[0].caller(), site.hosts[0].caller());
    assert_eq!(idle.fetch(&page()).await.unwrap().status, StatusCode::OK);
    let pending = tokio::spawn(async move { caller.fetch(&request).await });
    until("the request runs", async || site.backend.runs() == 2).await;

    site.hosts[0].signal(Signal::SIGTERM);
    until("the host reports that it is not ready", async || {
        site.hosts[0].readiness_status().await == Some(StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    let late = idle.fetch(&page()).await.unwrap();
    assert_eq!((late.status, late.is_complete), (StatusCode::OK, true));
    assert!(late.closes(), "a persistent connection isn't closed by a stopping host");

    let answer = pending.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
    let ended = site.hosts[0].wait_for_exit().await;
    assert_eq!(ended.and_then(|status| status.code()), Some(0));
}

#[rstest]
#[case::plain(ticket())]
#[case::stream(chat())]
#[tokio::test]
async fn sighup_ends_nothing(#[case] request: RequestSpec) {
    let mut site = site(1).await;
    site.backend.script(|script| (script.work_time, script.event_interval) = (SLOW / 2, SLOW / 6));
    let (mut caller, mut idle) = (site.hosts[0].caller(), site.hosts[0].caller());
    assert_eq!(idle.fetch(&page()).await.unwrap().status, StatusCode::OK);
    let pending = tokio::spawn(async move { caller.fetch(&request).await });
    until("the request runs", async || site.backend.runs() == 2).await;
    for _ in 0..2 {
        site.hosts[0].signal(Signal::SIGHUP);
        until("the host logs the signal", async || site.hosts[0].has_logged("reload asked for"))
            .await;
    }
    let answer = pending.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
    assert_eq!(idle.fetch(&page()).await.unwrap().status, StatusCode::OK);
    assert_eq!((idle.connections(), site.hosts[0].is_running()), (1, true));
    assert_eq!(site.hosts[0].readiness_status().await, Some(StatusCode::OK));
}

/// The host is stopped by the system while its time to accept connections ends.
#[tokio::test]
async fn connections_that_wait_to_be_accepted_at_a_planned_stop_are_answered() {
    /// Just before the end of that time.
    const BEFORE_THE_END: Duration = Duration::from_millis(2_300);
    let site = site(1).await;
    let host = &site.hosts[0];
    assert_eq!(status_of(host, &page()).await, Some(StatusCode::OK));
    host.signal(Signal::SIGTERM);
    sleep(BEFORE_THE_END).await;
    host.signal(Signal::SIGSTOP);
    let mut pending = JoinSet::new();
    for _ in 0..12 {
        let mut caller = host.caller();
        pending.spawn(async move { caller.fetch(&ticket()).await.map(|answer| answer.status) });
    }
    sleep(SLOW).await;
    host.signal(Signal::SIGCONT);
    let answers = pending.join_all().await;
    let answered = answers.iter().filter(|answer| matches!(answer, Ok(StatusCode::OK)));
    assert_eq!(answered.count(), answers.len(), "{answers:?}");
}

/// A host with this many seconds from SIGTERM to SIGKILL.
async fn site_with_grace(seconds: u64) -> Site {
    let backend = backend().await;
    backend.declare(&declaration());
    let mut site = start_site(backend, 0).await;
    let grace = serde_json::json!(seconds);
    site.add(|settings| settings["routed"]["grace_s"] = grace).await.expect("the host starts");
    site.wait_until_ready().await;
    site
}

/// Stops the host as the platform does, while callers keep using their connections until the process
/// is gone. Returns the number of tickets that had been passed on and got neither an answer nor a
/// refusal, and the number of all.
async fn stop_beside_tickets(site: &mut Site, grace: Duration) -> (usize, usize) {
    const CALLERS: u32 = 20;
    let connected = (0..CALLERS).map(async |_| {
        let mut caller = site.hosts[0].caller();
        let page = page().deadline(Some(Duration::from_secs(60)));
        let _ = caller.fetch(&page).await.expect("an answer");
        caller
    });
    let mut sending = JoinSet::new();
    for (number, mut caller) in (0..).zip(join_all(connected).await) {
        sending.spawn(async move {
            sleep(grace * number / CALLERS).await;
            let mut sent = Vec::new();
            loop {
                let spec = ticket().deadline(Some(Duration::from_secs(10)));
                let answer = caller.fetch(&spec).await;
                let is_over = answer.is_err();
                sent.push((spec.id(), answer.is_ok_and(|answer| answer.is_complete)));
                if is_over {
                    return sent;
                }
                sleep(Duration::from_millis(20)).await;
            }
        });
    }
    let began = Instant::now();
    site.hosts[0].signal(Signal::SIGTERM);
    let ended = timeout(grace, site.hosts[0].wait_for_exit()).await;
    assert!(ended.is_ok(), "the process still runs {:?} after SIGTERM", began.elapsed());
    let sent = sending.join_all().await.concat();
    let unanswered = sent.iter().filter(|(_, is_answered)| !is_answered);
    let lost = unanswered.filter(|(id, _)| site.backend.runs_of(id) != 0);
    (lost.count(), sent.len())
}

/// Tickets that came late in the grace period were passed on, and cut at its end.
#[rstest]
#[case::short_grace(2, 300)]
#[case::long_tickets(4, 1_500)]
#[case::long_tickets_and_a_usual_grace(8, 5_200)]
#[tokio::test]
async fn tickets_are_not_cut_at_the_end_of_a_planned_stop(
    #[case] grace: u64,
    #[case] work_ms: u64,
) {
    let mut site = site_with_grace(grace).await;
    site.backend.script(|script| script.work_time = Duration::from_millis(work_ms));
    // The host learns how long tickets take.
    let warm = (0..8).map(|_| site.hosts[0].caller());
    let warm: JoinSet<_> = warm
        .map(|mut caller| async move { caller.fetch(&ticket()).await.map(|a| a.status) })
        .collect();
    for answer in warm.join_all().await {
        assert_eq!(answer.unwrap(), StatusCode::OK);
    }
    let (lost, sent) = stop_beside_tickets(&mut site, Duration::from_secs(grace)).await;
    assert_eq!(lost, 0, "of {sent} tickets");
}

/// What ends the wait of a request for another server during a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitEnd {
    /// The host stops waiting for servers.
    Closing,
    /// A server is found that would need more time than the host has left.
    ServerTooLate,
}

/// Guards against a request that was cut at a server and is answered as not run at a planned stop.
#[rstest]
#[tokio::test]
async fn a_request_that_may_have_run_is_not_refused_as_not_run_at_a_planned_stop(
    #[values(WaitEnd::Closing, WaitEnd::ServerTooLate)] end: WaitEnd,
) {
    const GRACE_S: u64 = 4;
    let mut site = site_with_grace(GRACE_S).await;
    site.backend.server("app-2").drain(None);
    site.wait_until_observed().await;
    // The host learns how long pages take.
    let work_time = Duration::from_secs(GRACE_S);
    site.backend.script(|script| script.work_time = work_time);
    assert_eq!(status_of(&site.hosts[0], &page()).await, Some(StatusCode::OK));

    site.backend.server("app-1").script(|script| {
        script.work_time = Duration::ZERO;
        script.default_fault = Some(Fault::Lost);
    });
    let cut = page();
    let mut caller = site.hosts[0].caller();
    let request = cut.clone();
    let pending = tokio::spawn(async move { caller.fetch(&request).await });
    until("the request is cut", async || site.backend.runs_of(&cut.id()) == 1).await;
    let stopped_at = Instant::now();
    site.hosts[0].signal(Signal::SIGTERM);
    until("the host stops", async || site.hosts[0].has_logged("drain begins")).await;
    if end == WaitEnd::ServerTooLate {
        site.backend.add(Settings::plain("app-3", "app")).await.expect("the server starts");
    }
    let answer = pending.await.unwrap().unwrap();
    let is_early = stopped_at.elapsed() < Duration::from_secs(GRACE_S) / 2;
    assert_eq!((is_early, site.backend.runs_of(&cut.id())), (end == WaitEnd::ServerTooLate, 1));
    assert_eq!((answer.status, answer.is_complete), (StatusCode::BAD_GATEWAY, true));
    let log = site.hosts[0].log();
    let given_up = log.iter().any(|line| line.to_string().contains("given-up"));
    assert!(given_up, "no step gives the cause");
}

/// Guards against a stream that was cut while it waited for a server, when requests that have not begun
/// are refused at a planned stop.
#[tokio::test]
async fn a_stream_that_has_begun_waits_for_a_server_during_a_planned_stop() {
    // Requests that have not begun are refused after 5.6 s, and those in flight end after 7.4 s.
    const GRACE_S: u64 = 8;
    const FULL_TIME: Duration = Duration::from_millis(5_900);
    const INTERVAL: Duration = Duration::from_millis(200);
    let site = site_with_grace(GRACE_S).await;
    site.backend.server("lm-2").drain(None);
    site.wait_until_observed().await;
    let server = site.backend.server("lm-1");
    server.script(|script| {
        script.event_interval = INTERVAL;
        script.default_fault = Some(Fault::Broken { events: 3 });
    });
    let request = draft().with_new_prompt();
    let mut caller = site.hosts[0].caller();
    let sent = request.clone();
    let pending = tokio::spawn(async move { caller.fetch(&sent).await });
    until("the stream runs", async || server.runs_of(&request.id()) == 1).await;
    server.script(|script| {
        script.default_fault = Some(Fault::NotRun(StatusCode::SERVICE_UNAVAILABLE));
        script.back_off = Some("6".into());
    });
    site.hosts[0].signal(Signal::SIGTERM);
    sleep(FULL_TIME).await;
    server.script(|script| script.default_fault = None);
    let log = || site.hosts[0].log().into_iter().map(|line| line["message"].to_string());
    let log_of = || log().filter(|line| line.contains(&*request.id())).collect::<Vec<_>>();
    assert!(!pending.is_finished(), "ended before the server had a place: {:#?}", log_of());
    let answer = pending.await.unwrap().unwrap();
    let seen = (answer.status, answer.is_complete);
    assert_eq!(seen, (StatusCode::OK, true), "{:#?}", log_of());
}
