//! Tests of streams of which the caller has a part: they can't be refused any more.

use std::collections::BTreeSet;

use policy::dispatch::{
    Change, Dispatcher, End, NotRun, RequestSpec, RetryDecision, Silence, Ticket, Unclear,
    Unreachable, Verdict,
    poison::{SETTLE_TIME, Standing},
};
use rstest::rstest;
use types::{prelude::*, routed::Kind};

use crate::fixture::{at, plain, report, request, sent, server};

const CUT: End = End::Unclear(Unclear::Cut);
const FULL: End = End::NotRun(NotRun::Full);

/// Time of the streams.
const DEADLINE: Duration = Duration::from_secs(15);

fn stream(ticket: Ticket) -> RequestSpec {
    let request = request(ticket, Kind::Stream, at(0));
    RequestSpec { resumable: true, attempts: 2, deadline: DEADLINE, ..request }
}

/// A host with a stream that has begun at `s1`, under the ticket 1, and further servers.
fn begun(others: &[&str]) -> Dispatcher {
    let mut host = plain(&["s1"]);
    assert_eq!(&*sent(host.arrive(stream(1), at(0))), "s1");
    go_on(&mut host, 1, 1, at(10));
    others.iter().for_each(|id| host.server(&server(id, "a", &[]), at(11)));
    host
}

/// The server of an attempt sends an event.
fn go_on(host: &mut Dispatcher, ticket: Ticket, event: u64, now: Moment) {
    host.response_started(ticket, now);
    host.first_byte(ticket, now);
    host.delivered(ticket, event, now);
}

/// Where and when a stream goes on after a decision; `None` if it doesn't until `until`.
fn next(
    host: &mut Dispatcher,
    decision: RetryDecision,
    now: Moment,
    until: Moment,
) -> Option<(backend::Id, Moment)> {
    match decision {
        RetryDecision::Send(server) => return Some((server, now)),
        RetryDecision::Wait | RetryDecision::Missing { .. } => {}
        other => panic!("{other:?} at {now:?}"),
    }
    let pumps = (1..).map(|n| now + at(n * 10)).take_while(|now| *now < until);
    pumps.into_iter().find_map(|now| match host.pump(now).pop()?.verdict {
        Verdict::Send(server) => Some((server, now)),
        other => panic!("{other:?} at {now:?}"),
    })
}

/// A stream ended once each of the servers that its route allows had failed, though they were in order.
#[rstest]
fn a_stream_returns_to_the_servers_that_its_route_allows(
    #[values(CUT, End::Unclear(Unclear::Silent), End::Unclear(Unclear::Garbled))] end: End,
) {
    let mut host = begun(&["s2", "s3"]);
    let (mut servers, mut now) = (BTreeSet::from(["s1".into()]), at(100));
    for event in 2..20 {
        let decision = host.attempt_failed(1, end, now);
        let (server, later) = next(&mut host, decision, now, DEADLINE).expect("a server");
        assert!(later <= now + at(400), "{:?} after event {event}", later - now);
        servers.insert(server);
        go_on(&mut host, 1, event, later + at(5));
        now = later + at(300);
    }
    assert_eq!(servers.len(), 2, "{servers:?}");
}

/// Spends the retries of the service at this time.
fn spend(host: &mut Dispatcher, now: Moment) {
    let is_spent = (100..2_000).any(|ticket| {
        let request = RequestSpec { resume: Some(1), ..request(ticket, Kind::Idempotent, now) };
        let is_sent = matches!(host.arrive(request, now), Verdict::Send(_));
        let decision = is_sent.then(|| host.attempt_failed(ticket, End::ServerError, now));
        host.ended(ticket, End::Cancelled, now);
        matches!(decision, Some(RetryDecision::GiveUp(_)))
    });
    assert!(is_spent, "the budget is never spent");
}

/// A stream ended at once when no retry was left, though it had seconds to wait for one.
#[rstest]
fn a_stream_waits_until_a_retry_is_left() {
    let mut host = begun(&["s2", "s3", "s4", "s5", "s6", "s7"]);
    spend(&mut host, at(20));
    let decision = host.attempt_failed(1, CUT, at(30));
    let (_, now) = next(&mut host, decision, at(30), DEADLINE).expect("a server");
    assert!(at(9_000) < now, "within the window of the budget: {now:?}");
}

/// A stream ended on a late host, which a request that has not begun is refused by.
#[rstest]
fn a_stream_goes_on_at_a_late_host() {
    let mut host = begun(&["s2"]);
    host.set_lateness(at(3_000));
    let decision = host.attempt_failed(1, CUT, at(13_000));
    assert!(next(&mut host, decision, at(13_000), DEADLINE).is_some());
}

/// The time to read the prompt anew, an estimate, was taken off the time of a stream that waits.
#[rstest]
fn a_stream_with_a_long_prompt_goes_on_near_its_deadline() {
    let mut host = plain(&[]);
    host.server(&server("s1", "a", &[("m", &[])]), at(0));
    let spec = RequestSpec { model: Some("m".into()), input: 20_000, ..stream(1) };
    sent(host.arrive(spec, at(0)));
    go_on(&mut host, 1, 1, at(10));
    let now = DEADLINE - at(600);
    let decision = host.attempt_failed(1, CUT, now);
    assert!(next(&mut host, decision, now, DEADLINE).is_some());
}

/// A hedge avoided the server of the attempt before it for good, even if that had only rejected it.
#[rstest]
#[case::full(FULL)]
#[case::closed(End::Unreachable(Unreachable::Closed))]
fn a_hedge_goes_on_at_a_server_that_did_not_run_the_stream(#[case] end: End) {
    let mut host = begun(&["s2"]);
    let decision = host.attempt_failed(1, CUT, at(20));
    assert_eq!(decision, RetryDecision::Send("s2".into()));
    assert_eq!(host.hedge(1, 2, Silence::Timeout, at(700)), Some("s1".into()));
    assert_eq!(host.attempt_failed(1, end, at(900)), RetryDecision::InFlight);
    host.gone(&"s1".into(), at(1_000));
    let decision = host.attempt_failed(2, CUT, at(1_010));
    let next = next(&mut host, decision, at(1_010), DEADLINE);
    assert_eq!(next.map(|(server, _)| server), Some("s2".into()));
}

/// Its caller waited for nothing until its deadline.
#[rstest]
fn a_stream_that_no_server_may_continue_ends_at_once() {
    let mut host = begun(&["s2", "s3"]);
    let decision = host.attempt_failed(1, CUT, at(20));
    let RetryDecision::Send(second) = decision else { panic!("{decision:?}") };
    go_on(&mut host, 1, 2, at(30));
    [&second, &"s1".into()].iter().for_each(|server| host.gone(server, at(40)));
    let decision = host.attempt_failed(1, CUT, at(50));
    assert!(matches!(decision, RetryDecision::GiveUp(_)), "{decision:?}");
}

/// A stream that three servers break off, at this time after its arrival.
fn broken_off_by_three() -> (Dispatcher, RetryDecision, Moment) {
    let mut host = plain(&["s1", "s2", "s3", "s4"]);
    sent(host.arrive(RequestSpec { attempts: 4, ..stream(1) }, at(0)));
    let mut now = at(0);
    for event in 1..3 {
        go_on(&mut host, 1, event, now + at(5));
        let decision = host.attempt_failed(1, CUT, now + at(10));
        (_, now) = next(&mut host, decision, now + at(10), DEADLINE).expect("a server");
    }
    go_on(&mut host, 1, 3, now + at(5));
    let decision = host.attempt_failed(1, CUT, now + at(10));
    assert_eq!(host.poison().standing(1), Standing::Poison);
    (host, decision, now + at(10))
}

/// It ended as poison at its third break, though its servers went on to run.
#[rstest]
fn a_stream_goes_on_when_the_crashes_at_its_breaks_are_voided() {
    let (mut host, decision, now) = broken_off_by_three();
    // The servers accept connections, so they have not crashed.
    let later = now + at(200);
    for (other, server) in (100..).zip(["s1", "s2", "s3", "s4"]) {
        host.poison_mut().crashed(other, &server.into(), later, later + at(10));
    }
    assert!(next(&mut host, decision, later + at(10), DEADLINE).is_some());
}

#[rstest]
fn a_stream_that_crashes_servers_reaches_no_more_of_them() {
    let (mut host, decision, now) = broken_off_by_three();
    assert_eq!(decision, RetryDecision::Wait);
    assert_eq!(host.pump(now + SETTLE_TIME / 2), []);
    let changes = host.pump(now + SETTLE_TIME);
    assert!(matches!(changes[..], [Change { ticket: 1, verdict: Verdict::Quarantined }]));
}

/// Its model was loaded at a server that the route did not allow it to go to.
#[rstest]
fn no_model_is_loaded_for_a_stream_that_may_go_to_no_further_server() {
    let mut host = plain(&[]);
    host.server(&server("s1", "a", &[("m", &[])]), at(0));
    host.server(&server("s2", "a", &[]), at(0));
    let spec = RequestSpec { model: Some("m".into()), attempts: 1, ..stream(1) };
    sent(host.arrive(spec, at(0)));
    go_on(&mut host, 1, 1, at(10));
    host.report(&"s1".into(), &report(0, &[]), at(20));
    let decision = host.attempt_failed(1, CUT, at(30));
    assert_eq!(decision, RetryDecision::Wait);
    assert_eq!(host.missing(), []);
}

/// A server that breaks off was sent the stream again every 150 ms while another one was silent.
#[rstest]
fn hedges_of_a_stream_go_on_at_a_server_that_breaks_off_after_a_pause() {
    let mut host = begun(&["s2"]);
    for ticket in 1_000..2_000 {
        let verdict = host.arrive(request(ticket, Kind::Idempotent, at(20)), at(20));
        host.ended(ticket, End::Cancelled, at(20));
        assert!(matches!(verdict, Verdict::Send(_)));
    }
    let mut sent = Vec::new();
    for now in (1_300..9_000).step_by(10).map(at) {
        let ticket = 100 + sent.len() as Ticket;
        if host.hedge(1, ticket, Silence::Timeout, now).is_some() {
            sent.push(now);
            assert_eq!(host.attempt_failed(ticket, CUT, now + at(5)), RetryDecision::InFlight);
        }
    }
    let gaps: Vec<Duration> = sent.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(5 < gaps.len(), "{gaps:?}");
    assert!(gaps[5..].iter().all(|gap| at(500) <= *gap), "{gaps:?}");
}
