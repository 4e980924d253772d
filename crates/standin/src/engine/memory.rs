//! Accelerator memory, and the orders that change it.

use std::collections::VecDeque;

use types::{
    order::{Ack, Action, Order, Role},
    prelude::*,
    resident::{Resident, State},
};

use super::{Counts, Settings};

const MAX_ORDERS: usize = 128;

#[derive(Debug)]
pub(super) struct Memory {
    capacity: Mebibytes,
    fenced: bool,
    residents: Vec<Resident>,
    fence: order::Fence,
    orders: VecDeque<order::Id>,
    role: Role,
}

/// Work that remains after an order was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Work {
    Done,
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

    /// Whether any version of the adapter is ready, or of the model if the name has no adapter.
    pub(super) fn is_ready(&self, name: &model::Name) -> bool {
        let mut ready = self.residents.iter().filter(|r| r.state == State::Ready);
        match &name.adapter {
            None => {
                ready.any(|r| matches!(&r.unit, Unit::Model { model, .. } if *model == name.model))
            }
            Some(adapter_name) => ready.any(|r| {
                matches!(&r.unit, Unit::Adapter { model, adapter, .. }
                    if *model == name.model && adapter == adapter_name)
            }),
        }
    }

    pub(super) fn execute(&mut self, counts: &mut Counts, order: &Order) -> (Ack, Work) {
        if self.orders.contains(&order.id) {
            return (Ack::Accepted, Work::Done);
        }
        if self.fenced && order.fence <= self.fence {
            return (Ack::Stale { highest: self.fence }, Work::Done);
        }
        let result = self.apply(counts, &order.action);
        let (ack, work) = match result {
            Ok(work) => (Ack::Accepted, work),
            Err(reason) => (Ack::Refused { reason: reason.into() }, Work::Done),
        };
        self.fence = self.fence.max(order.fence);
        self.orders.push_back(order.id.clone());
        if MAX_ORDERS < self.orders.len() {
            self.orders.pop_front();
        }
        (ack, work)
    }

    fn apply(&mut self, counts: &mut Counts, action: &Action) -> Result<Work, &'static str> {
        match action {
            Action::Role { role } => {
                self.role = *role;
                Ok(Work::Done)
            }
            Action::Load { unit, memory } => match self.find(unit).map(|r| r.state) {
                Some(State::Unloading) => Err("unit is being unloaded"),
                Some(State::Loading | State::Ready) => Ok(Work::Done),
                None => {
                    self.add(counts, unit, *memory);
                    Ok(Work::Load(unit.clone()))
                }
            },
            Action::Unload { unit } => match self.find(unit) {
                None => Ok(Work::Done),
                Some(resident) => {
                    resident.state = State::Unloading;
                    counts.moves += 1;
                    Ok(Work::Unload(unit.clone()))
                }
            },
        }
    }

    /// Adds a unit even if it exceeds the capacity. A real engine would fail; this one counts the
    /// overcommit, so that a test can fail on it.
    fn add(&mut self, counts: &mut Counts, unit: &Unit, memory: Mebibytes) {
        self.residents.push(Resident { unit: unit.clone(), memory, state: State::Loading });
        let used: Mebibytes = self.residents.iter().map(|r| r.memory).sum();
        counts.moves += 1;
        counts.peak = counts.peak.max(used);
        if self.capacity < used {
            counts.overcommits += 1;
        }
    }

    pub(super) fn finish(&mut self, work: &Work) {
        match work {
            Work::Done => {}
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
