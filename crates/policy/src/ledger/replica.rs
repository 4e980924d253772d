//! Make before break, across several ledgers.
//!
//! Each ledger is a separate object, so no single conditional update covers two replicas. Two
//! planners that each rely on the other's replica could unload both. The order of two steps
//! prevents that: an unload is first written into its own ledger, and only then are the ledgers of
//! the other replicas read. Of two planners that do so at once, at least one reads the other's
//! write. A planner that finds no other replica withdraws its order as never sent.

use types::{
    order::Action,
    prelude::*,
    resident::{Resident, State},
};

use super::Ledger;

impl Ledger {
    /// Returns whether some version of the unit is ready on this server and no order may still
    /// unload it.
    pub fn keeps_replica(&self, unit: &Unit) -> bool {
        let keeps = |resident: &Resident| {
            is_version_of(&resident.unit, unit)
                && resident.state == State::Ready
                && !self.is_unloading(&resident.unit)
        };
        self.residents.iter().any(keeps)
    }

    /// Returns whether an order to unload this unit, or the model under it, is unsettled.
    pub fn is_unloading(&self, unit: &Unit) -> bool {
        self.orders.iter().any(|entry| match &entry.order.action {
            Action::Unload { unit: gone } => gone == unit || is_under(unit, gone),
            Action::Load { .. } | Action::Role { .. } => false,
        })
    }
}

/// Returns whether an unload that is recorded in its own ledger may be sent: one of the other
/// ledgers, read after that write, has a replica that stays.
pub fn may_unload<'a>(unit: &Unit, others: impl IntoIterator<Item = &'a Ledger>) -> bool {
    others.into_iter().any(|ledger| ledger.keeps_replica(unit))
}

/// Returns whether both are versions of the same model, or of the same adapter.
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

/// Returns whether `unit` is an adapter on the model of `base`.
fn is_under(unit: &Unit, base: &Unit) -> bool {
    match (unit, base) {
        (Unit::Adapter { model, .. }, Unit::Model { model: base, .. }) => model == base,
        (Unit::Adapter { .. } | Unit::Model { .. }, _) => false,
    }
}
