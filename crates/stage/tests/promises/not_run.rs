//! A request that is refused with `did-not-run` did not run on any engine.

use rstest::rstest;
use standin::{
    engine::Settings,
    fault::{Direction, Fault, Interception, NewConnections, Proxy},
};

use tokio::task::JoinHandle;

use crate::common::{Builder, Chat, Ending, Site, until};

const MODEL: &str = "portal";
const CALLS: usize = 12;

/// More attempts than all calls make with their retries.
const ATTEMPTS: usize = 500;

/// A site with one engine, whose hosts end each call after 3 s, or after 2 s without any data.
async fn site() -> Site {
    let engine = Settings::new("lm-1").with_model(MODEL, "v1", 900);
    let short_timeouts = |settings: &mut serde_json::Value| {
        settings["bounds"] = serde_json::json!({"request_ms": 3_000, "idle_ms": 2_000});
    };
    Builder::new(2).engine(engine).settings(short_timeouts).with_proxies().start().await
}

/// Sends all calls concurrently, to the two hosts in turn.
fn send_all(site: &Site, tokens: u64) -> Vec<JoinHandle<(String, Ending)>> {
    (0..CALLS)
        .map(|number| {
            let callers = site.hosts()[number % 2].callers();
            let chat = Chat::new(format!("key-{number}"), MODEL, tokens);
            tokio::spawn(async move { (chat.key.clone(), chat.send(callers).await) })
        })
        .collect()
}

async fn join(calls: Vec<JoinHandle<(String, Ending)>>) -> Vec<(String, Ending)> {
    let mut endings = Vec::new();
    for call in calls {
        endings.push(call.await.expect("caller task must not panic"));
    }
    endings
}

fn refuse_connections(link: &Proxy) {
    link.reset_connections();
    link.set_new_connections(NewConnections::Reset);
}

fn cut_requests(link: &Proxy) {
    link.set(Direction::ToTarget, Fault::ResetAfter(60));
}

fn cut_answers(link: &Proxy) {
    link.set(Direction::ToClient, Fault::ResetAfter(0));
}

fn lose_requests(link: &Proxy) {
    (0..ATTEMPTS).for_each(|_| {
        link.intercept("POST /v1", Interception::LoseRequest);
    });
}

fn lose_answers(link: &Proxy) {
    (0..ATTEMPTS).for_each(|_| {
        link.intercept("POST /v1", Interception::LoseAnswer);
    });
}

/// Whichever fault the connection to the only engine has, no request that the engine began to run
/// is refused with `did-not-run`.
#[rstest]
#[case::door_shut(refuse_connections)]
#[case::requests_cut(cut_requests)]
#[case::answers_cut(cut_answers)]
#[case::requests_lost(lose_requests)]
#[case::answers_lost(lose_answers)]
#[tokio::test]
async fn not_run_is_true_when_the_link_breaks(#[case] break_link: fn(&Proxy)) {
    let site = site().await;
    break_link(site.links().server("lm-1"));

    let endings = join(send_all(&site, 5)).await;

    check_not_run(&site, &endings);
    assert!(
        endings.iter().any(|(_, ending)| *ending != Ending::Complete),
        "the fault had no effect"
    );
    site.links().server("lm-1").heal();
    site.shut_down().await;
}

#[tokio::test]
async fn not_run_is_true_when_the_engine_dies() {
    let site = site().await;
    let calls = send_all(&site, 400);
    until("the engine runs requests", async || 0 < site.engines()[0].in_flight()).await;

    site.engines()[0].crash();

    let endings = join(calls).await;
    check_not_run(&site, &endings);
    assert!(endings.iter().all(|(_, ending)| *ending != Ending::Complete));
    site.shut_down().await;
}

#[tokio::test]
async fn not_run_is_true_when_no_server_is_there() {
    let site = site().await;
    site.engines()[0].crash();

    // Until the host notices the crash, a connection may break, which gives no `did-not-run`.
    let callers = site.hosts()[0].callers();
    let mut endings = Vec::new();
    until("a call is refused with did-not-run", async || {
        let chat = Chat::new(format!("key-{}", endings.len()), MODEL, 5);
        endings.push((chat.key.clone(), chat.send(callers).await));
        endings.last().is_some_and(|(_, ending)| ending.is_not_run())
    })
    .await;

    check_not_run(&site, &endings);
    site.shut_down().await;
}

fn check_not_run(site: &Site, endings: &[(String, Ending)]) {
    for (key, ending) in endings {
        assert!(!matches!(ending, Ending::Disconnected | Ending::Wrong(_)), "{key}: {ending:?}");
        if ending.is_not_run() {
            assert_eq!(site.runs(key), 0, "{key} ran, but was refused with did-not-run");
        }
    }
}
