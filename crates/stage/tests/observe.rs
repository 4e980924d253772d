//! Metrics and the timeline of real host processes, as operators read them.

mod common;

use std::{
    collections::BTreeSet,
    time::{Duration, SystemTime},
};

use common::{
    Answer, Site, events, metric_value, metrics, post_chat, records, send, try_send, until,
};
use observe::{
    clock::Stamp,
    event::{Kind, Outcome, PlatformState},
    merge,
};
use policy::member::{gossip::Gossip, heartbeat::Heartbeat};
use rstest::rstest;
use serde_json::{Value, json};
use standin::engine;
use types::host::Host;

const TOKENS: u64 = 12;

fn chat(model: &str) -> Value {
    json!({
        "model": model, "stream": true, "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": "Bienvenue"}],
    })
}

async fn site() -> Site {
    let engines = vec![engine::Settings::new("lm-1").with_model("welcome", "v1", 900)];
    Site::start(2, engines).await
}

fn request_id(answer: &Answer) -> String {
    answer.headers["x-request-id"].to_str().expect("the id is text").to_owned()
}

#[tokio::test]
async fn metrics_count_what_callers_got() {
    let site = site().await;
    let callers = site.hosts()[0].callers();
    let answer = post_chat(callers, &chat("welcome")).await;
    assert_eq!(events(&answer.text()).len() as u64, TOKENS + 1);
    assert_eq!(post_chat(callers, &chat("nobody")).await.status, 404);

    // A call is counted when the last owner of its answer is dropped, shortly after the last byte.
    until("both calls are counted", async || {
        let text = metrics(&site.hosts()[0]).await;
        metric_value(&text, r#"cyclamenstage_requests_total{outcome="answered",service="chat"}"#)
            == 1.0
            && metric_value(
                &text,
                r#"cyclamenstage_requests_total{outcome="refused",service="none"}"#,
            ) == 1.0
    })
    .await;
    let text = metrics(&site.hosts()[0]).await;
    let gaps = r#"cyclamenstage_between_tokens_seconds_count{service="chat"}"#;
    assert_eq!(metric_value(&text, gaps), (TOKENS - 1) as f64, "{text}");
    let first = r#"cyclamenstage_first_token_seconds_count{service="chat"}"#;
    assert_eq!(metric_value(&text, first), 1.0, "{text}");
    let refusals = r#"cyclamenstage_refusals_total{cause="unknown-model",service="none"}"#;
    assert_eq!(metric_value(&text, refusals), 1.0, "{text}");
    assert_eq!(metric_value(&text, r#"cyclamenstage_in_flight{service="chat"}"#), 0.0, "{text}");
    assert_eq!(metric_value(&text, "cyclamenstage_configuration"), 1.0, "{text}");
    assert_eq!(metric_value(&text, "cyclamenstage_platform_up"), 1.0, "{text}");
    assert!(
        0.0 < metric_value(&text, r#"cyclamenstage_control_bytes_total{direction="in""#),
        "{text}"
    );
    site.shut_down().await;
}

#[tokio::test]
async fn outage_of_the_platform_shows_and_passes() {
    let site = site().await;
    let up = async |expected: f64| {
        metric_value(&metrics(&site.hosts()[1]).await, "cyclamenstage_platform_up") == expected
    };

    site.platform.fault(|fault| fault.down = true);
    until("the platform is reported down", async || up(0.0).await).await;
    site.platform.fault(|fault| fault.down = false);
    until("the platform is reported up", async || up(1.0).await).await;

    let states: Vec<PlatformState> = records(&site.hosts()[1], "")
        .await
        .into_iter()
        .filter_map(|record| match record.event.kind {
            Kind::Platform { platform } => Some(platform),
            _ => None,
        })
        .collect();
    assert_eq!(states, [PlatformState::Up, PlatformState::Down, PlatformState::Up]);
    site.shut_down().await;
}

#[tokio::test]
async fn timeline_follows_one_request_in_order() {
    let site = site().await;
    let answer = post_chat(site.hosts()[0].callers(), &chat("welcome")).await;
    let other = post_chat(site.hosts()[0].callers(), &chat("welcome")).await;
    let id = request_id(&answer);
    assert_ne!(id, request_id(&other));

    let ended = Kind::Answer { outcome: Outcome::Answered };
    let query = format!("request={id}");
    until("the request's end is recorded", async || {
        records(&site.hosts()[0], &query).await.iter().any(|record| record.event.kind == ended)
    })
    .await;
    let kinds: Vec<Kind> = records(&site.hosts()[0], &query)
        .await
        .into_iter()
        .map(|record| record.event.kind)
        .collect();

    let expected = [Kind::Request { service: "chat".into() }, Kind::Attempt { attempt: 0 }, ended];
    assert_eq!(kinds, expected);
    site.shut_down().await;
}

#[tokio::test]
async fn timelines_of_all_hosts_merge_into_one() {
    let site = site().await;
    let mut all = records(&site.hosts()[0], "").await;
    all.extend(records(&site.hosts()[1], "").await);
    let count = all.len();

    let merged = merge::merge(all);

    assert_eq!(merged.len(), count);
    assert!(merged.is_sorted_by_key(|record| record.at));
    let hosts: BTreeSet<&str> = merged.iter().map(|record| &*record.host).collect();
    assert_eq!(hosts, BTreeSet::from(["host-0", "host-1"]));
    for host in ["host-0", "host-1"] {
        let of_host = || merged.iter().filter(|record| &*record.host == host);
        assert!(of_host().any(|r| r.event.kind == Kind::Start), "{host}");
        assert!(of_host().any(|r| r.event.kind == Kind::Configuration { number: 1 }), "{host}");
    }
    site.shut_down().await;
}

/// A heartbeat from a host whose clock is five seconds ahead advances the receiver's clock, so that
/// its next records have later stamps.
#[tokio::test]
async fn heartbeats_carry_the_clock_from_host_to_host() {
    let site = site().await;
    let host = &site.hosts()[0];
    let future = Stamp::from_wall(SystemTime::now() + Duration::from_secs(5));
    let sender = Host { id: "stranger".into(), ..site.hosts()[1].host.clone() };
    let rules = policy::member::Settings::default();
    let mut gossip = Gossip::new(Duration::ZERO, rules, 1, sender, 1);
    let heartbeat = Heartbeat { stamp: future.0, ..gossip.hello(Duration::from_secs(1)) };
    let client = peer::Builder::new().build();

    let answer = client.heartbeat(host.host.peers, heartbeat).await.expect("the host answers");
    let call = post_chat(host.callers(), &chat("welcome")).await;

    assert!(future < Stamp(answer.stamp));
    let query = format!("request={}", request_id(&call));
    let records = records(host, &query).await;
    assert!(!records.is_empty() && records.iter().all(|record| future < record.at), "{records:?}");
    site.shut_down().await;
}

#[rstest]
#[case::text("form=text", "start")]
#[case::page("form=page", "<!doctype html>")]
#[tokio::test]
async fn timeline_has_forms_for_people(#[case] query: &str, #[case] expected: &str) {
    let site = site().await;
    let uri = format!("/timeline?{query}");
    let answer = send(site.hosts()[0].operators(), "GET", &uri, &[], "").await;
    assert!(answer.text().contains(expected), "{}", answer.text());
    site.shut_down().await;
}

#[tokio::test]
async fn timeline_refuses_a_time_it_cannot_read() {
    let site = site().await;
    let uri = "/timeline?from=yesterday";
    let answer = try_send(site.hosts()[0].operators(), "GET", uri, &[], "").await.unwrap();
    assert_eq!(answer.status, 400);
    assert!(answer.text().contains("yesterday"));
    site.shut_down().await;
}
