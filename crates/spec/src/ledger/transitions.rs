//! Transitions of the ledger model; `policy::ledger` makes the decisions.

use policy::ledger::{Ledger, ReportPosition, settle::Evidence};

use super::{
    Guard, Memory, Step, convert,
    state::{Action, Activity, Engine, Fencing, Order, PLANNERS, Phase, Report, State, Write},
    step,
};

type Next = Vec<(Step, State)>;

/// Inputs of a reservation, the key under which its result is cached.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Reservation {
    ledger: u32,
    order: usize,
    planner: usize,
    incarnation: u8,
    action: Action,
}

/// Inputs of a settlement, the key under which its result is cached.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Settlement {
    ledger: u32,
    engine: Engine,
    gone: [u8; PLANNERS],
    /// Bit set of the orders that the planner knows were never accepted.
    never_taken: u8,
    /// Bit set of the orders of which the planner knows that no message is in transit.
    not_in_flight: u8,
}

impl Memory {
    /// Appends the steps that a planner can take.
    pub(super) fn planner_steps(&self, state: &State, planner: usize, next: &mut Next) {
        let current = state.planners[planner];
        match current.activity {
            Activity::Idle => self.plan(state, planner, next),
            Activity::Unconfirmed(write) => self.read_back(state, planner, write, next),
        }
        if let Some(write) = current.delayed {
            let mut arrived = state.clone();
            arrived.planners[planner].delayed = None;
            self.apply_write(&mut arrived, write);
            next.push((Step::WriteArrives(planner), arrived));
        }
        let fresh = self.report(state, planner);
        next.push((Step::ReadAndSettle(planner), self.settle(state, planner, fresh)));
        match state.report {
            None => {
                let reader = u8::try_from(planner).expect("a planner index must fit in a u8");
                let read = State { report: Some((reader, fresh)), ..state.clone() };
                next.push((Step::Read(planner), read));
            }
            Some((reader, report)) if usize::from(reader) == planner => {
                let without_report = State { report: None, ..state.clone() };
                let settled = self.settle(&without_report, planner, report);
                next.push((Step::Settle(planner), settled));
            }
            Some(_) => {}
        }
        if state.deaths < self.bounds.deaths {
            next.push((Step::Die(planner), die(state, planner)));
        }
    }

    /// Appends the steps of an order: sending, delivery, answer and expiry.
    pub(super) fn order_steps(&self, state: &State, number: usize, next: &mut Next) {
        let order = state.orders[number];
        let with = |phase| {
            let mut next = state.clone();
            next.orders[number].phase = phase;
            next
        };
        match order.phase {
            Phase::Reserved => {
                next.push((Step::Send(number), with(Phase::InFlight)));
                next.push((Step::Withdraw(number), with(Phase::NeverTaken)));
            }
            Phase::InFlight => {
                let mut arrived = state.clone();
                let taken = arrived.engine.receive(self.fencing(), number, &order);
                arrived.orders[number].phase = Phase::Received { taken };
                next.push((Step::Arrive { order: number, taken }, arrived));
                next.push((Step::Expire(number), with(Phase::NotInFlight)));
            }
            Phase::Received { taken } => {
                if state.is_alive(&order) {
                    let phase = if taken { Phase::NotInFlight } else { Phase::NeverTaken };
                    next.push((Step::Answer(number), with(phase)));
                }
                next.push((Step::Expire(number), with(Phase::NotInFlight)));
            }
            Phase::Unconfirmed | Phase::NotInFlight | Phase::NeverTaken | Phase::Settled => {}
        }
    }

    /// Appends the steps that the engine takes without an order: restarts.
    pub(super) fn engine_steps(&self, state: &State, next: &mut Next) {
        if state.engine.incarnation <= self.bounds.restarts {
            let mut restarted = state.clone();
            restarted.engine.restart();
            next.push((Step::Restart, restarted));
        }
    }

    /// With [`Guard::Unfenced`] disabled, an engine that does not check fencing tokens still
    /// reports them, and the ledger wrongly relies on them.
    fn fencing(&self) -> Fencing {
        match (self.bounds.fenced, self.disabled) {
            (true, _) => Fencing::Refuses,
            (false, Some(Guard::Unfenced)) => Fencing::Reports,
            (false, _) => Fencing::Ignores,
        }
    }

    fn plan(&self, state: &State, planner: usize, next: &mut Next) {
        let number = state.orders.len();
        if number == self.bounds.orders {
            return;
        }
        let units = convert::units(&self.bounds);
        let actions = units.flat_map(|unit| [Action::Load(unit), Action::Unload(unit)]);
        for action in actions {
            let incarnation = state.planners[planner].incarnation;
            let reservation =
                Reservation { ledger: state.ledger, order: number, planner, incarnation, action };
            let Some(reserved) = self.reserve(reservation) else { continue };
            let mut planned = state.clone();
            planned.orders.push(Order {
                planner: u8::try_from(planner).expect("a planner index must fit in a u8"),
                incarnation,
                fence: u8::try_from(self.ledger(reserved).fence)
                    .expect("a fencing token must fit in a u8"),
                action,
                phase: Phase::Unconfirmed,
            });
            let order = u8::try_from(number).expect("an order number must fit in a u8");
            let write = Write { base: state.ledger, next: reserved, order };
            for (outcome, state) in self.outcomes(&planned, planner, write) {
                next.push((Step::reserve(planner, number, action, outcome), state));
            }
        }
    }

    /// The possible outcomes of a write whose ledger has not changed since it was read.
    ///
    /// A write to a changed ledger is not modelled: it is refused, which leaves the planner as it
    /// was before it read.
    fn outcomes(&self, planned: &State, planner: usize, write: Write) -> Vec<(step::Write, State)> {
        let mut answered = planned.clone();
        self.apply_write(&mut answered, write);
        confirm(&mut answered, planner, write);
        let mut outcomes = vec![(step::Write::Answered, answered)];
        if planned.lost_answers == self.bounds.lost_answers {
            return outcomes;
        }
        let mut lost = planned.clone();
        lost.lost_answers += 1;
        lost.planners[planner].activity = Activity::Unconfirmed(write);
        let mut effect = lost.clone();
        self.apply_write(&mut effect, write);
        outcomes.push((step::Write::AnswerLost, effect));
        if lost.planners[planner].delayed.is_none() {
            lost.planners[planner].delayed = Some(write);
            outcomes.push((step::Write::Delayed, lost));
        }
        outcomes
    }

    fn reserve(&self, reservation: Reservation) -> Option<u32> {
        if let Some(cached) = self.reservations.borrow().get(&reservation) {
            return *cached;
        }
        let reserved = self.compute_reservation(reservation).map(|ledger| self.intern(ledger));
        self.reservations.borrow_mut().insert(reservation, reserved);
        reserved
    }

    fn compute_reservation(&self, reservation: Reservation) -> Option<Ledger> {
        let ledger = self.ledger(reservation.ledger);
        let claim = convert::claim(reservation.order, reservation.planner, reservation.incarnation);
        let mut base = (*ledger).clone();
        if self.is_disabled(Guard::RestartSum) {
            base.orders.retain(|entry| !ledger.is_superseded(entry));
        }
        let (mut next, _) = base.reserve(claim, convert::action(reservation.action)).ok()?;
        if self.is_disabled(Guard::RestartSum) {
            let last = next.orders.pop()?;
            next.orders = ledger.orders.iter().cloned().chain([last]).collect();
        }
        if let (true, Action::Unload(unit)) =
            (self.is_disabled(Guard::UnloadByReport), reservation.action)
        {
            next.residents.retain(|resident| resident.unit != convert::unit(unit));
        }
        Some(next)
    }

    /// Applies a write in the object API if the ledger has not changed since it was read.
    fn apply_write(&self, state: &mut State, write: Write) {
        if state.ledger == write.base || self.is_disabled(Guard::ConditionalUpdate) {
            state.ledger = write.next;
        }
    }

    fn read_back(&self, state: &State, planner: usize, write: Write, next: &mut Next) {
        let is_open = self.open_orders(state.ledger) & (1 << write.order) != 0;
        let mut read = state.clone();
        if is_open || self.is_disabled(Guard::ReadBack) {
            confirm(&mut read, planner, write);
            next.push((Step::ReadBack(planner), read));
        } else if state.ledger == write.base {
            self.apply_write(&mut read, write);
            confirm(&mut read, planner, write);
            next.push((Step::WriteAgain(planner), read));
        } else {
            read.planners[planner].activity = Activity::Idle;
            read.orders[usize::from(write.order)].phase = Phase::NeverTaken;
            next.push((Step::ReadBack(planner), read));
        }
    }

    /// The engine's current report, with the evidence that the planner had before it asked.
    fn report(&self, state: &State, planner: usize) -> Report {
        Report {
            engine: state.engine,
            not_in_flight: self.not_in_flight(state, planner),
            gone: self.gone(state, planner),
        }
    }

    /// Bit set of the planner's own orders of which it knows that no message is in transit.
    fn not_in_flight(&self, state: &State, planner: usize) -> u8 {
        let own = |order: &Order| usize::from(order.planner) == planner && state.is_alive(order);
        let not_in_flight = |order: &Order| match order.phase {
            Phase::NotInFlight => true,
            Phase::InFlight | Phase::Received { .. } => self.is_disabled(Guard::Linger),
            Phase::Unconfirmed | Phase::Reserved | Phase::NeverTaken | Phase::Settled => false,
        };
        let orders = state.orders.iter().enumerate();
        orders
            .filter(|(_, order)| own(order) && not_in_flight(order))
            .fold(0, |bits, (number, _)| bits | 1 << number)
    }

    /// For each planner, its last ended run, or 0 if a message of an ended run may be in transit.
    fn gone(&self, state: &State, reader: usize) -> [u8; PLANNERS] {
        std::array::from_fn(|planner| {
            if self.is_disabled(Guard::PauseIsNotDeath) && planner != reader {
                return state.planners[planner].incarnation;
            }
            let last_ended = state.planners[planner].incarnation - 1;
            let has_in_flight = state.orders.iter().any(|order| {
                usize::from(order.planner) == planner
                    && order.incarnation <= last_ended
                    && !order.phase.has_no_messages()
            });
            if has_in_flight && !self.is_disabled(Guard::DeadLinger) { 0 } else { last_ended }
        })
    }

    fn settle(&self, state: &State, planner: usize, report: Report) -> State {
        let (never_taken, not_in_flight) = self.own_evidence(state, planner, &report);
        let Report { engine, gone, .. } = report;
        let settlement =
            Settlement { ledger: state.ledger, engine, gone, never_taken, not_in_flight };
        let cached = self.settlements.borrow().get(&settlement).copied();
        let ledger = cached.unwrap_or_else(|| {
            let ledger = self.intern(self.compute_settlement(&settlement));
            self.settlements.borrow_mut().insert(settlement, ledger);
            ledger
        });
        let mut settled = State { ledger, ..state.clone() };
        self.clear_settled(&mut settled);
        settled
    }

    fn compute_settlement(&self, settlement: &Settlement) -> Ledger {
        let mut load = convert::load(&settlement.engine, &self.bounds);
        load.fenced |= self.is_disabled(Guard::Unfenced);
        let after = ReportPosition::of(&load);
        let mut ledger = (*self.ledger(settlement.ledger)).clone();
        if self.is_disabled(Guard::ReportOrder) {
            ledger.last_report = ReportPosition::default();
        }
        let never_taken =
            convert::orders(settlement.never_taken).map(|order| Evidence::NeverTaken { order });
        let not_in_flight = convert::orders(settlement.not_in_flight)
            .map(|order| Evidence::NotInFlight { order, after });
        let gone = (0..PLANNERS).map(|planner| Evidence::SenderGone {
            sender: convert::host(planner),
            incarnation: settlement.gone[planner].into(),
            after,
        });
        let report = std::iter::once(Evidence::Report(&load));
        let evidence: Vec<Evidence<'_>> =
            report.chain(never_taken).chain(not_in_flight).chain(gone).collect();
        let outcome = ledger.settle(&evidence);
        let mut settled = if outcome.affects_planning(&ledger) { outcome.ledger } else { ledger };
        if self.is_disabled(Guard::AbsenceIsNoEvidence) {
            settled.orders.retain(|entry| match &entry.order.action {
                types::order::Action::Load { unit, .. } => {
                    load.residents.iter().any(|resident| resident.unit == *unit)
                }
                types::order::Action::Unload { .. } | types::order::Action::Role { .. } => true,
            });
        }
        settled
    }

    /// Replaces settled orders of which no message is in transit by a placeholder, so that states
    /// that differ in nothing else are merged.
    fn clear_settled(&self, state: &mut State) {
        let open_orders = self.open_orders(state.ledger);
        let delayed =
            state.planners.map(|planner| planner.delayed.map(|write| usize::from(write.order)));
        for (number, order) in state.orders.iter_mut().enumerate() {
            let is_open = open_orders & (1 << number) != 0;
            if is_open || !order.phase.has_no_messages() || delayed.contains(&Some(number)) {
                continue;
            }
            *order = Order::SETTLED;
            state.engine.taken &= !(1 << number);
            if let Some((_, report)) = &mut state.report {
                report.engine.taken &= !(1 << number);
                report.not_in_flight &= !(1 << number);
            }
        }
    }

    /// Bit sets of the planner's own orders that were never accepted, and of those without a
    /// message in transit.
    fn own_evidence(&self, state: &State, planner: usize, report: &Report) -> (u8, u8) {
        let own = |order: &Order| usize::from(order.planner) == planner && state.is_alive(order);
        let never_taken = |order: &Order| match order.phase {
            Phase::NeverTaken => true,
            Phase::NotInFlight => self.is_disabled(Guard::EffectByReport),
            Phase::Unconfirmed
            | Phase::Reserved
            | Phase::InFlight
            | Phase::Received { .. }
            | Phase::Settled => false,
        };
        let orders = state.orders.iter().enumerate();
        let never_taken = orders
            .filter(|(_, order)| own(order) && never_taken(order))
            .fold(0, |bits, (number, _)| bits | 1 << number);
        let not_in_flight = match self.is_disabled(Guard::FreshReport) {
            true => self.not_in_flight(state, planner),
            false => report.not_in_flight,
        };
        (never_taken, not_in_flight)
    }
}

/// Records that the planner knows its reservation to be in the ledger.
fn confirm(state: &mut State, planner: usize, write: Write) {
    state.planners[planner].activity = Activity::Idle;
    state.orders[usize::from(write.order)].phase = Phase::Reserved;
}

/// Ends a planner's process: its unsent orders are never sent, those in transit may still arrive.
fn die(state: &State, planner: usize) -> State {
    let mut next = state.clone();
    next.deaths += 1;
    let current = &mut next.planners[planner];
    current.incarnation += 1;
    current.activity = Activity::Idle;
    let own = next.orders.iter_mut().filter(|order| usize::from(order.planner) == planner);
    for order in own {
        if matches!(order.phase, Phase::Unconfirmed | Phase::Reserved | Phase::NeverTaken) {
            order.phase = Phase::NotInFlight;
        }
    }
    next.report = next.report.filter(|(reader, _)| usize::from(*reader) != planner);
    next
}
