//! Tests of loans of retries between hosts, and of what a loan pays for.

use policy::dispatch::{
    Answer, Cause, Dispatcher, End, NotRun, RequestSpec, RetryDecision, Ticket, Unclear,
    Unreachable, Verdict,
    budget::loan::{Content, Message},
};
use rstest::rstest;
use types::{prelude::*, routed::Kind};

use crate::fixture::{at, plain, request, sent, server};

const REFUSED: End = End::Unreachable(Unreachable::Refused);

fn servers() -> Vec<String> {
    (0..12).map(|number| format!("s{number}")).collect()
}

/// A host that knows another one, and has used up its retries.
fn short() -> Dispatcher {
    let ids = servers();
    let mut host = plain(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    host.share_among(std::iter::once((&"b".into(), true)), vec!["a".into(), "b".into()], at(0));
    while retry(&mut host, at(0)) {}
    host
}

/// Whether a request whose first attempt didn't run is sent once more.
fn retry(host: &mut Dispatcher, now: Moment) -> bool {
    let ticket = next_ticket(host);
    sent(host.arrive(request(ticket, Kind::Idempotent, now), now));
    let decision = host.attempt_failed(ticket, End::NotRun(NotRun::NotHeld), now);
    host.ended(ticket, End::Cancelled, now);
    matches!(decision, RetryDecision::Send(_))
}

/// A ticket that no earlier request of the host has.
fn next_ticket(host: &Dispatcher) -> Ticket {
    host.retry_totals().iter().map(|(_, used)| used.requests).sum::<u64>() + 1
}

/// The host's request for a loan.
fn loan_request(host: &mut Dispatcher, now: Moment) -> Message {
    host.pump(now);
    let mut outgoing = host.loans_outgoing();
    assert_eq!(outgoing.len(), 1, "{outgoing:?}");
    let (to, message) = outgoing.remove(0);
    assert_eq!((&*to, &*message.service), ("b", "app"));
    message
}

fn grant(message: &Message, count: u32) -> Message {
    Message { content: Content::Grant(count), ..message.clone() }
}

#[rstest]
fn a_host_that_is_short_asks_another_and_uses_its_loan() {
    let mut host = short();
    let request = loan_request(&mut host, at(10));
    host.loan_received(&"b".into(), &grant(&request, 2), at(20));
    assert!(retry(&mut host, at(30)) && retry(&mut host, at(30)));
    assert!(!retry(&mut host, at(30)));
}

#[rstest]
fn a_loan_that_comes_late_is_not_used() {
    let mut host = short();
    let request = loan_request(&mut host, at(10));
    host.loan_received(&"b".into(), &grant(&request, 2), at(510));
    assert!(!retry(&mut host, at(510)));
}

#[rstest]
fn an_answer_that_comes_twice_or_to_an_earlier_ask_lends_nothing() {
    let mut host = short();
    let first = loan_request(&mut host, at(10));
    let second = loan_request(&mut host, at(120));
    host.loan_received(&"b".into(), &grant(&first, 2), at(130));
    assert!(!retry(&mut host, at(130)));
    host.loan_received(&"b".into(), &grant(&second, 1), at(140));
    host.loan_received(&"b".into(), &grant(&second, 1), at(140));
    assert!(retry(&mut host, at(150)) && !retry(&mut host, at(150)));
}

#[rstest]
fn hosts_that_have_nothing_to_lend_are_not_asked_for_a_while() {
    let mut host = short();
    let mut requests = 0;
    for now in (10..1_000).step_by(10).map(at) {
        retry(&mut host, now);
        host.pump(now);
        for (from, message) in host.loans_outgoing() {
            requests += 1;
            host.loan_received(&from, &grant(&message, 0), now);
        }
    }
    assert_eq!(requests, 4);
}

#[rstest]
fn a_host_lends_what_it_does_not_need_and_says_so() {
    let mut host = plain(&["s1"]);
    let request =
        Message { service: "app".into(), requested_at: at(7), content: Content::Request(8) };
    host.loan_received(&"b".into(), &request, at(0));
    assert_eq!(host.loans_outgoing(), [("b".into(), grant(&request, 8))]);
}

/// A loan pays only for a retry that is sent at once: one that waits may arrive when the lender no
/// longer counts the loan.
#[rstest]
fn a_loan_does_not_pay_for_what_waits() {
    let mut host = short();
    let loan = loan_request(&mut host, at(10));
    host.loan_received(&"b".into(), &grant(&loan, 2), at(20));
    let ticket = next_ticket(&host);
    sent(host.arrive(request(ticket, Kind::Idempotent, at(30)), at(30)));
    assert!(matches!(
        host.attempt_failed(ticket, End::NotRun(NotRun::NotHeld), at(30)),
        RetryDecision::Send(_)
    ));
    for id in servers() {
        host.gone(&id.as_str().into(), at(0));
    }
    let decision = host.attempt_failed(ticket, REFUSED, at(40));
    assert!(
        matches!(decision, RetryDecision::GiveUp(Answer::NotRun { cause: Cause::Budget, .. })),
        "{decision:?}"
    );
}

/// The arriving requests pay for retries that the host's share no longer covers a window later.
#[rstest]
fn what_waits_is_given_up_at_once_when_the_share_has_shrunk() {
    let mut host = plain(&["s1"]);
    host.server(&types::routed::Server { slots: 1_000, ..server("s1", "a", &[]) }, at(0));
    let tickets: Vec<Ticket> = (1..=400).collect();
    for ticket in &tickets {
        let deadline = at(20_000);
        sent(host.arrive(
            RequestSpec { deadline, resume: Some(1), ..request(*ticket, Kind::Idempotent, at(0)) },
            at(0),
        ));
    }
    host.gone(&"s1".into(), at(0));
    let waits = |ticket: &&Ticket| {
        host.attempt_failed(**ticket, End::Unclear(Unclear::Cut), at(100)) == RetryDecision::Wait
    };
    let waiting = tickets.iter().filter(waits).count();
    host.server(&types::routed::Server { slots: 1_000, ..server("s2", "a", &[]) }, at(11_000));
    let changes = host.pump(at(11_000));
    let left = changes.iter().filter(|change| matches!(change.verdict, Verdict::Send(_))).count();
    assert!(0 < left && left < waiting, "{left} of {waiting} waiting requests sent");
    assert!(
        left <= 40,
        "{left} retries sent although the requests of the last window pay for none"
    );
    assert_eq!(changes.len(), waiting, "some waiting requests got no final verdict");
}
