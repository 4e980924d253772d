//! Conversion of the compact states into the types of `policy`.

use std::{ops::Range, sync::Arc, time::Duration};

use policy::ledger::{Claim, Ledger};
use types::{
    order,
    report::Load,
    resident::{Resident, State, Unit},
};

use super::{
    Bounds,
    state::{Action, Engine, MAX_ORDERS},
};

/// Accelerator memory of the engine, in MiB: as much as [`Bounds::capacity`] units take.
pub(super) fn capacity(bounds: &Bounds) -> u64 {
    u64::from(bounds.capacity) * MEMORY
}

/// Numbers of the units that exist: one more than fit in memory.
pub(super) fn units(bounds: &Bounds) -> Range<u8> {
    0..bounds.capacity + 1
}

/// Memory that each unit takes, in MiB.
pub(super) const MEMORY: u64 = 1;

/// Model names of the units, by number.
pub(super) const NAMES: [&str; 3] = ["A", "B", "C"];

const SERVER: &str = "engine";

pub(super) fn host(planner: usize) -> Arc<str> {
    format!("planner-{planner}").into()
}

pub(super) fn order_id(number: usize) -> order::Id {
    format!("order-{number}").into()
}

/// Ids of the orders whose bits are set.
pub(super) fn orders(bits: u8) -> impl Iterator<Item = order::Id> {
    (0..MAX_ORDERS).filter(move |number| bits & (1 << number) != 0).map(order_id)
}

/// Bit set of the numbers of the orders in a ledger.
pub(super) fn open_orders(ledger: &Ledger) -> u8 {
    let is_open = |number: &usize| {
        let id = order_id(*number);
        ledger.orders.iter().any(|entry| entry.order.id == id)
    };
    (0..MAX_ORDERS).filter(is_open).fold(0, |bits, number| bits | 1 << number)
}

pub(super) fn claim(number: usize, planner: usize, incarnation: u8) -> Claim {
    Claim {
        id: order_id(number),
        sender: host(planner),
        incarnation: incarnation.into(),
        cause: "".into(),
    }
}

pub(super) fn action(action: Action) -> order::Action {
    match action {
        Action::Load(number) => order::Action::Load { unit: unit(number), memory: MEMORY },
        Action::Unload(number) => order::Action::Unload { unit: unit(number) },
    }
}

pub(super) fn unit(number: u8) -> Unit {
    Unit::Model { model: NAMES[usize::from(number)].into(), version: "1".into() }
}

pub(super) fn residents(engine: &Engine) -> Vec<Resident> {
    (0..)
        .zip(NAMES)
        .filter(|(number, _)| engine.residents & (1 << number) != 0)
        .map(|(number, _)| Resident { unit: unit(number), memory: MEMORY, state: State::Ready })
        .collect()
}

/// The report of the engine's current state.
pub(super) fn load(engine: &Engine, bounds: &Bounds) -> Load {
    Load {
        server: SERVER.into(),
        incarnation: engine.incarnation.into(),
        sequence: engine.sequence.into(),
        age: Duration::ZERO,
        leaving: false,
        running: 0,
        waiting: 0,
        slots: 1,
        step: Duration::from_millis(5),
        prefill_rate: 1,
        prompt_backlog: 0,
        capacity: capacity(bounds),
        residents: residents(engine),
        fence: engine.fence.into(),
        fenced: bounds.fenced,
        orders: orders(engine.taken).collect(),
        role: order::Role::Whole,
    }
}
