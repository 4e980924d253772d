//! The true accelerator memory, and the orders that change it.

use std::collections::VecDeque;

use types::{
    order::{Ack, Action, Order, Role},
    prelude::*,
    resident::{Resident, State},
};

use super::{Counts, Settings};

const ORDERS_KEPT: usize = 128;

#[derive(Debug)]
pub(super) struct Memory {
    capacity: Mebibytes,
    fenced: bool,
    residents: Vec<Resident>,
    fence: order::Fence,
    orders: VecDeque<order::Id>,
    role: Role,
}

/// What must still happen after an order was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Work {
    Nothing,
    Load(Unit),
    Unload(Unit),
}

impl Memory {
    pub(super) fn empty(settings: &Settings) -> Memory {
        Memory {
            capacity: settings.capacity,
            fenced: settings.fenced,
            residents: Vec::new(),
            fence: 0,
            orders: VecDeque::new(),
            role: Role::Whole,
        }
    }

    pub(super) fn new(settings: &Settings) -> Memory {
        let ready = |(unit, memory): &(Unit, Mebibytes)| Resident {
            unit: unit.clone(),
            memory: *memory,
            state: State::Ready,
        };
        Memory {
            residents: settings.preload.iter().map(ready).collect(),
            ..Memory::empty(settings)
        }
    }

    pub(super) fn residents(&self) -> &[Resident] {
        &self.residents
    }

    pub(super) fn fence(&self) -> order::Fence {
        self.fence
    }

    pub(super) fn orders(&self) -> Vec<order::Id> {
        self.orders.iter().cloned().collect()
    }

    pub(super) fn role(&self) -> Role {
        self.role
    }

    /// Whether a version of the model, and of the adapter if one is named, is ready.
    pub(super) fn is_ready(&self, name: &model::Name) -> bool {
        let mut ready = self.residents.iter().filter(|r| r.state == State::Ready);
        match &name.adapter {
            None => {
                ready.any(|r| matches!(&r.unit, Unit::Model { model, .. } if *model == name.model))
            }
            Some(wanted) => ready.any(|r| {
                matches!(&r.unit, Unit::Adapter { model, adapter, .. }
                    if *model == name.model && adapter == wanted)
            }),
        }
    }

    pub(super) fn take(&mut self, counts: &mut Counts, order: &Order) -> (Ack, Work) {
        if self.orders.contains(&order.id) {
            return (Ack::Accepted, Work::Nothing);
        }
        if self.fenced && order.fence <= self.fence {
            return (Ack::Stale { highest: self.fence }, Work::Nothing);
        }
        let taken = self.apply(counts, &order.action);
        let (ack, work) = match taken {
            Ok(work) => (Ack::Accepted, work),
            Err(reason) => (Ack::Refused { reason: reason.into() }, Work::Nothing),
        };
        self.fence = self.fence.max(order.fence);
        self.orders.push_back(order.id.clone());
        if ORDERS_KEPT < self.orders.len() {
            self.orders.pop_front();
        }
        (ack, work)
    }

    fn apply(&mut self, counts: &mut Counts, action: &Action) -> Result<Work, &'static str> {
        match action {
            Action::Role { role } => {
                self.role = *role;
                Ok(Work::Nothing)
            }
            Action::Load { unit, memory } => match self.find(unit).map(|r| r.state) {
                Some(State::Unloading) => Err("unit is being unloaded"),
                Some(State::Loading | State::Ready) => Ok(Work::Nothing),
                None => {
                    self.add(counts, unit, *memory);
                    Ok(Work::Load(unit.clone()))
                }
            },
            Action::Unload { unit } => match self.find(unit) {
                None => Ok(Work::Nothing),
                Some(resident) => {
                    resident.state = State::Unloading;
                    counts.moves += 1;
                    Ok(Work::Unload(unit.clone()))
                }
            },
        }
    }

    /// A real engine would fail here; this one counts, so that the test can.
    fn add(&mut self, counts: &mut Counts, unit: &Unit, memory: Mebibytes) {
        self.residents.push(Resident { unit: unit.clone(), memory, state: State::Loading });
        let taken: Mebibytes = self.residents.iter().map(|r| r.memory).sum();
        counts.moves += 1;
        counts.peak = counts.peak.max(taken);
        if self.capacity < taken {
            counts.overcommits += 1;
        }
    }

    pub(super) fn finish(&mut self, work: &Work) {
        match work {
            Work::Nothing => {}
            Work::Load(unit) => {
                if let Some(resident) = self.find(unit).filter(|r| r.state == State::Loading) {
                    resident.state = State::Ready;
                }
            }
            Work::Unload(unit) => {
                self.residents.retain(|r| r.unit != *unit || r.state != State::Unloading);
            }
        }
    }

    fn find(&mut self, unit: &Unit) -> Option<&mut Resident> {
        self.residents.iter_mut().find(|r| r.unit == *unit)
    }
}
