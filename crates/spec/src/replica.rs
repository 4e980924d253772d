//! Model of make-before-break: two planners, and two replicas of one model, each with a ledger.
//!
//! Each planner wants to unload the model from the server with its own index, and relies on the
//! replica on the other server. No single conditional update covers both ledgers, so a planner
//! must consult `policy::ledger::replica` after it has written its unload, not before. Planners may
//! pause for any time between two steps.

use std::fmt;

use policy::ledger::{Claim, Ledger, replica::may_unload, settle::Evidence};
use types::{
    order::{Action, Role},
    prelude::*,
    report::Load,
    resident::{Resident, State as ResidentState},
};

use crate::explore::System;

const SERVERS: usize = 2;

const MAX_ATTEMPTS: u8 = 2;

/// When a planner checks that the other replica remains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// After its own unload is written to the ledger, as the protocol requires.
    AfterWrite,
    /// Before it writes its unload: the guard is disabled.
    BeforeWrite,
}

/// The model, with the guard on or off.
#[derive(Clone, Copy, Debug)]
pub struct Replicas {
    /// When both planners check the other replica; [`Check::BeforeWrite`] disables the guard.
    pub check: Check,
}

/// A state of both servers, their ledgers and both planners.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct State {
    ledgers: [Ledger; SERVERS],
    ready: [bool; SERVERS],
    sequence: [u64; SERVERS],
    planners: [Planner; SERVERS],
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Planner {
    attempts: u8,
    phase: Phase,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// The planner found, before its write, that the other replica remains.
    Checked,
    /// The planner's unload is in the ledger and has not been sent.
    Written,
    /// The planner's unload was sent and has not arrived.
    Sent,
}

/// A step of one planner, or of its server.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    planner: usize,
    kind: Kind,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Check,
    Write,
    Send,
    Withdraw,
    Arrive,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Step { planner, kind } = self;
        match kind {
            Kind::Check => write!(f, "planner {planner} finds that the other replica remains"),
            Kind::Write => write!(f, "planner {planner} writes the unload into its ledger"),
            Kind::Send => write!(f, "planner {planner} sends the unload"),
            Kind::Withdraw => write!(f, "planner {planner} withdraws the unload before sending it"),
            Kind::Arrive => write!(f, "server {planner} unloads the model and reports it"),
        }
    }
}

impl System for Replicas {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State {
            ledgers: [0, 1].map(|server| Ledger::new(&report(server, 1, true, Vec::new()))),
            ready: [true; SERVERS],
            sequence: [1; SERVERS],
            planners: [Planner { attempts: 0, phase: Phase::Idle }; SERVERS],
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        (0..SERVERS).flat_map(|planner| self.planner(state, planner)).collect()
    }

    fn violation(&self, state: &State) -> Option<String> {
        (state.ready == [false; SERVERS]).then(|| "no replica of the model is ready".into())
    }

    fn is_progress(&self, step: &Step) -> bool {
        matches!(step.kind, Kind::Send | Kind::Withdraw | Kind::Arrive)
    }

    fn is_settled(&self, state: &State) -> bool {
        state.ledgers.iter().all(|ledger| ledger.orders.is_empty())
    }
}

impl Replicas {
    fn planner(&self, state: &State, planner: usize) -> Vec<(Step, State)> {
        let current = state.planners[planner];
        let other = &state.ledgers[1 - planner];
        let other_remains = may_unload(&unit(), [other]);
        match (current.phase, self.check) {
            (Phase::Idle, _) if current.attempts == MAX_ATTEMPTS || !state.ready[planner] => {
                Vec::new()
            }
            (Phase::Idle, Check::BeforeWrite) if other_remains => {
                vec![state.step(planner, Kind::Check, Phase::Checked)]
            }
            (Phase::Idle, Check::BeforeWrite) => Vec::new(),
            (Phase::Idle, Check::AfterWrite) | (Phase::Checked, _) => state.write(planner),
            (Phase::Written, Check::AfterWrite) if !other_remains => vec![state.withdraw(planner)],
            (Phase::Written, _) => vec![state.step(planner, Kind::Send, Phase::Sent)],
            (Phase::Sent, _) => vec![state.arrive(planner)],
        }
    }
}

impl State {
    fn step(&self, planner: usize, kind: Kind, phase: Phase) -> (Step, State) {
        let mut next = self.clone();
        next.planners[planner].phase = phase;
        (Step { planner, kind }, next)
    }

    fn write(&self, planner: usize) -> Vec<(Step, State)> {
        let claim = Claim {
            id: self.order(planner),
            sender: format!("planner-{planner}").into(),
            incarnation: 1,
            cause: "".into(),
        };
        let reserved = self.ledgers[planner].reserve(claim, Action::Unload { unit: unit() });
        let written = reserved.ok().map(|(ledger, _)| {
            let (step, mut next) = self.step(planner, Kind::Write, Phase::Written);
            next.ledgers[planner] = ledger;
            (step, next)
        });
        written.into_iter().collect()
    }

    fn withdraw(&self, planner: usize) -> (Step, State) {
        let (step, mut next) = self.step(planner, Kind::Withdraw, Phase::Idle);
        let evidence = Evidence::NeverTaken { order: self.order(planner) };
        next.ledgers[planner] = self.ledgers[planner].settle(&[evidence]).ledger;
        next.planners[planner].attempts += 1;
        (step, next)
    }

    fn arrive(&self, planner: usize) -> (Step, State) {
        let (step, mut next) = self.step(planner, Kind::Arrive, Phase::Idle);
        next.ready[planner] = false;
        next.sequence[planner] += 1;
        let taken = vec![self.order(planner)];
        let report = report(planner, next.sequence[planner], false, taken);
        next.ledgers[planner] = self.ledgers[planner].settle(&[Evidence::Report(&report)]).ledger;
        (step, next)
    }

    fn order(&self, planner: usize) -> order::Id {
        format!("order-{planner}-{}", self.planners[planner].attempts).into()
    }
}

fn unit() -> Unit {
    Unit::Model { model: "A".into(), version: "1".into() }
}

fn report(server: usize, sequence: u64, ready: bool, orders: Vec<order::Id>) -> Load {
    let resident = Resident { unit: unit(), memory: 1, state: ResidentState::Ready };
    Load {
        server: format!("server-{server}").into(),
        incarnation: 1,
        sequence,
        age: Duration::ZERO,
        leaving: false,
        running: 0,
        waiting: 0,
        slots: 1,
        step: Duration::from_millis(5),
        prefill_rate: 1,
        prompt_backlog: 0,
        capacity: 1,
        residents: ready.then_some(resident).into_iter().collect(),
        fence: 0,
        fenced: false,
        orders,
        role: Role::Whole,
    }
}
