//! The routed path's metrics as Prometheus text.

use std::time::Duration;

use observe::{
    Metrics,
    metrics::routed::{
        AttemptOutcome, Break, Call, CallResult, Obstacle, Phase, Queue, Refusal, Resend, Routed,
    },
    story::{Answer, Outcome},
};
use rstest::rstest;
use types::routed::Kind;

fn value(text: &str, series: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.split(' ').next() == Some(series))?;
    line.rsplit(' ').next()?.parse().ok()
}

fn record_all(routed: &Routed) {
    routed.request(Kind::Stream, Outcome::Late);
    routed.request(Kind::Stream, Outcome::Late);
    routed.request(Kind::NonIdempotent, Outcome::Unclear);
    routed.refusal(Refusal::TooLate);
    routed.cut(Break::ServerCut, Obstacle::Budget);
    routed.attempt(AttemptOutcome::Garbled);
    routed.resend(Resend::Resume);
    routed.phase(Kind::Stream, Phase::First, Duration::from_millis(350));
    routed.report_age(Duration::from_millis(210));
    routed.declaration(12, Duration::from_millis(1500));
    routed.queue(Queue::Waiting, 7);
    routed.call(Call::Replace, CallResult::Conflict);
    routed.order(Answer::None);
    routed.lease("placement", Some(41));
    routed.lease("placement", None);
    routed.budget(&"chat".into(), 3.5);
    routed.budget_spent(&"chat".into(), 7);
    routed.budget_hosts(6);
    routed.exchange_lost(4);
    routed.exchange_refused(9);
}

#[rstest]
#[case(r#"requests_total{kind="stream",outcome="late"}"#, 2.0)]
#[case(r#"requests_total{kind="non-idempotent",outcome="unclear"}"#, 1.0)]
#[case(r#"refusals_total{cause="too-late"}"#, 1.0)]
#[case(r#"cuts_total{cause="budget",why="server-cut"}"#, 1.0)]
#[case(r#"attempts_total{end="garbled"}"#, 1.0)]
#[case(r#"again_total{how="resume"}"#, 1.0)]
#[case(r#"phase_seconds_bucket{kind="stream",phase="first",le="0.3"}"#, 0.0)]
#[case(r#"phase_seconds_bucket{kind="stream",phase="first",le="0.4"}"#, 1.0)]
#[case(r#"report_age_seconds_bucket{le="0.3"}"#, 1.0)]
#[case("declaration", 12.0)]
#[case("declaration_age_seconds", 1.5)]
#[case(r#"queue{queue="waiting"}"#, 7.0)]
#[case(r#"store_calls_total{call="replace",result="conflict"}"#, 1.0)]
#[case(r#"orders_total{answer="none"}"#, 1.0)]
#[case(r#"lease{duty="placement"}"#, 0.0)]
#[case(r#"term{duty="placement"}"#, 41.0)]
#[case(r#"budget{service="chat"}"#, 3.5)]
#[case(r#"budget_spent{service="chat"}"#, 7.0)]
#[case("budget_hosts", 6.0)]
#[case("exchange_lost", 4.0)]
#[case("exchange_refused", 9.0)]
fn each_is_shown_by_its_labels(#[case] series: &str, #[case] expected: f64) {
    let metrics = Metrics::new().unwrap();
    record_all(&metrics.routed());

    let text = metrics.text().unwrap();
    assert_eq!(value(&text, &format!("cyclamenstage_routed_{series}")), Some(expected), "{text}");
}

#[test]
fn names_that_are_not_bounded_end_in_one_series() {
    let metrics = Metrics::new().unwrap();
    let routed = metrics.routed();
    (0..1000).for_each(|number| routed.budget(&format!("s{number}").into(), 1.0));

    let text = metrics.text().unwrap();
    let series = text.lines().filter(|line| line.starts_with("cyclamenstage_routed_budget{"));
    assert!(series.count() <= 257);
}

#[test]
fn records_left_out_of_the_log_are_shown() {
    let metrics = Metrics::new().unwrap();
    metrics.watch_log();

    let text = metrics.text().unwrap();
    assert_eq!(
        value(&text, r#"cyclamenstage_log_dropped_total{cause="full"}"#),
        Some(0.0),
        "{text}"
    );
}
