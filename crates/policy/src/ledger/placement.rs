//! View of the ledger for placement.

use types::{
    order::Action,
    resident::{Resident, State, Unit},
};

use super::{Entry, Ledger};

/// Maximum number of open orders for one unit, so that repeats leave room for other orders.
const MAX_ORDERS_PER_UNIT: usize = 4;

impl Ledger {
    /// Returns the residents with the open orders applied: a unit with an order to load counts as
    /// loading, one with an order to unload as unloading.
    pub fn expected_residents(&self) -> Vec<Resident> {
        let mut residents = self.residents.clone();
        let open = self.orders.iter().filter(|entry| !self.is_superseded(entry));
        for entry in open {
            match &entry.order.action {
                Action::Load { unit, memory } => {
                    if !residents.iter().any(|resident| resident.unit == *unit) {
                        let (unit, memory) = (unit.clone(), *memory);
                        residents.push(Resident { unit, memory, state: State::Loading });
                    }
                }
                Action::Unload { unit } => {
                    let held = residents.iter_mut().filter(|resident| resident.unit == *unit);
                    held.for_each(|resident| resident.state = State::Unloading);
                }
                Action::Role { .. } => {}
            }
        }
        residents
    }

    /// Returns the last open order for each unit, if the last report doesn't show its effect. It
    /// may be repeated: a lost order and a late one are indistinguishable, and the unit's memory is
    /// reserved anyway.
    pub fn repeatable(&self) -> Vec<&Entry> {
        let last = |(index, entry): &(usize, &Entry)| {
            let later = &self.orders[index + 1..];
            !later.iter().any(|other| other.order.action.unit() == entry.order.action.unit())
        };
        let orders = self.orders.iter().enumerate().filter(last).map(|(_, entry)| entry);
        orders
            .filter(|entry| !self.shows(entry) && self.repeats(entry) < MAX_ORDERS_PER_UNIT)
            .collect()
    }

    fn repeats(&self, entry: &Entry) -> usize {
        let unit = entry.order.action.unit();
        self.orders.iter().filter(|other| other.order.action.unit() == unit).count()
    }

    /// Returns whether the last report shows the effect of the order.
    fn shows(&self, entry: &Entry) -> bool {
        let resident = |unit: &Unit| self.residents.iter().find(|resident| resident.unit == *unit);
        match &entry.order.action {
            Action::Load { unit, .. } => resident(unit).is_some(),
            Action::Unload { unit } => {
                resident(unit).is_none_or(|resident| resident.state == State::Unloading)
            }
            Action::Role { .. } => true,
        }
    }
}
