//! Accelerator memory of one engine under two planners.
//!
//! Every decision is `policy::ledger`'s. What is stated here is the world around it: the object
//! API with its conditional update, whose answer may be lost before or after the effect or whose
//! effect may come late; planners that may rest between any two steps (a paused one is one that
//! takes none), die and start again; orders that are lost or arrive late, and acknowledgements
//! that are lost; an engine that honours fencing numbers or ignores them, and restarts with empty
//! memory and no fencing number; reports that lag and are taken in out of order. No lease is
//! modelled: both planners may always plan, which is more than any lease would allow.
//!
//! Two things are taken as true of the world, and stated in `docs/design/ledger.md`: a message
//! is gone once its connection has been closed for the linger time ([`Step::Expire`]), and a
//! process whose successor has started never acts again.

use std::{cell::RefCell, collections::HashMap, sync::Arc};

use policy::ledger::Ledger;

use crate::explore::System;

mod convert;
pub mod guard;
mod state;
mod step;
mod transitions;

pub use guard::Guard;
pub use state::State;
pub use step::Step;

/// Bounds of an exploration, and what the engine does.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Whether the engine refuses old fencing numbers.
    pub fenced: bool,
    /// Units that fit in the engine's memory, of one more that there are; two at the most.
    pub capacity: u8,
    /// Units in memory at the start, the first ones of all.
    pub residents: u8,
    /// Most orders in all, four at the most.
    pub orders: usize,
    /// Most deaths of planners in all.
    pub deaths: u8,
    /// Most restarts of the engine.
    pub restarts: u8,
    /// Most writes whose answer is lost.
    pub lost_answers: u8,
}

/// The system, with at most one guard off.
pub struct Memory {
    bounds: Bounds,
    off: Option<Guard>,
    ledgers: RefCell<Ledgers>,
    reservations: RefCell<HashMap<transitions::Reservation, Option<u32>>>,
    settlements: RefCell<HashMap<transitions::Settlement, u32>>,
}

/// Ledgers met so far, each stored once, so that states stay small.
#[derive(Default)]
struct Ledgers {
    numbers: HashMap<Arc<Ledger>, u32>,
    all: Vec<Arc<Ledger>>,
    /// Orders that stand in each, a bit each.
    open_orders: Vec<u8>,
}

impl Memory {
    /// The system with every guard on.
    pub fn new(bounds: Bounds) -> Memory {
        Memory {
            bounds,
            off: None,
            ledgers: RefCell::default(),
            reservations: RefCell::default(),
            settlements: RefCell::default(),
        }
    }

    /// The system with one guard off.
    pub fn without(guard: Guard, bounds: Bounds) -> Memory {
        Memory { off: Some(guard), ..Memory::new(bounds) }
    }

    fn is_off(&self, guard: Guard) -> bool {
        self.off == Some(guard)
    }

    fn ledger(&self, number: u32) -> Arc<Ledger> {
        self.ledgers.borrow().all[number as usize].clone()
    }

    /// Orders that stand in a ledger, a bit each.
    fn open_orders(&self, number: u32) -> u8 {
        self.ledgers.borrow().open_orders[number as usize]
    }

    fn intern(&self, ledger: Ledger) -> u32 {
        let mut ledgers = self.ledgers.borrow_mut();
        if let Some(number) = ledgers.numbers.get(&ledger) {
            return *number;
        }
        let number = u32::try_from(ledgers.all.len()).expect("fewer ledgers than states");
        let ledger = Arc::new(ledger);
        ledgers.open_orders.push(convert::open_orders(&ledger));
        ledgers.all.push(ledger.clone());
        ledgers.numbers.insert(ledger, number);
        number
    }
}

impl System for Memory {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let engine = state::Engine::start(self.bounds.residents);
        let mut ledger = Ledger::new(&convert::load(&engine, &self.bounds));
        ledger.fenced |= self.is_off(Guard::Unfenced);
        State::start(engine, self.intern(ledger))
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut next = Vec::new();
        for planner in 0..state::PLANNERS {
            self.planner_steps(state, planner, &mut next);
        }
        for order in 0..state.orders.len() {
            self.order_steps(state, order, &mut next);
        }
        self.engine_steps(state, &mut next);
        next
    }

    fn violation(&self, state: &State) -> Option<String> {
        let taken = state.engine.memory();
        let capacity = convert::capacity(&self.bounds);
        (capacity < taken)
            .then(|| format!("engine memory overcommitted: {taken} MiB taken of {capacity}"))
    }

    fn is_progress(&self, step: &Step) -> bool {
        step.is_progress()
    }

    fn is_settled(&self, state: &State) -> bool {
        let ledger = self.ledger(state.ledger);
        ledger.orders.is_empty()
            && ledger.residents == convert::residents(&state.engine)
            && state.is_idle()
    }
}
