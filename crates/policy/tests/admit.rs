//! Admission under overload: order, shares, early refusal, no starvation.

use std::collections::BTreeMap;

use policy::admit::{
    Bounds, Cause, LOWER_EVERY, MAX_RETRY_AFTER, MIN_RETRY_AFTER, Outlook, Queues, Refusal,
    Request, Ticket, Verdict,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use types::prelude::*;

const POOL: u32 = 0;

fn request(ticket: Ticket, priority: Priority, service: &str, due: u64) -> Request {
    Request {
        ticket,
        priority,
        customer: "magnolia".into(),
        customer_share: 1,
        service: service.into(),
        service_share: 1,
        wanted: POOL,
        pool: POOL,
        due: millis(due),
        spread: ticket,
    }
}

fn millis(n: u64) -> Moment {
    Duration::from_millis(n)
}

/// Outlook without room: ten requests are in flight for 100 ms each, so one ends every 10 ms.
fn busy() -> Outlook {
    Outlook {
        room: 0,
        in_flight: 10,
        hold: millis(100),
        first_token: millis(20),
        unloaded: millis(20),
    }
}

fn arrive(
    queues: &mut Queues,
    request: Request,
    outlook: &Outlook,
) -> (Verdict, Vec<(Ticket, Refusal)>) {
    let mut refused = Vec::new();
    let verdict = queues.arrive(request, outlook, Duration::ZERO, &mut refused);
    (verdict, refused)
}

fn drain(queues: &mut Queues) -> Vec<Ticket> {
    std::iter::from_fn(|| queues.next(POOL, |_| 1)).map(|request| request.ticket).collect()
}

#[test]
fn work_with_room_starts_at_once() {
    let outlook = Outlook { room: 1, ..busy() };
    let (verdict, _) =
        arrive(&mut Queues::default(), request(1, Priority::Normal, "chat", 500), &outlook);
    assert_eq!(verdict, Verdict::Take);
}

#[test]
fn urgent_goes_before_normal_before_batch_and_the_earliest_due_first() {
    let mut queues = Queues::default();
    for (ticket, priority, due) in [
        (1, Priority::Batch, 9000),
        (2, Priority::Normal, 9000),
        (3, Priority::Urgent, 9000),
        (4, Priority::Urgent, 8000),
        (5, Priority::Normal, 8000),
    ] {
        assert_eq!(
            arrive(&mut queues, request(ticket, priority, "s", due), &busy()).0,
            Verdict::Wait
        );
    }
    assert_eq!(drain(&mut queues), [4, 3, 5, 2, 1]);
    assert_eq!(queues.waiting(), 0);
}

#[test]
fn services_take_turns_by_their_shares() {
    let mut queues = Queues::default();
    for ticket in 0..60 {
        let service = if ticket % 2 == 0 { "large" } else { "small" };
        let share = if ticket % 2 == 0 { 3 } else { 1 };
        let request =
            Request { service_share: share, ..request(ticket, Priority::Normal, service, 60_000) };
        arrive(&mut queues, request, &busy());
    }
    let first: Vec<Ticket> = drain(&mut queues).into_iter().take(32).collect();
    assert_eq!(first.iter().filter(|ticket| **ticket % 2 == 0).count(), 24);
}

#[test]
fn one_customer_with_many_services_gets_no_more_than_its_share() {
    let mut queues = Queues::default();
    for ticket in 0..80 {
        let (customer, service) = match ticket % 4 {
            0 => ("buzon", "letters".to_owned()),
            other => ("magnolia", format!("s{other}")),
        };
        let request = Request {
            customer: customer.into(),
            ..request(ticket, Priority::Normal, &service, 60_000)
        };
        arrive(&mut queues, request, &busy());
    }
    let first: Vec<Ticket> = drain(&mut queues).into_iter().take(20).collect();
    assert_eq!(first.iter().filter(|ticket| **ticket % 4 == 0).count(), 10);
}

#[test]
fn a_service_that_was_idle_saves_nothing_up() {
    let mut queues = Queues::default();
    for ticket in 0..100 {
        arrive(&mut queues, request(ticket, Priority::Normal, "busy", 90_000), &busy());
    }
    (0..50).for_each(|_| drop(queues.next(POOL, |_| 1)));
    for ticket in 100..120 {
        arrive(&mut queues, request(ticket, Priority::Normal, "idle", 90_000), &busy());
    }
    let first: Vec<Ticket> = drain(&mut queues).into_iter().take(20).collect();
    let of_idle = first.iter().filter(|ticket| 100 <= **ticket).count();
    assert!((9..=11).contains(&of_idle), "{of_idle} of 20");
}

#[rstest]
#[case::can_be_met(31, Verdict::Wait)]
#[case::just_missed(29, Verdict::Refuse(Refusal { cause: Cause::Late, retry_after: MIN_RETRY_AFTER }))]
fn work_that_cannot_meet_its_target_is_refused_on_arrival(
    #[case] due: u64,
    #[case] expected: Verdict,
) {
    let request = Request { spread: 0, ..request(1, Priority::Urgent, "guests", due) };
    assert_eq!(arrive(&mut Queues::default(), request, &busy()).0, expected);
}

#[test]
fn a_refused_caller_is_told_to_come_back_when_the_queue_should_have_drained() {
    let mut queues = Queues::new(Bounds { waiting: 10_000 });
    for ticket in 0..500 {
        arrive(&mut queues, request(ticket, Priority::Normal, "chat", 60_000), &busy());
    }
    let late = Request { spread: 0, ..request(999, Priority::Normal, "chat", 1000) };
    // It is due before all waiting requests, but belongs to another service, which takes turns with
    // theirs.
    let late = Request { service: "other".into(), ..late };
    let (verdict, _) = arrive(&mut queues, late, &busy());
    assert_eq!(
        verdict,
        Verdict::Wait,
        "the only request of its service must not wait for all 500 of the other"
    );
    let late = Request { due: millis(61_000), ..request(1000, Priority::Batch, "scan", 0) };
    let late = Request { due: millis(2000), spread: 0, ..late };
    match arrive(&mut queues, late, &busy()).0 {
        Verdict::Refuse(Refusal { cause: Cause::Late, retry_after }) => {
            assert!(millis(3000) <= retry_after, "{retry_after:?}");
            assert!(retry_after <= MAX_RETRY_AFTER);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn refused_callers_are_spread_over_time() {
    let retry_after = |spread| {
        let request = Request { spread, ..request(1, Priority::Normal, "chat", 1) };
        match arrive(&mut Queues::default(), request, &busy()).0 {
            Verdict::Refuse(refusal) => refusal.retry_after,
            other => panic!("{other:?}"),
        }
    };
    assert!(retry_after(0) < retry_after(128));
    assert!(retry_after(255) < MIN_RETRY_AFTER * 3 / 2);
}

#[test]
fn waiting_work_is_refused_as_soon_as_its_outlook_turns_bad_not_when_it_is_due() {
    let mut queues = Queues::default();
    assert_eq!(
        arrive(&mut queues, request(1, Priority::Normal, "chat", 400), &busy()).0,
        Verdict::Wait
    );
    for ticket in 10..60 {
        arrive(&mut queues, request(ticket, Priority::Urgent, "guests", 9000), &busy());
    }
    let refused = queues.sweep(POOL, millis(1), |_| busy());
    assert_eq!(refused.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [1]);
    assert_eq!(queues.waiting(), 50);
}

#[test]
fn work_past_its_due_time_is_refused_and_not_started() {
    let mut queues = Queues::default();
    arrive(&mut queues, request(1, Priority::Urgent, "guests", 100), &busy());
    let refused = queues.sweep(POOL, millis(200), |_| Outlook { room: 5, ..busy() });
    assert_eq!(refused.len(), 1);
    assert!(queues.next(POOL, |_| 5).is_none());
}

#[test]
fn a_full_queue_gives_up_its_least_urgent_work_at_once() {
    let mut queues = Queues::new(Bounds { waiting: 2 });
    arrive(&mut queues, request(1, Priority::Batch, "scan", 8000), &busy());
    arrive(&mut queues, request(2, Priority::Batch, "scan", 9000), &busy());
    let (verdict, refused) =
        arrive(&mut queues, request(3, Priority::Urgent, "guests", 900), &busy());
    assert_eq!(verdict, Verdict::Wait);
    assert!(matches!(refused[..], [(2, Refusal { cause: Cause::Displaced, .. })]));
    let (verdict, _) = arrive(&mut queues, request(4, Priority::Batch, "scan", 9000), &busy());
    assert!(matches!(verdict, Verdict::Refuse(Refusal { cause: Cause::Full, .. })));
    assert_eq!(queues.waiting(), 2);
}

#[test]
fn a_long_rush_slows_lower_classes_and_does_not_stop_them() {
    let mut queues = Queues::new(Bounds { waiting: 4096 });
    for ticket in 0..10 {
        arrive(&mut queues, request(ticket, Priority::Batch, "scan", 900_000), &busy());
    }
    for ticket in 100..2000 {
        arrive(&mut queues, request(ticket, Priority::Urgent, "guests", 900_000), &busy());
    }
    let first: Vec<Ticket> =
        drain(&mut queues).into_iter().take(5 * LOWER_EVERY as usize).collect();
    assert_eq!(first.iter().filter(|ticket| **ticket < 10).count(), 5);
}

#[test]
fn a_target_that_no_server_could_meet_is_served_all_the_same() {
    let outlook = Outlook { room: 1, first_token: millis(700), unloaded: millis(700), ..busy() };
    let (verdict, _) =
        arrive(&mut Queues::default(), request(1, Priority::Normal, "letters", 100), &outlook);
    assert_eq!(verdict, Verdict::Take);
}

#[test]
fn one_adapter_without_room_does_not_hold_up_the_others() {
    let mut queues = Queues::default();
    arrive(
        &mut queues,
        Request { wanted: 7, ..request(1, Priority::Urgent, "guests", 500) },
        &busy(),
    );
    arrive(&mut queues, request(2, Priority::Urgent, "guests", 900), &busy());
    let started = queues.next(POOL, |wanted| u32::from(wanted != 7)).map(|request| request.ticket);
    assert_eq!(started, Some(2));
    assert_eq!(queues.waiting(), 1);
}

#[test]
fn work_whose_caller_has_gone_is_taken_out() {
    let mut queues = Queues::default();
    arrive(&mut queues, request(1, Priority::Urgent, "guests", 500), &busy());
    assert!(queues.cancel(1));
    assert!(!queues.cancel(1));
    assert!(queues.next(POOL, |_| 1).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Each request gets exactly one answer, and the number of waiting requests stays within the
    /// bound.
    #[test]
    fn every_arrival_is_answered_once(
        events in prop::collection::vec((0u8..5, 0u8..3, 0u8..3, 1u64..2000, 0u32..3), 1..200)
    ) {
        let mut queues = Queues::new(Bounds { waiting: 20 });
        let mut answers: BTreeMap<Ticket, u32> = BTreeMap::new();
        let mut waiting = 0usize;
        for (at, (kind, priority, service, due, room)) in events.into_iter().enumerate() {
            let (ticket, now) = (at as Ticket, millis(at as u64));
            let outlook = Outlook { room, ..busy() };
            match kind {
                0..=2 => {
                    let request =
                        request(ticket, Priority::ALL[priority as usize], &service.to_string(), due);
                    let mut refused = Vec::new();
                    let verdict = queues.arrive(request, &outlook, now, &mut refused);
                    match verdict {
                        Verdict::Wait => waiting += 1,
                        Verdict::Take | Verdict::Refuse(_) => *answers.entry(ticket).or_default() += 1,
                    }
                    waiting -= refused.len();
                    refused.iter().for_each(|(t, _)| *answers.entry(*t).or_default() += 1);
                }
                3 => {
                    for (t, _) in queues.sweep(POOL, now, |_| outlook) {
                        *answers.entry(t).or_default() += 1;
                        waiting -= 1;
                    }
                }
                _ => {
                    if let Some(request) = queues.next(POOL, |_| room) {
                        *answers.entry(request.ticket).or_default() += 1;
                        waiting -= 1;
                    }
                }
            }
            prop_assert_eq!(queues.waiting(), waiting);
            prop_assert!(waiting <= 20);
        }
        prop_assert!(answers.values().all(|n| *n == 1));
    }
}
