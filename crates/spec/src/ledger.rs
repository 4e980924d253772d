//! Model of the ledger: the accelerator memory of one engine, ordered by two planners.
//!
//! `policy::ledger` makes every decision. This module models its environment:
//!
//! - the object API with conditional updates: an answer may be lost with or without the update
//!   taking effect, or the update may take effect late;
//! - planners, which die and restart; a paused planner is one that takes no step;
//! - orders that are lost or arrive late, and acknowledgements that are lost;
//! - an engine that honours fencing tokens or ignores them, and restarts with empty memory and
//!   without its fencing token;
//! - reports that are stale and are applied out of order.
//!
//! No lease is modelled: both planners may always plan, which is more than any lease allows.
//!
//! Two assumptions are made, both stated in `docs/design/ledger.md`: no message is left in transit
//! once its connection has been closed for the linger time ([`Step::Expire`]), and a process whose
//! successor has started never acts again.

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

/// Bounds of an exploration, and the engine's handling of fencing tokens.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Whether the engine refuses an order with a fencing token below the highest it received.
    pub fenced: bool,
    /// Units that fit in the engine's memory, at most two; one more unit than fits exists.
    pub capacity: u8,
    /// Number of units in memory in the initial state, counted from the first unit.
    pub residents: u8,
    /// Maximum number of orders over both planners, at most four.
    pub orders: usize,
    /// Maximum number of planner deaths over both planners.
    pub deaths: u8,
    /// Maximum number of engine restarts.
    pub restarts: u8,
    /// Maximum number of ledger writes whose answer is lost, whether or not they take effect.
    pub lost_answers: u8,
}

/// The model, with at most one guard disabled.
pub struct Memory {
    bounds: Bounds,
    disabled: Option<Guard>,
    ledgers: RefCell<Ledgers>,
    reservations: RefCell<HashMap<transitions::Reservation, Option<u32>>>,
    settlements: RefCell<HashMap<transitions::Settlement, u32>>,
}

/// Interned ledgers: each distinct one is stored once, and states refer to it by number.
#[derive(Default)]
struct Ledgers {
    numbers: HashMap<Arc<Ledger>, u32>,
    all: Vec<Arc<Ledger>>,
    /// For each ledger, a bit set of the numbers of the orders in it.
    open_orders: Vec<u8>,
}

impl Memory {
    /// A model with all guards active.
    pub fn new(bounds: Bounds) -> Memory {
        Memory {
            bounds,
            disabled: None,
            ledgers: RefCell::default(),
            reservations: RefCell::default(),
            settlements: RefCell::default(),
        }
    }

    /// A model with one guard disabled; its exploration should find a counterexample.
    pub fn without(guard: Guard, bounds: Bounds) -> Memory {
        Memory { disabled: Some(guard), ..Memory::new(bounds) }
    }

    fn is_disabled(&self, guard: Guard) -> bool {
        self.disabled == Some(guard)
    }

    fn ledger(&self, number: u32) -> Arc<Ledger> {
        self.ledgers.borrow().all[number as usize].clone()
    }

    /// Bit set of the numbers of the orders in a ledger.
    fn open_orders(&self, number: u32) -> u8 {
        self.ledgers.borrow().open_orders[number as usize]
    }

    fn intern(&self, ledger: Ledger) -> u32 {
        let mut ledgers = self.ledgers.borrow_mut();
        if let Some(number) = ledgers.numbers.get(&ledger) {
            return *number;
        }
        let number = u32::try_from(ledgers.all.len())
            .expect("the number of distinct ledgers must fit in a u32");
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
        ledger.fenced |= self.is_disabled(Guard::Unfenced);
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
            .then(|| format!("engine memory overcommitted: {taken} MiB used of {capacity} MiB"))
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
