//! Explores the ledger model: the invariant holds within the bounds, and is violated without any
//! one of the guards.

#![allow(
    clippy::print_stderr,
    reason = "state counts and traces are the output of the exploration"
)]

use rstest::rstest;
use spec::{
    explore::{Report, explore},
    ledger::{Bounds, Guard, Memory},
};

/// Limit on the states of one exploration, far above the number that any of them reaches.
const MAX_STATES: usize = 30_000_000;

/// The only faults are late orders and reports, and lost orders and answers to them.
const ORDERS_ONLY: Bounds = Bounds {
    fenced: false,
    capacity: 1,
    residents: 1,
    orders: 3,
    deaths: 0,
    restarts: 0,
    lost_answers: 0,
};

const DEATH: Bounds = Bounds { deaths: 1, ..ORDERS_ONLY };
const RESTART: Bounds = Bounds { restarts: 1, ..ORDERS_ONLY };
const LOST_ANSWER: Bounds = Bounds { lost_answers: 1, ..ORDERS_ONLY };

/// All kinds of faults together, with fewer orders.
const ALL_FAULTS: Bounds =
    Bounds { orders: 2, deaths: 1, restarts: 1, lost_answers: 1, ..ORDERS_ONLY };

/// Two orders to an empty engine, enough for most counterexamples.
const EMPTY: Bounds = Bounds { residents: 0, orders: 2, ..ORDERS_ONLY };

fn search(bounds: Bounds) -> Report {
    let report = explore(&Memory::new(bounds), MAX_STATES);
    eprintln!("{bounds:?}: {report}");
    report
}

#[rstest]
fn memory_is_never_overcommitted_and_every_order_can_settle(
    #[values(
        ORDERS_ONLY,
        Bounds { orders: 2, ..DEATH },
        Bounds { orders: 2, ..RESTART },
        Bounds { orders: 2, ..LOST_ANSWER }
    )]
    bounds: Bounds,
    #[values(true, false)] fenced: bool,
) {
    let report = search(Bounds { fenced, ..bounds });
    assert!(report.holds(), "{report}");
}

#[rstest]
#[ignore = "minutes, and gigabytes of memory"]
fn larger_bounds_hold_too(
    #[values(
        DEATH,
        RESTART,
        LOST_ANSWER,
        Bounds { lost_answers: 0, ..ALL_FAULTS },
        Bounds { restarts: 0, ..ALL_FAULTS },
        Bounds { deaths: 0, ..ALL_FAULTS },
        ALL_FAULTS,
        Bounds { capacity: 2, ..ORDERS_ONLY }
    )]
    bounds: Bounds,
    #[values(true, false)] fenced: bool,
) {
    let report = search(Bounds { fenced, ..bounds });
    assert!(report.holds(), "{report}");
}

#[rstest]
#[case(Guard::ConditionalUpdate, Bounds { lost_answers: 1, ..EMPTY })]
#[case(Guard::ReadBack, Bounds { lost_answers: 1, ..EMPTY })]
#[case(Guard::Unfenced, Bounds { capacity: 2, orders: 3, ..EMPTY })]
#[case(Guard::RestartSum, Bounds { fenced: true, ..RESTART })]
#[case(Guard::UnloadByReport, ORDERS_ONLY)]
#[case(Guard::EffectByReport, EMPTY)]
#[case(Guard::AbsenceIsNoEvidence, EMPTY)]
#[case(Guard::ReportOrder, EMPTY)]
#[case(Guard::Linger, EMPTY)]
#[case(Guard::FreshReport, EMPTY)]
#[case(Guard::PauseIsNotDeath, EMPTY)]
#[case(Guard::DeadLinger, Bounds { deaths: 1, ..EMPTY })]
fn without_a_guard_a_counterexample_is_found(#[case] guard: Guard, #[case] bounds: Bounds) {
    let report = explore(&Memory::without(guard, bounds), MAX_STATES);
    eprintln!("without \"{guard}\", {bounds:?}: {report}");
    assert!(report.violation().is_some(), "no counterexample without \"{guard}\": {report}");
}
