//! Tests of requests that can wait beside requests that can't.

use policy::dispatch::{End, RequestSpec, Verdict};
use rstest::rstest;
use types::{prelude::*, routed::Kind};

use crate::{
    city::{News, Outcomes, Size, Source, play},
    fixture::{at, plain, request, sent},
};

const SIZE: Size =
    Size { hosts: 8, servers: 24, span: Duration::from_secs(24), news: News::Exchanged };

const URGENT: Source = Source {
    customer: None,
    goal: Duration::from_millis(250),
    deadline: Duration::from_secs(4),
    load: |at| 0.5 * (1.0 + 0.27 * (at * std::f64::consts::TAU / 11.0).sin()),
};

const DEFERRABLE: Source = Source {
    customer: None,
    goal: Duration::from_secs(6),
    deadline: Duration::from_secs(20),
    load: |_| 0.2,
};

/// Deferrable requests with a burst by a factor of four.
const BURST: Source =
    Source { load: |at| if (6.0..10.0).contains(&at) { 0.8 } else { 0.2 }, ..DEFERRABLE };

fn outcomes(size: Size, sources: [Source; 2]) -> [Outcomes; 2] {
    play(size, &sources).try_into().expect("one outcome for each source")
}

/// A burst of deferrable requests beyond the capacity must not take the slots that urgent requests
/// need, nor be lost when a trough follows.
#[rstest]
fn a_burst_of_deferrable_requests_leaves_urgent_ones_their_service(#[values(8, 24)] hosts: usize) {
    let size = Size { hosts, ..SIZE };
    let [baseline, _] = outcomes(size, [URGENT, DEFERRABLE]);
    let [urgent, deferrable] = outcomes(size, [URGENT, BURST]);
    assert!(1.0 <= deferrable.served(), "{deferrable:?}");
    assert!(0.95 * baseline.in_time() <= urgent.in_time(), "{baseline:?} {urgent:?}");
}

/// Without news of other hosts, each host goes by its own requests, and no request waits in vain.
#[test]
fn deferrable_requests_are_served_without_news() {
    let [urgent, deferrable] =
        outcomes(Size { hosts: 8, news: News::Missing, ..SIZE }, [URGENT, BURST]);
    assert!(0.9 <= urgent.in_time(), "{urgent:?}");
    assert!(1.0 <= deferrable.served(), "{deferrable:?}");
}

/// Under an overload that doesn't end, deferrable requests must not starve.
#[test]
fn deferrable_requests_do_not_starve() {
    let overload = Source { load: |_| 1.1, ..URGENT };
    let [urgent, deferrable] = outcomes(Size { hosts: 8, ..SIZE }, [overload, DEFERRABLE]);
    let all = f64::from(urgent.in_time + urgent.late + deferrable.in_time + deferrable.late)
        / f64::from(urgent.arrived + deferrable.arrived);
    assert!(0.25 * all <= deferrable.served(), "{urgent:?} {deferrable:?}");
}

/// A request that can wait leaves a slot free that urgent requests used a moment ago, and takes it
/// when its slack is used up.
#[test]
fn a_deferrable_request_takes_a_reserved_slot_only_when_its_slack_is_used_up() {
    let mut host = plain(&["s1"]);
    let urgent = |ticket| request(ticket, Kind::NonIdempotent, at(0));
    sent(host.arrive(urgent(0), at(0)));
    sent(host.arrive(urgent(1), at(0)));
    host.pump(at(300));
    host.ended(0, End::Completed, at(310));
    host.ended(1, End::Completed, at(310));
    host.pump(at(600));
    let later = |ticket| RequestSpec {
        goal: at(3_000),
        deadline: at(15_600),
        ..request(ticket, Kind::NonIdempotent, at(600))
    };
    assert_eq!(host.arrive(later(2), at(600)), Verdict::Wait);
    assert_eq!(host.pump(at(610)), []);
    assert_eq!(host.deferred(at(610)), 1);
    sent(host.arrive(request(3, Kind::NonIdempotent, at(620)), at(620)));
    host.ended(3, End::Completed, at(640));
    let times = (65..300).map(|n| at(10 * n));
    let taken = times.into_iter().find(|now| !host.pump(*now).is_empty());
    assert!(taken.is_some_and(|at| at < Duration::from_millis(2_600)), "{taken:?}");
}

/// A caller is told to come back when the reserve is expected to fall, and never later than it
/// would wait.
#[rstest]
fn a_refused_deferrable_request_comes_back_in_time(#[values(4, 10, 20)] timeout: u64) {
    let mut host = plain(&["s1"]);
    let deadline = Duration::from_secs(timeout);
    let mut refused = Vec::new();
    for ticket in 0..2_000 {
        let goal = deadline.min(Duration::from_secs(6));
        let spec = RequestSpec { goal, deadline, ..request(ticket, Kind::NonIdempotent, at(0)) };
        if let Verdict::Refuse { after, .. } = host.arrive(spec, at(0)) {
            refused.push((after, deadline));
        }
    }
    let now = deadline / 2;
    for change in host.pump(now) {
        if let Verdict::Refuse { after, .. } = change.verdict {
            refused.push((after, deadline - now));
        }
    }
    assert_ne!(refused.len(), 0);
    assert!(refused.iter().all(|(after, left)| *after <= *left / 3), "{refused:?}");
}
