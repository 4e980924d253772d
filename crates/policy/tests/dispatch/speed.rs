//! Tests of single decisions that depend on the speed of servers.

use std::collections::BTreeMap;

use policy::dispatch::{Dispatcher, End, RequestSpec, Ticket, Verdict, speed::Sum};
use rstest::rstest;
use types::{
    prelude::*,
    routed::{Kind, Server, ServerLoad},
};

use crate::fixture::{at, generation, host, load, plain, request, sent, server};

const USUAL_MS: u64 = 30;
/// Requests that three servers with two slots run and queue.
const PLACES: u64 = 9;

/// Serves as many requests at once as the servers have places for; `s1` takes `s1_ms`, other servers
/// take the usual time. Returns how many each server got.
fn rush(
    host: &mut Dispatcher,
    from: Ticket,
    now: Moment,
    s1_ms: u64,
) -> BTreeMap<backend::Id, u32> {
    let mut sent_to = BTreeMap::new();
    let mut ends = Vec::new();
    for ticket in from..from + PLACES {
        match host.arrive(request(ticket, Kind::NonIdempotent, now), now) {
            Verdict::Send(server) => {
                *sent_to.entry(server.clone()).or_default() += 1;
                let took = if &*server == "s1" { s1_ms } else { USUAL_MS };
                ends.push((now + at(took), ticket, End::Completed));
            }
            _ => ends.push((now, ticket, End::Cancelled)),
        }
    }
    ends.sort_by_key(|(end, ticket, _)| (*end, *ticket));
    for (at, ticket, end) in ends {
        host.ended(ticket, end, at);
        host.pump(at);
    }
    sent_to
}

/// Servers that get `count` requests at the same moment.
fn fill(host: &mut Dispatcher, from: Ticket, count: u64, now: Moment) -> Vec<backend::Id> {
    let verdicts =
        (from..from + count).map(|n| host.arrive(request(n, Kind::NonIdempotent, now), now));
    let servers: Vec<_> = verdicts
        .filter_map(|verdict| match verdict {
            Verdict::Send(server) => Some(server),
            _ => None,
        })
        .collect();
    (from..from + count).for_each(|ticket| host.ended(ticket, End::Cancelled, now));
    servers
}

fn state(host: &mut Dispatcher, id: &str, slowdown: f64, now: Moment) {
    let load = ServerLoad { slowdown: Some(slowdown), ..load(0, 0, 2) };
    host.server_load(&id.into(), load, now);
}

/// Sums of `s1` being slower than `s2` and `s3` by the logarithm `log`, over 200 samples each.
fn sums(log: f64) -> BTreeMap<backend::Id, Sum> {
    let sum = |log: f64| Sum { total: log * 200.0, count: 200.0 };
    [("s1", log), ("s2", 0.0), ("s3", 0.05)].map(|(id, log)| (id.into(), sum(log))).into()
}

/// Guards against a breaker that trips on a server because it has always been slow.
#[rstest]
fn a_server_that_is_always_slow_keeps_its_requests(#[values(60, 120, 200)] s1_ms: u64) {
    let mut host = plain(&["s1", "s2", "s3"]);
    host.set_speed_sums(&sums((s1_ms as f64 / USUAL_MS as f64).ln()));
    host.pump(at(300));
    for round in 1..40 {
        let sent_to = rush(&mut host, round * 10, at(round * 500), s1_ms);
        assert!(sent_to.contains_key("s1"), "round {round}: {sent_to:?}");
    }
}

/// Guards against a breaker that no longer trips on a server that becomes much slower than before.
#[rstest]
fn a_server_that_becomes_slow_is_left_alone() {
    let mut host = plain(&["s1", "s2", "s3"]);
    for round in 1..40 {
        rush(&mut host, round * 10, at(round * 500), USUAL_MS);
    }
    let rounds = (40..60).map(|round| rush(&mut host, round * 10, at(round * 500), 400));
    let without = rounds.filter(|sent_to| !sent_to.contains_key("s1")).count();
    assert!(5 < without, "s1 got requests in all but {without} rounds");
}

/// Guards against a momentary figure that counts for longer than figures hold.
#[rstest]
fn a_stated_slowdown_counts_while_it_is_fresh() {
    let mut host = plain(&["s1", "s2"]);
    for n in 0..20 {
        state(&mut host, "s1", if n % 2 == 0 { 2.5 } else { 1.0 }, at(n * 200));
    }
    state(&mut host, "s1", 2.5, at(4_000));
    for n in 0..8 {
        let now = at(4_000 + n);
        assert_eq!(fill(&mut host, n, 1, now), ["s2".into()], "{n} ms after the figure");
    }
    let later = (100..200).flat_map(|n| fill(&mut host, n, 1, at(9_000 + n)));
    assert!(later.collect::<Vec<_>>().contains(&"s1".into()));
}

/// Guards against hedges of requests whose server has said that it is slow for the moment.
#[rstest]
#[case::silent_about_its_speed(None, 500, 1_000)]
#[case::slow_now(Some(8.0), 1_100, 2_500)]
fn a_request_at_a_server_that_states_a_slowdown_is_hedged_later(
    #[case] slowdown: Option<f64>,
    #[case] earliest: u64,
    #[case] latest: u64,
) {
    let mut host = plain(&["s1"]);
    sent(host.arrive(request(0, Kind::Idempotent, at(0)), at(0)));
    host.server(&server("s2", "b", &[]), at(1));
    let hedged_at = (1..150).map(|n| n * 20).find(|millis| {
        // The figure comes with responses to other hosts' requests through this one.
        if let Some(slowdown) = slowdown {
            state(&mut host, "s1", slowdown, at(*millis));
        }
        host.pump(at(*millis)).iter().any(|change| change.verdict == Verdict::Hedge)
    });
    let hedged_at = hedged_at.expect("the request is hedged");
    assert!((earliest..latest).contains(&hedged_at), "hedged after {hedged_at} ms");
}

/// Guards against prompts that a slow server can't prefill within the allowed pause.
#[rstest]
#[case::usual(1.0, true)]
#[case::slow(2.5, false)]
fn a_slow_server_gets_fewer_prompts_within_a_pause(#[case] slowdown: f64, #[case] is_sent: bool) {
    let mut host = host();
    host.server(&Server { slots: 8, ..server("s1", "a", &[("m1", &[])]) }, at(0));
    state(&mut host, "s1", slowdown, at(1));
    let pause = Some(Duration::from_millis(250));
    let prompt = |ticket| RequestSpec { input: 1_200, pause, ..generation(ticket, "m1", at(1)) };
    sent(host.arrive(prompt(0), at(1)));
    let verdict = host.arrive(prompt(1), at(1));
    assert_eq!(matches!(verdict, Verdict::Send(_)), is_sent, "{verdict:?}");
}

/// Guards against sums of another host that exclude a server, or break the order of estimates.
#[rstest]
#[case::huge(Sum { total: f64::MAX, count: 200.0 })]
#[case::infinite(Sum { total: f64::INFINITY, count: 200.0 })]
#[case::not_a_number(Sum { total: f64::NAN, count: 200.0 })]
#[case::no_count(Sum { total: 500.0, count: 0.0 })]
#[case::huge_count(Sum { total: 1e300, count: 1e300 })]
#[case::negative(Sum { total: -1e300, count: 1e9 })]
fn a_false_sum_changes_an_estimate_within_its_bounds_only(#[case] sum: Sum) {
    let mut host = plain(&["s1", "s2", "s3"]);
    let mut sums = sums(0.7);
    sums.insert("s1".into(), sum);
    host.set_speed_sums(&sums);
    host.pump(at(300));
    let factors = host.speed_factors();
    assert!(factors.values().all(|factor| (0.25..=8.0).contains(factor)), "{factors:?}");
    let servers = fill(&mut host, 1, PLACES, at(400));
    assert!(servers.contains(&"s1".into()), "{servers:?}");
}

/// Guards against a run that inherits the factor of the run before it.
#[rstest]
fn a_restarted_server_starts_without_a_factor() {
    let mut host = plain(&["s1", "s2", "s3"]);
    host.set_speed_sums(&sums(1.0));
    host.pump(at(300));
    assert!(host.speed_factors().contains_key("s1"));
    host.set_speed_sums(&BTreeMap::new());
    host.server(&Server { started_at: 9, ..server("s1", "a", &[]) }, at(400));
    host.pump(at(700));
    assert_eq!(host.speed_factors(), BTreeMap::new());
}
