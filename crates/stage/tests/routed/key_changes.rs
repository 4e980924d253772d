//! Keys that are added, moved and removed while requests wait, are tried again, or run.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use standin::routed::{
    caller::{Answer, RequestSpec},
    server::{Ending, Fault},
    site::{Customer, Site},
    until,
};
use tokio::time::{Instant, sleep};

use crate::{
    organisations::{
        HARBOUR, HARBOUR_KEY, MILL, MILL_KEY, Revocation, SPARE_KEY, arrivals,
        assert_no_key_logged, customers, declaration_of, runs, site, site_with,
    },
    site::{HOST, chat, draft, page, ticket},
    stories::{finished_lines, of_kind},
};

/// Time within which a declaration must be in force.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// Time within which running requests of a removed key must have ended, if they are to end.
const REVOCATION_TIME: Duration = Duration::from_secs(5);

/// Time in which a stream fills the sockets on its way to a caller that doesn't read.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Time within which a stream of a removed key has ended though its caller doesn't read. The system
/// closes such a connection 3 s after the last progress, which is later.
const STALLED_END_TIME: Duration = Duration::from_secs(2);

/// Time that a server works on a request while the declaration changes.
const WORK_TIME: Duration = Duration::from_millis(700);

/// One connection sees a key added, moved and removed, each within the time for a declaration.
#[tokio::test]
async fn changes_of_keys_count_on_open_connections() {
    let site = site().await;
    let mut caller = site.hosts[0].caller();
    let spec = page().key(SPARE_KEY);
    let answer = caller.fetch(&spec).await.unwrap();
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);

    let with = |keys: &[&str], mill: &[&str]| {
        vec![Customer::new(HARBOUR, keys), Customer::new(MILL, mill)]
    };
    let changes = [
        (with(&[HARBOUR_KEY, SPARE_KEY], &[MILL_KEY]), Some(HARBOUR)),
        (with(&[HARBOUR_KEY], &[MILL_KEY, SPARE_KEY]), Some(MILL)),
        (with(&[HARBOUR_KEY], &[MILL_KEY]), None),
    ];
    for (version, (customers, holder)) in (4..).zip(changes) {
        site.backend.declare_with(&declaration_of(version), &customers);
        let declared_at = Instant::now();
        loop {
            let sent = spec.with_new_id();
            let status = caller.fetch(&sent).await.unwrap().status;
            let told = arrivals(&site).into_iter().find(|arrival| arrival.id == sent.id());
            let told = told.map(|arrival| arrival.customers.concat());
            if told.as_deref() == holder {
                let refused = holder.is_none();
                assert_eq!(status == StatusCode::UNAUTHORIZED, refused, "{status}");
                break;
            }
            assert!(declared_at.elapsed() < APPLY_TIME, "version {version} is not in force");
        }
    }
    assert_eq!(caller.connections(), 1, "the connection was closed");
    assert!(arrivals(&site).iter().all(|arrival| !arrival.has_key));
    assert_no_key_logged(&site);
    let told = |line: &Value| {
        (line["version"].as_u64(), line["keys_added"].as_u64(), line["keys_removed"].as_u64())
    };
    let changes = || {
        let log = site.hosts[0].log();
        log.iter().filter(|line| line["kind"] == "customers").map(told).collect::<Vec<_>>()
    };
    until("all changes are logged", async || 4 <= changes().len()).await;
    let expected = [(3, 2, 0), (4, 1, 0), (5, 1, 1), (6, 0, 1)];
    let expected = expected.map(|(version, added, gone)| (Some(version), Some(added), Some(gone)));
    assert_eq!(changes(), expected);
}

/// Sends so many requests to the only server of a service that most of them wait, and changes the
/// customers meanwhile. Returns the requests with their answers.
async fn change_while_waiting(site: &Site, after: &[Customer]) -> Vec<(RequestSpec, Answer)> {
    // More requests could not all be served in time, so that the host would refuse some as late.
    const REQUESTS: usize = 24;
    let server = site.backend.server("other-1");
    server.script(|script| script.work_time = WORK_TIME);
    let sending = (0..REQUESTS).map(|_| {
        let (mut caller, spec) = (site.hosts[0].caller(), RequestSpec::to(HOST, "/pages/deep/x"));
        let spec = spec.key(HARBOUR_KEY);
        tokio::spawn(async move {
            let answer = caller.fetch(&spec).await.expect("an answer");
            (spec, answer)
        })
    });
    let sending: Vec<_> = sending.collect();
    until("the server is full", async || 8 <= server.runs().len()).await;
    site.backend.declare_with(&declaration_of(4), after);
    join_all(sending).await.into_iter().map(|sent| sent.expect("the caller ends")).collect()
}

/// Guards against a waiting request that runs with a key that has been removed meanwhile, and
/// against one that is refused although it has run.
#[tokio::test]
async fn waiting_requests_of_a_removed_key_are_refused() {
    let site = site().await;
    let sent = change_while_waiting(&site, &customers(&[])).await;
    let refused = sent.iter().filter(|(_, answer)| answer.status == StatusCode::UNAUTHORIZED);
    let served = sent.iter().filter(|(_, answer)| answer.status == StatusCode::OK);
    assert_eq!(refused.clone().count() + served.count(), sent.len(), "{sent:?}");
    assert!(8 <= refused.clone().count(), "no waiting request was refused");
    for (spec, _) in refused {
        assert_eq!(site.backend.runs_of(&spec.id()), 0, "a refused request has run");
    }
}

#[tokio::test]
async fn waiting_requests_of_a_moved_key_run_for_its_new_holder() {
    let site = site().await;
    let moved = [Customer::new(HARBOUR, &[]), Customer::new(MILL, &[MILL_KEY, HARBOUR_KEY])];
    let sent = change_while_waiting(&site, &moved).await;
    assert!(sent.iter().all(|(_, answer)| answer.status == StatusCode::OK), "{sent:?}");
    let arrivals = arrivals(&site);
    let of = |name: &str| arrivals.iter().filter(|arrival| arrival.customers == [name]).count();
    assert!(0 < of(HARBOUR) && 8 <= of(MILL), "{} and {}", of(HARBOUR), of(MILL));
    assert_eq!(of(HARBOUR) + of(MILL), arrivals.len());
}

/// Sends a request to a server that fails it, and changes the customers while that server works on
/// it. Returns the answer.
async fn change_before_retry(site: &Site, after: &[Customer]) -> Answer {
    site.backend.script(|script| script.work_time = WORK_TIME);
    for server in ["app-1", "app-2"] {
        site.backend.server(server).script(|script| script.faults = [Fault::Lost].into());
    }
    let mut caller = site.hosts[0].caller();
    let pending = tokio::spawn(async move { caller.fetch(&page().key(HARBOUR_KEY)).await });
    until("the request runs", async || site.backend.runs() == 1).await;
    for server in ["app-1", "app-2"] {
        let is_idle = site.backend.server(server).runs().is_empty();
        site.backend.server(server).script(|script| {
            if is_idle {
                script.faults.clear();
            }
        });
    }
    site.backend.declare_with(&declaration_of(4), after);
    pending.await.unwrap().expect("an answer")
}

#[tokio::test]
async fn a_request_whose_key_is_removed_is_not_tried_again() {
    let site = site().await;
    let answer = change_before_retry(&site, &customers(&[])).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "the request may have run");
    assert_eq!(arrivals(&site).len(), 1);
}

#[tokio::test]
async fn a_request_whose_key_is_moved_is_tried_again_for_the_new_holder() {
    let site = site().await;
    let moved = [Customer::new(HARBOUR, &[]), Customer::new(MILL, &[MILL_KEY, HARBOUR_KEY])];
    let answer = change_before_retry(&site, &moved).await;
    assert_eq!(answer.status, StatusCode::OK);
    let told: Vec<Vec<String>> = runs(&site).into_iter().map(|run| run.request.customers).collect();
    assert_eq!(told, [[HARBOUR], [MILL]]);
}

const EVENTS: u64 = 40;

/// Begins a stream of four seconds, and changes the customers after its third event. Returns the
/// answer, and the time from the change to its end.
async fn change_during_stream(
    site: &Site,
    spec: &RequestSpec,
    after: &[Customer],
) -> (Answer, Duration) {
    site.backend.script(|script| {
        (script.events, script.event_interval) = (EVENTS, Duration::from_millis(100));
    });
    let mut caller = site.hosts[0].caller();
    let mut stream = caller.open(&spec.clone().key(HARBOUR_KEY)).await.expect("the stream begins");
    assert!(stream.event(3).await);
    site.backend.declare_with(&declaration_of(4), after);
    let changed_at = Instant::now();
    let answer = stream.finish().await.expect("the stream ends");
    (answer, changed_at.elapsed())
}

#[rstest]
#[case::lenient(Revocation::Lenient, customers(&[]))]
#[case::strict_but_moved(
    Revocation::Strict,
    vec![Customer::new(HARBOUR, &[]), Customer::new(MILL, &[MILL_KEY, HARBOUR_KEY])]
)]
#[case::strict_but_others(Revocation::Strict, vec![Customer::new(HARBOUR, &[HARBOUR_KEY])])]
#[tokio::test]
async fn a_running_stream_goes_on(
    #[case] revocation: Revocation,
    #[case] after: Vec<Customer>,
    #[values(chat(), draft())] spec: RequestSpec,
) {
    let site = site_with(&customers(&[HARBOUR_KEY]), revocation).await;
    let (answer, _) = change_during_stream(&site, &spec, &after).await;
    assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
    assert_eq!(answer.events(), (1..=EVENTS).collect::<Vec<_>>());
    assert_eq!(arrivals(&site).len(), 1);
}

#[rstest]
#[tokio::test]
async fn a_running_stream_of_a_removed_key_is_ended_if_that_is_set(
    #[values(chat(), draft())] spec: RequestSpec,
) {
    let site = site_with(&customers(&[HARBOUR_KEY]), Revocation::Strict).await;
    let (answer, took) = change_during_stream(&site, &spec, &customers(&[])).await;
    assert!(!answer.is_complete, "the stream was completed");
    assert!(took < REVOCATION_TIME, "the stream ended after {took:?}");
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    assert!(text.ends_with("\n\n"), "the caller got a partial event: {text:?}");
    until("the server's run has ended", async || {
        runs(&site).iter().all(|run| run.ending == Some(Ending::CallerClosed))
    })
    .await;
    assert_eq!(arrivals(&site).len(), 1, "the stream was resumed");
}

#[tokio::test]
async fn a_running_request_of_a_removed_key_is_ended_if_that_is_set() {
    let site = site_with(&customers(&[HARBOUR_KEY]), Revocation::Strict).await;
    site.backend.script(|script| script.work_time = REVOCATION_TIME + APPLY_TIME);
    let mut caller = site.hosts[0].caller();
    let spec = ticket().key(HARBOUR_KEY);
    let pending = tokio::spawn(async move { caller.fetch(&spec).await });
    until("the request runs", async || site.backend.runs() == 1).await;
    site.backend.declare_with(&declaration_of(4), &customers(&[]));
    let changed_at = Instant::now();
    let answer = pending.await.unwrap().expect("an answer");
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "the request may have run");
    assert!(changed_at.elapsed() < REVOCATION_TIME, "ended after {:?}", changed_at.elapsed());
    until("the server's run has ended", async || {
        runs(&site).iter().all(|run| run.ending == Some(Ending::CallerClosed))
    })
    .await;
}

/// Guards against a stream that is ended only once its caller reads on.
#[tokio::test]
async fn a_running_stream_of_a_removed_key_is_ended_though_its_caller_does_not_read() {
    let site = site_with(&customers(&[HARBOUR_KEY]), Revocation::Strict).await;
    // More than the sockets between server and caller can hold, so that they are full after a time.
    site.backend
        .script(|script| (script.events, script.event_interval) = (5_000_000, Duration::ZERO));
    let mut caller = site.hosts[0].caller();
    let request = chat().key(HARBOUR_KEY);
    let mut stream = caller.open(&request).await.expect("the stream begins");
    assert!(stream.event(3).await);
    sleep(STALL_TIME).await;
    site.backend.declare_with(&declaration_of(4), &customers(&[]));
    let changed_at = Instant::now();
    until("the server's run has ended", async || {
        runs(&site).iter().all(|run| run.ending == Some(Ending::CallerClosed))
    })
    .await;
    assert!(changed_at.elapsed() < STALLED_END_TIME, "ended after {:?}", changed_at.elapsed());
    // The host ends it, not the caller.
    let lines = finished_lines(&site, &request.id()).await;
    let end = of_kind(&lines, "ended")[0];
    assert_eq!((&end["outcome"], &end["why"]), (&json!("cut"), &json!("revoked")), "{lines:#?}");
    drop(stream);
}
