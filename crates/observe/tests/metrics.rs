//! The host's metrics as Prometheus text.

use std::{sync::Arc, time::Duration};

use observe::{
    Clock, Event, Metrics, Ring,
    event::{Class, Kind, Outcome, PlatformState},
    metrics::{Attainment, Direction, Link, Memory},
};
use rstest::rstest;

fn value(text: &str, series: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(series))?;
    line.rsplit(' ').next()?.parse().ok()
}

#[rstest]
#[case::requests(r#"cyclamenstage_requests_total{outcome="answered",service="portal"}"#, 2.0)]
#[case::attainment(r#"cyclamenstage_attainment_total{result="missed",service="portal"}"#, 1.0)]
#[case::first_token(r#"cyclamenstage_first_token_seconds_bucket{service="portal",le="0.05"}"#, 1.0)]
#[case::between(r#"cyclamenstage_between_tokens_seconds_count{service="portal"}"#, 1.0)]
#[case::limit(r#"cyclamenstage_limit{model="m",server="s"}"#, 7.0)]
#[case::refusals(r#"cyclamenstage_refusals_total{cause="overloaded",service="portal"}"#, 1.0)]
#[case::retries(r#"cyclamenstage_retries_total{cause="cut",service="portal"}"#, 1.0)]
#[case::bytes(r#"cyclamenstage_control_bytes_total{direction="in",link="peers"}"#, 300.0)]
#[case::bytes_out(r#"cyclamenstage_control_bytes_total{direction="out",link="peers"}"#, 20.0)]
#[case::other_link(r#"cyclamenstage_control_bytes_total{direction="in",link="servers"}"#, 7.0)]
#[case::platform(r#"cyclamenstage_platform_calls_total{operation="get",result="ok"}"#, 1.0)]
#[case::up("cyclamenstage_platform_up", 0.0)]
#[case::memory(r#"cyclamenstage_memory{server="s",state="in-doubt"}"#, 4096.0)]
#[case::moves(r#"cyclamenstage_moves_total{cause="demand"}"#, 1.0)]
fn shows_what_was_recorded(#[case] series: &str, #[case] expected: f64) {
    let metrics = Metrics::new().unwrap();
    let (service, server, model) = ("portal".into(), "s".into(), "m".into());
    metrics.request(&service, Outcome::Answered);
    metrics.request(&service, Outcome::Answered);
    metrics.attainment(&service, Attainment::Missed);
    metrics.first_token(&service, Duration::from_millis(40));
    metrics.between_tokens(&service, Duration::from_millis(9));
    metrics.limit(&server, &model, 9);
    metrics.limit(&server, &model, 7);
    metrics.refusal(&service, "overloaded");
    metrics.retry(&service, "cut");
    metrics.watch_bytes(Link::Peers, |direction| match direction {
        Direction::In => 300,
        Direction::Out => 20,
    });
    metrics.watch_bytes(Link::Servers, |_| 7);
    metrics.platform_call("get", "ok");
    metrics.platform(PlatformState::Down);
    metrics.memory(&server, Memory::InDoubt, 4096);
    metrics.moved("demand");

    let text = metrics.text().unwrap();

    assert_eq!(value(&text, series), Some(expected), "{text}");
}

#[test]
fn in_flight_falls_when_the_guard_goes() {
    let metrics = Metrics::new().unwrap();
    let service = "chat".into();
    let series = r#"cyclamenstage_in_flight{service="chat"}"#;

    let first = metrics.in_flight(&service);
    let second = metrics.in_flight(&service);
    assert_eq!(value(&metrics.text().unwrap(), series), Some(2.0));
    drop(first);
    drop(second);

    assert_eq!(value(&metrics.text().unwrap(), series), Some(0.0));
}

#[test]
fn dropped_events_are_counted() {
    let metrics = Metrics::new().unwrap();
    let ring = Arc::new(Ring::new("h".into(), 1, Clock::system()).capacity(Class::Control, 2));
    metrics.watch_ring(&ring);

    (0..5).for_each(|_| {
        ring.record(Event::new(Kind::Start));
    });

    assert_eq!(value(&metrics.text().unwrap(), "cyclamenstage_events_dropped_total"), Some(3.0));
}

#[test]
fn every_server_of_a_large_fleet_keeps_its_own_series() {
    let metrics = Metrics::new().unwrap();
    let servers = 3000;

    for index in 0..servers {
        metrics.limit(&format!("s{index}").into(), &"m".into(), index);
    }

    let text = metrics.text().unwrap();
    let series = text.lines().filter(|line| line.starts_with("cyclamenstage_limit{")).count();
    assert_eq!(series as u64, servers);
}
