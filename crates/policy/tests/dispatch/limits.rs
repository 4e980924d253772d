//! Tests of servers that name a rate limit: which requests they get, and which wait or are refused.

use policy::dispatch::{Cause, Dispatcher, End, NotRun, RequestSpec, Ticket, Verdict};
use rstest::rstest;
use types::{
    prelude::*,
    routed::{Kind, Rate},
};

use crate::fixture::{TIMEOUT, at, plain, request, sent};

/// Time in milliseconds at which servers name their limits. A host lends no share of its own right
/// after its start.
const NAMED: u64 = 10_000;

/// A host with servers without models; `limits` are those that name a limit.
fn limited(ids: &[&str], limits: &[(&str, f64)]) -> Dispatcher {
    let mut host = plain(ids);
    for (id, limit) in limits {
        let limit = Rate::per_second(*limit);
        host.limit_named(&(*id).into(), limit, at(NAMED - 10), at(NAMED))
            .expect("the limit changes");
    }
    host.pump(at(NAMED));
    host
}

fn page(ticket: Ticket, millis: u64) -> RequestSpec {
    request(ticket, Kind::Idempotent, at(millis))
}

/// Requests sent, with their time in milliseconds and server, and requests refused, with the time
/// that they waited, the cause and the delay before a retry.
#[derive(Default)]
struct Played {
    sent: Vec<(u64, backend::Id)>,
    refused: Vec<(Duration, Cause, Duration)>,
}

/// Simulates requests that arrive every `every` ms until `until` and end 30 ms after they are sent.
fn play(host: &mut Dispatcher, every: u64, until: u64) -> Played {
    let mut played = Played::default();
    let mut in_flight: Vec<(u64, Ticket)> = Vec::new();
    let mut arrived_at = std::collections::BTreeMap::new();
    for now in (NAMED..until).step_by(5) {
        let mut verdicts = Vec::new();
        if (now - NAMED).is_multiple_of(every) {
            arrived_at.insert(now, now);
            verdicts.push((now, host.arrive(page(now, now), at(now))));
        }
        in_flight.retain(|(end, ticket)| {
            let is_over = *end <= now;
            if is_over {
                host.ended(*ticket, End::Completed, at(now));
            }
            !is_over
        });
        let changes = host.pump(at(now)).into_iter();
        verdicts.extend(changes.map(|change| (change.ticket, change.verdict)));
        for (ticket, verdict) in verdicts {
            match verdict {
                Verdict::Send(server) => {
                    played.sent.push((now, server));
                    in_flight.push((now + 30, ticket));
                }
                Verdict::Refuse { cause, after } => {
                    played.refused.push((at(now - arrived_at[&ticket]), cause, after));
                }
                _ => {}
            }
        }
    }
    played
}

#[test]
fn what_a_limited_server_cannot_take_goes_to_others_at_once() {
    let mut host = limited(&["s1", "s2"], &[("s1", 2.0)]);
    let played = play(&mut host, 50, NAMED + 10_000);
    let to = |id: &str| played.sent.iter().filter(|(_, server)| **server == *id).count();
    assert_eq!(played.refused, []);
    assert_eq!(to("s1") + to("s2"), 200);
    assert!((1..=22).contains(&to("s1")), "{} requests in 10 s", to("s1"));
}

#[test]
fn a_limit_is_used_while_more_is_asked_for() {
    let mut host = limited(&["s1", "s2"], &[("s1", 4.0), ("s2", 4.0)]);
    let played = play(&mut host, 50, NAMED + 12_000);
    let since = |from: u64| played.sent.iter().filter(|(at, _)| from < *at).count() as f64;
    let used = since(NAMED + 2_000) / (10.0 * 8.0);
    assert!((0.9..=1.0).contains(&used), "{used} of the permits used");
}

#[test]
fn what_no_limited_server_can_serve_in_time_is_refused_at_once() {
    let mut host = limited(&["s1"], &[("s1", 1.0)]);
    let played = play(&mut host, 50, NAMED + 10_000);
    let late = played.refused.iter().filter(|(waited, ..)| TIMEOUT / 4 < *waited).count();
    assert_eq!(late, 0, "{:?}", played.refused);
    let at_once = played.refused.iter().filter(|(waited, ..)| *waited <= at(20)).count();
    // The few requests that are refused later could still have got a permit when they arrived.
    assert!(played.refused.len() * 8 / 10 <= at_once, "{at_once} of {}", played.refused.len());
    assert!(played.refused.iter().all(|(_, cause, after)| {
        *cause == Cause::Limit && TIMEOUT / 12 <= *after && *after <= TIMEOUT / 3
    }));
}

/// Requests that wait when a limit falls are refused then, and not when their time is over.
#[test]
fn what_waits_in_vain_once_a_limit_falls_is_refused_at_once() {
    let mut host = limited(&["s1"], &[("s1", 20.0)]);
    for ticket in 0..6 {
        assert_eq!(host.arrive(page(ticket, NAMED), at(NAMED)), Verdict::Wait);
    }
    host.pump(at(NAMED + 10));
    host.limit_named(&"s1".into(), Rate::per_second(0.3), at(NAMED + 5), at(NAMED + 20));
    let changes = (NAMED + 20..NAMED + 200).step_by(10).flat_map(|now| host.pump(at(now)));
    let refused = changes
        .filter(|change| matches!(change.verdict, Verdict::Refuse { cause: Cause::Limit, .. }));
    assert!(
        5 <= refused.count(),
        "at least five of six requests can't start within their goal and must be refused"
    );
}

#[test]
fn a_server_that_takes_none_is_tried_now_and_then() {
    let mut host = limited(&["s1"], &[("s1", 0.0)]);
    let played = play(&mut host, 100, NAMED + 30_000);
    assert!((2..=10).contains(&played.sent.len()), "{} requests in 30 s", played.sent.len());
}

#[test]
fn the_urgent_get_the_permits_first() {
    let mut host = limited(&["s1"], &[("s1", 4.0)]);
    for (ticket, priority) in [(1, 5), (2, 0), (3, 3)] {
        let request = RequestSpec { priority, ..page(ticket, NAMED) };
        assert_eq!(host.arrive(request, at(NAMED)), Verdict::Wait, "{ticket}");
    }
    let mut order = Vec::new();
    for now in (NAMED..NAMED + 900).step_by(5) {
        let changes = host.pump(at(now)).into_iter();
        order.extend(changes.filter_map(|change| match change.verdict {
            Verdict::Send(_) => Some(change.ticket),
            _ => None,
        }));
    }
    assert_eq!(order.first(), Some(&2), "{order:?}");
}

/// Each attempt takes a permit, regardless of earlier attempts of the request.
#[rstest]
#[case::rejected(End::NotRun(NotRun::Full))]
#[case::cut(End::Unclear(policy::dispatch::Unclear::Cut))]
fn an_attempt_after_another_takes_a_permit_too(#[case] end: End) {
    let mut host = limited(&["s1", "s2"], &[("s2", 2.0)]);
    let first = (1..).find(|ticket| {
        let verdict = host.arrive(page(*ticket, NAMED + 3_000), at(NAMED + 3_000));
        *sent(verdict) == *"s1"
    });
    let before = host.quotas().counts().used;
    let decision =
        host.attempt_failed(first.expect("some request is sent to s1"), end, at(NAMED + 3_010));
    let is_sent =
        matches!(decision, policy::dispatch::RetryDecision::Send(ref id) if **id == *"s2");
    assert_eq!(host.quotas().counts().used - before, u64::from(is_sent), "{decision:?}");
}

/// A limited server that rejects all requests still gets as many as its limit allows in the last 10
/// s.
#[test]
fn rejections_of_a_limited_server_put_it_in_no_doubt() {
    let mut host = limited(&["s1", "s2"], &[("s1", 5.0)]);
    let mut rejected = Vec::new();
    let mut in_flight = Vec::new();
    for now in (NAMED..NAMED + 20_000).step_by(5) {
        in_flight.retain(|(end, ticket)| {
            let is_over = *end <= now;
            if is_over {
                host.ended(*ticket, End::Completed, at(now));
            }
            !is_over
        });
        let mut verdicts = Vec::new();
        if now.is_multiple_of(25) {
            verdicts.push((now, host.arrive(page(now, now), at(now))));
        }
        let changes = host.pump(at(now)).into_iter();
        verdicts.extend(changes.map(|change| (change.ticket, change.verdict)));
        for (ticket, verdict) in verdicts {
            match verdict {
                Verdict::Send(server) if *server == *"s1" => {
                    rejected.push(now);
                    host.ended(ticket, End::NotRun(NotRun::Full), at(now));
                }
                Verdict::Send(_) => in_flight.push((now + 30, ticket)),
                _ => {}
            }
        }
    }
    let late = rejected.iter().filter(|at| NAMED + 10_000 < **at).count();
    assert!(30 <= late, "{late} requests in the last 10 s");
}

/// A server with a tripped breaker is used if the only other one is limited and has no permit.
#[test]
fn a_server_in_doubt_is_used_where_the_others_are_limited() {
    let mut host = limited(&["s1", "s2"], &[("s2", 0.5)]);
    let now = NAMED + 100;
    assert_eq!(*sent(host.arrive(page(1, now), at(now))), *"s1");
    // The cut connection trips the breaker of s1 for a while.
    host.ended(1, End::Unclear(policy::dispatch::Unclear::Cut), at(now + 5));
    assert_eq!(*sent(host.arrive(page(2, now + 10), at(now + 10))), *"s1");
}

#[test]
fn a_limit_ends_with_an_answer_that_names_none() {
    let mut host = limited(&["s1"], &[("s1", 0.5)]);
    let change = host.limit_named(&"s1".into(), None, at(NAMED + 20), at(NAMED + 30));
    assert!(change.is_some());
    let verdict = host.arrive(page(1, NAMED + 40), at(NAMED + 40));
    assert_eq!(sent(verdict), "s1".into());
}

#[test]
fn orders_take_permits() {
    let mut host = limited(&["s1"], &[("s1", 2.0)]);
    assert!(host.take_permit(&"s2".into(), at(NAMED)), "a server without a limit needs no permit");
    let mut taken = 0;
    for now in (NAMED..NAMED + 10_000).step_by(5) {
        taken += u32::from(host.take_permit(&"s1".into(), at(now)));
        host.pump(at(now));
    }
    assert!((16..=22).contains(&taken), "{taken} orders in 10 s");
}
