//! Admission, choice of a server, limits and accounting together.

use std::collections::BTreeMap;

use policy::{
    admit::{Cause, Refusal, Request, Ticket},
    limit::Algorithm,
    retry::Point,
    route::{Destination, Distances, Eligibility},
    traffic::{Admission, Attempt, Change, End, Requirements, Retry, Rules, Traffic},
};
use rstest::rstest;
use types::{
    prelude::*,
    report::Load,
    resident::{Resident, State},
};

fn millis(n: u64) -> Moment {
    Duration::from_millis(n)
}

fn traffic(servers: u32, limit: u32) -> Traffic {
    let distances = Distances { own: "med-a".into(), other: millis(1), named: BTreeMap::new() };
    let rules = Rules { algorithm: Algorithm::Fixed(limit), ..Rules::default() };
    let mut traffic = Traffic::new(distances, rules);
    for at in 0..servers {
        let server = backend::Server {
            id: format!("lector-{at}").into(),
            group: "lector".into(),
            kind: backend::Kind::Engine,
            zone: "med-a".into(),
            address: "127.0.0.1:1".parse().unwrap(),
        };
        let index = traffic.table.add(&server);
        traffic.table.report(index, &load(&server.id), millis(0));
    }
    traffic
}

fn load(server: &backend::Id) -> Load {
    let unit = Unit::Model { model: "reader".into(), version: "1".into() };
    Load {
        server: server.clone(),
        incarnation: 1,
        sequence: 1,
        age: Duration::ZERO,
        leaving: false,
        running: 0,
        waiting: 0,
        slots: 8,
        step: millis(10),
        prefill_rate: 1000,
        prompt_backlog: 0,
        capacity: 1000,
        residents: vec![Resident { unit, memory: 10, state: State::Ready }],
        fence: 0,
        fenced: true,
        orders: Vec::new(),
        role: order::Role::Whole,
    }
}

fn requirements(
    traffic: &mut Traffic,
    ticket: Ticket,
    priority: Priority,
    due: u64,
) -> Requirements {
    let wanted = traffic.table.destination(&Destination::Model(model::Name::parse("reader")));
    let work = Request {
        ticket,
        priority,
        customer: "buzon".into(),
        customer_share: 1,
        service: "letters".into(),
        service_share: 1,
        wanted,
        pool: traffic.table.pool(wanted),
        due: millis(due),
        spread: ticket,
    };
    Requirements {
        work,
        target: millis(400),
        version: "1".into(),
        prefix: Vec::new(),
        prompt_tokens: 100,
    }
}

fn admit(traffic: &mut Traffic, ticket: Ticket, due: u64, now: u64) -> (Admission, Requirements) {
    let requirements = requirements(traffic, ticket, Priority::Normal, due);
    let admission = traffic.admit(&requirements, millis(now), &mut Vec::new());
    (admission, requirements)
}

fn sent(again: Retry) -> Attempt {
    match again {
        Retry::Sent(attempt) => attempt,
        other => panic!("the retry was not sent: {other:?}"),
    }
}

#[test]
fn a_retry_waits_for_the_only_replica_and_gives_up_when_there_is_none() {
    let mut traffic = traffic(1, 8);
    let (_, requirements) = admit(&mut traffic, 1, 5000, 0);
    let first = traffic.dispatch(&requirements, millis(0)).unwrap();
    traffic.ended(&first, End::Failed(Point::Connect), millis(0));
    let avoid = [first.choice.server];
    assert_eq!(traffic.dispatch_again(&requirements, &avoid, millis(1)), Retry::At(millis(500)));
    assert_eq!(sent(traffic.dispatch_again(&requirements, &avoid, millis(500))).choice.server, 0);
    traffic.table.set_eligibility(0, Eligibility::Gone);
    assert_eq!(traffic.dispatch_again(&requirements, &avoid, millis(900)), Retry::Unready);
}

#[test]
fn a_server_that_started_again_is_trusted_and_its_cache_is_forgotten() {
    let mut traffic = traffic(1, 8);
    traffic.hints.add(5, 0, millis(0));
    traffic.unreachable(0, millis(1));
    assert!(!traffic.table.takes_work(0, millis(2)));
    let again = Load { incarnation: 2, ..load(&"lector-0".into()) };
    traffic.report(0, &again, millis(3));
    assert!(traffic.table.takes_work(0, millis(3)));
    assert!(traffic.hints.is_empty());
}

#[test]
fn reservations_count_before_a_server_is_chosen() {
    let mut traffic = traffic(2, 1);
    assert_eq!(admit(&mut traffic, 1, 5000, 0).0, Admission::Take);
    assert_eq!(admit(&mut traffic, 2, 5000, 0).0, Admission::Take);
    assert_eq!(admit(&mut traffic, 3, 5000, 0).0, Admission::Wait);
}

#[test]
fn work_that_would_queue_on_the_server_waits_here_where_it_can_be_refused() {
    // The server takes nine requests, one more than it has slots, although the limit is 64. Another
    // host uses four of them.
    let mut traffic = traffic(1, 64);
    let load = policy::route::estimate::PeerLoad { requests: 4 };
    traffic.table.set_peer_load(&"host-2".into(), &[("lector-0".into(), load)]);
    for ticket in 0..5 {
        let (admission, requirements) = admit(&mut traffic, ticket, 5000, 0);
        assert_eq!(admission, Admission::Take, "ticket {ticket}");
        traffic.dispatch(&requirements, millis(0)).unwrap();
    }
    assert_eq!(admit(&mut traffic, 9, 5000, 0).0, Admission::Wait);
}

#[test]
fn a_server_that_ends_nothing_any_more_makes_work_refused_at_once() {
    let mut traffic = traffic(1, 8);
    for ticket in 0..8 {
        let (_, requirements) = admit(&mut traffic, ticket, 400, 0);
        let attempt = traffic.dispatch(&requirements, millis(0)).unwrap();
        traffic.ended(&attempt, End::Completed, millis(10));
        traffic.dispatch(&requirements, millis(10)).unwrap();
    }
    let (admission, _) = admit(&mut traffic, 10, 4400, 4000);
    assert!(
        matches!(admission, Admission::Refuse(Refusal { cause: Cause::Late, .. })),
        "{admission:?}"
    );
}

#[test]
fn a_place_that_becomes_free_goes_to_waiting_work() {
    let mut traffic = traffic(1, 1);
    let (_, first) = admit(&mut traffic, 1, 5000, 0);
    let attempt = traffic.dispatch(&first, millis(0)).unwrap();
    assert_eq!(admit(&mut traffic, 2, 5000, 0).0, Admission::Wait);
    assert_eq!(traffic.pump(millis(10)), []);
    traffic.ended(&attempt, End::Completed, millis(20));
    assert_eq!(traffic.pump(millis(20)), [Change::Start(2)]);
}

#[test]
fn a_reservation_that_is_given_back_goes_to_waiting_work() {
    let mut traffic = traffic(1, 1);
    let (_, first) = admit(&mut traffic, 1, 5000, 0);
    admit(&mut traffic, 2, 5000, 0);
    traffic.release(first.work.pool);
    assert_eq!(traffic.pump(millis(1)), [Change::Start(2)]);
}

#[test]
fn a_failed_server_is_left_out_and_the_retry_goes_elsewhere() {
    let mut traffic = traffic(2, 8);
    let (_, requirements) = admit(&mut traffic, 1, 5000, 0);
    let first = traffic.dispatch(&requirements, millis(0)).unwrap();
    traffic.ended(&first, End::Failed(Point::Connect), millis(1));
    let again = sent(traffic.dispatch_again(&requirements, &[first.choice.server], millis(1)));
    assert_ne!(again.choice.server, first.choice.server);
    assert!(!traffic.table.takes_work(first.choice.server, millis(1)));
    for ticket in 2..8 {
        let (_, requirements) = admit(&mut traffic, ticket, 5000, 1);
        let attempt = traffic.dispatch(&requirements, millis(1)).unwrap();
        assert_eq!(attempt.choice.server, again.choice.server);
    }
}

#[test]
fn a_server_in_doubt_gets_one_trial_and_its_success_clears_it() {
    let mut traffic = traffic(1, 8);
    let (_, requirements) = admit(&mut traffic, 1, 90_000, 0);
    let attempt = traffic.dispatch(&requirements, millis(0)).unwrap();
    traffic.ended(&attempt, End::Failed(Point::Waiting), millis(0));
    let (admission, second) = admit(&mut traffic, 2, 90_000, 1);
    assert_eq!(
        admission,
        Admission::Wait,
        "the request does not wait for the trial of the only replica"
    );
    assert_eq!(traffic.pump(millis(100)), []);
    assert_eq!(traffic.pump(millis(600)), [Change::Start(2)]);
    let trial = traffic.dispatch(&second, millis(600)).unwrap();
    assert!(!traffic.table.takes_work(0, millis(601)), "the server takes work during its trial");
    traffic.answered(&trial, millis(650));
    assert!(traffic.table.takes_work(0, millis(650)));
}

#[rstest]
#[case(Eligibility::Leaving)]
#[case(Eligibility::Gone)]
fn success_of_old_work_does_not_bring_a_leaving_server_back(#[case] eligibility: Eligibility) {
    let mut traffic = traffic(1, 8);
    let (_, requirements) = admit(&mut traffic, 1, 5000, 0);
    let attempt = traffic.dispatch(&requirements, millis(0)).unwrap();
    traffic.ended(&attempt, End::Failed(Point::Connect), millis(0));
    traffic.table.set_eligibility(0, eligibility);
    traffic.answered(&attempt, millis(5));
    traffic.ended(&attempt, End::Completed, millis(6));
    assert_eq!(traffic.table.eligibility(0), eligibility);
    assert_eq!(admit(&mut traffic, 2, 5000, 10).0, Admission::Unready);
}

#[test]
fn a_model_that_no_server_has_is_refused_at_once() {
    let mut traffic = traffic(0, 8);
    assert_eq!(admit(&mut traffic, 1, 5000, 0).0, Admission::Unready);
}

#[test]
fn the_prefix_sent_to_a_server_draws_the_next_request_there() {
    let mut traffic = traffic(6, 64);
    let prefixed = |traffic: &mut Traffic, ticket| Requirements {
        prefix: vec![1, 2, 3, 4],
        prompt_tokens: 5000,
        ..requirements(traffic, ticket, Priority::Normal, 60_000)
    };
    let first = prefixed(&mut traffic, 1);
    traffic.admit(&first, millis(0), &mut Vec::new());
    let attempt = traffic.dispatch(&first, millis(0)).unwrap();
    traffic.ended(&attempt, End::Completed, millis(1000));
    for ticket in 2..20 {
        let next = prefixed(&mut traffic, ticket);
        traffic.admit(&next, millis(1000), &mut Vec::new());
        let again = traffic.dispatch(&next, millis(1000)).unwrap();
        assert_eq!(again.choice.server, attempt.choice.server);
        traffic.ended(&again, End::Completed, millis(1000));
    }
}

/// Ten times as many requests arrive as the server can serve: those that are admitted meet their
/// target, and the slots stay in use.
#[test]
fn a_rush_of_ten_times_the_capacity_keeps_admitted_work_in_time() {
    const SERVICE: u64 = 100;
    const TARGET: u64 = 400;
    let mut traffic = traffic(1, 8);
    let mut running: Vec<(u64, Attempt)> = Vec::new();
    let mut waiting: BTreeMap<Ticket, (u64, Requirements)> = BTreeMap::new();
    let (mut started, mut late, mut refused, mut busy) = (0, 0, 0, 0u64);
    for now in 0..4000u64 {
        let (ended, rest) = running.into_iter().partition(|(until, _)| *until <= now);
        running = rest;
        ended
            .into_iter()
            .for_each(|(_, attempt)| traffic.ended(&attempt, End::Completed, millis(now)));
        let mut changes = traffic.pump(millis(now));
        if now % 5 != 4 {
            let (admission, requirements) = admit(&mut traffic, now, now + TARGET, now);
            match admission {
                Admission::Take => changes.push(Change::Start(now)),
                Admission::Refuse(Refusal { cause, .. }) => {
                    assert_eq!(cause, Cause::Late);
                    refused += 1;
                }
                Admission::Wait | Admission::Unready => {}
            }
            waiting.insert(now, (now, requirements));
        }
        for change in changes {
            match change {
                Change::Start(ticket) => {
                    let (arrived, requirements) = waiting.remove(&ticket).unwrap();
                    let attempt = traffic.dispatch(&requirements, millis(now)).unwrap();
                    late += u64::from(arrived + TARGET < now + 20);
                    started += 1;
                    running.push((now + SERVICE, attempt));
                }
                Change::Refuse(_, _) => refused += 1,
            }
        }
        busy += running.len() as u64;
    }
    assert_eq!(late, 0, "some requests started too late; {started} started, {refused} refused");
    assert!(7 * 4000 < busy, "slots were idle: {busy} slot-milliseconds used of {}", 8 * 4000);
    assert!(2000 < refused);
}
