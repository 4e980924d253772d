//! Make before break, over several ledgers.
//!
//! Each ledger is an object of its own, so no single conditional update covers two replicas. Two
//! planners that each count on the other's replica could unload both. The order of two steps
//! prevents it: an unload is first written into its own ledger, and only then are the ledgers of
//! the other replicas read. Of two planners that do so at once, at least one reads the other's
//! write. Whoever finds no other replica withdraws the order as never sent.

use types::{
    order::Action,
    prelude::*,
    resident::{Resident, State},
};

use super::Ledger;

impl Ledger {
    /// Whether some version of the unit is ready here that no order may still unload.
    pub fn keeps_replica(&self, unit: &Unit) -> bool {
        let keeps = |resident: &Resident| {
            is_version_of(&resident.unit, unit)
                && resident.state == State::Ready
                && !self.is_unloading(&resident.unit)
        };
        self.residents.iter().any(keeps)
    }

    /// Whether an order to unload this unit, or the model under it, is unsettled.
    pub fn is_unloading(&self, unit: &Unit) -> bool {
        self.orders.iter().any(|entry| match &entry.order.action {
            Action::Unload { unit: gone } => gone == unit || is_under(unit, gone),
            Action::Load { .. } | Action::Role { .. } => false,
        })
    }
}

/// Whether an unload that stands in its own ledger may be sent: another ledger, read after that
/// write, keeps the unit.
pub fn may_unload<'a>(unit: &Unit, others: impl IntoIterator<Item = &'a Ledger>) -> bool {
    others.into_iter().any(|ledger| ledger.keeps_replica(unit))
}

/// Whether both are versions of the same model, or of the same adapter.
fn is_version_of(unit: &Unit, other: &Unit) -> bool {
    match (unit, other) {
        (Unit::Model { model, .. }, Unit::Model { model: other, .. }) => model == other,
        (
            Unit::Adapter { model, adapter, .. },
            Unit::Adapter { model: base, adapter: other, .. },
        ) => model == base && adapter == other,
        (Unit::Model { .. }, Unit::Adapter { .. }) | (Unit::Adapter { .. }, Unit::Model { .. }) => {
            false
        }
    }
}

/// Whether `unit` is an adapter on the model that `base` is a version of.
fn is_under(unit: &Unit, base: &Unit) -> bool {
    match (unit, base) {
        (Unit::Adapter { model, .. }, Unit::Model { model: base, .. }) => model == base,
        (Unit::Adapter { .. } | Unit::Model { .. }, _) => false,
    }
}
