//! What may happen next, with `policy::ledger` deciding.

use policy::ledger::{Ledger, ReportPosition, settle::Evidence};

use super::{
    Guard, Memory, Step,
    state::{Action, Doing, Engine, Fencing, PLANNERS, Phase, Report, Sent, State, Write},
    step, words,
};

type Next = Vec<(Step, State)>;

/// What a reservation depends on; the same question is put to `policy` once.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Asked {
    ledger: u32,
    order: usize,
    planner: usize,
    incarnation: u8,
    action: Action,
}

/// What a settlement depends on; the same question is put to `policy` once.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Known {
    ledger: u32,
    engine: Engine,
    gone: [u8; PLANNERS],
    /// Orders that the planner says were never taken, a bit each.
    never: u8,
    /// Orders that the planner says are quiet, a bit each.
    quiet: u8,
}

impl Memory {
    /// Steps of one planner.
    pub(super) fn planner_steps(&self, state: &State, planner: usize, next: &mut Next) {
        let now = state.planners[planner];
        match now.doing {
            Doing::Idle => self.plan(state, planner, next),
            Doing::Unsure(write) => self.read_back(state, planner, write, next),
        }
        if let Some(write) = now.late {
            let mut arrived = state.clone();
            arrived.planners[planner].late = None;
            self.put(&mut arrived, write);
            next.push((Step::WriteArrives(planner), arrived));
        }
        let fresh = self.report(state, planner);
        next.push((Step::ReadAndSettle(planner), self.settle(state, planner, fresh)));
        match state.report {
            None => {
                let reader = u8::try_from(planner).expect("few planners");
                let read = State { report: Some((reader, fresh)), ..state.clone() };
                next.push((Step::Read(planner), read));
            }
            Some((reader, report)) if usize::from(reader) == planner => {
                let taken_in = State { report: None, ..state.clone() };
                let settled = self.settle(&taken_in, planner, report);
                next.push((Step::Settle(planner), settled));
            }
            Some(_) => {}
        }
        if state.deaths < self.bounds.deaths {
            next.push((Step::Die(planner), die(state, planner)));
        }
    }

    /// Steps of one order.
    pub(super) fn order_steps(&self, state: &State, number: usize, next: &mut Next) {
        let order = state.orders[number];
        let with = |phase| {
            let mut next = state.clone();
            next.orders[number].phase = phase;
            next
        };
        match order.phase {
            Phase::Hand => {
                next.push((Step::Send(number), with(Phase::Flight)));
                next.push((Step::Withdraw(number), with(Phase::Never)));
            }
            Phase::Flight => {
                let mut arrived = state.clone();
                let taken = arrived.engine.receive(self.fencing(), number, &order);
                arrived.orders[number].phase = Phase::Landed { taken };
                next.push((Step::Arrive { order: number, taken }, arrived));
                next.push((Step::Expire(number), with(Phase::Quiet)));
            }
            Phase::Landed { taken } => {
                if state.is_alive(&order) {
                    let known = if taken { Phase::Quiet } else { Phase::Never };
                    next.push((Step::Answer(number), with(known)));
                }
                next.push((Step::Expire(number), with(Phase::Quiet)));
            }
            Phase::Draft | Phase::Quiet | Phase::Never | Phase::Over => {}
        }
    }

    /// Steps of the engine by itself.
    pub(super) fn engine_steps(&self, state: &State, next: &mut Next) {
        if state.engine.incarnation <= self.bounds.restarts {
            let mut restarted = state.clone();
            restarted.engine.restart();
            next.push((Step::Restart, restarted));
        }
    }

    /// An engine that ignores fencing numbers may still report them; the ledger must not look.
    fn fencing(&self) -> Fencing {
        match (self.bounds.fenced, self.off) {
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
        let units = words::units(&self.bounds);
        let actions = units.flat_map(|unit| [Action::Load(unit), Action::Unload(unit)]);
        for action in actions {
            let incarnation = state.planners[planner].incarnation;
            let asked = Asked { ledger: state.ledger, order: number, planner, incarnation, action };
            let Some(reserved) = self.reserve(asked) else { continue };
            let mut planned = state.clone();
            planned.orders.push(Sent {
                planner: u8::try_from(planner).expect("few planners"),
                incarnation,
                fence: u8::try_from(self.ledger(reserved).fence).expect("few orders"),
                action,
                phase: Phase::Draft,
            });
            let order = u8::try_from(number).expect("few orders");
            let write = Write { base: state.ledger, next: reserved, order };
            for (outcome, state) in self.outcomes(&planned, planner, write) {
                next.push((Step::reserve(planner, number, action, outcome), state));
            }
        }
    }

    /// What may become of a write whose ledger has not changed since it was read.
    ///
    /// One that has changed is refused, and the planner is where it was before it read.
    fn outcomes(&self, planned: &State, planner: usize, write: Write) -> Vec<(step::Write, State)> {
        let mut answered = planned.clone();
        self.put(&mut answered, write);
        hand_over(&mut answered, planner, write);
        let mut outcomes = vec![(step::Write::Answered, answered)];
        if planned.lost_answers == self.bounds.lost_answers {
            return outcomes;
        }
        let mut lost = planned.clone();
        lost.lost_answers += 1;
        lost.planners[planner].doing = Doing::Unsure(write);
        let mut effect = lost.clone();
        self.put(&mut effect, write);
        outcomes.push((step::Write::AnswerLost, effect));
        if lost.planners[planner].late.is_none() {
            lost.planners[planner].late = Some(write);
            outcomes.push((step::Write::Delayed, lost));
        }
        outcomes
    }

    fn reserve(&self, asked: Asked) -> Option<u32> {
        if let Some(known) = self.reserved.borrow().get(&asked) {
            return *known;
        }
        let answer = self.ask(asked).map(|ledger| self.number(ledger));
        self.reserved.borrow_mut().insert(asked, answer);
        answer
    }

    fn ask(&self, asked: Asked) -> Option<Ledger> {
        let ledger = self.ledger(asked.ledger);
        let claim = words::claim(asked.order, asked.planner, asked.incarnation);
        let mut base = (*ledger).clone();
        if self.is_off(Guard::RestartSum) {
            base.orders.retain(|entry| !ledger.is_superseded(entry));
        }
        let (mut next, _) = base.reserve(claim, words::action(asked.action)).ok()?;
        if self.is_off(Guard::RestartSum) {
            let last = next.orders.pop()?;
            next.orders = ledger.orders.iter().cloned().chain([last]).collect();
        }
        if let (true, Action::Unload(unit)) = (self.is_off(Guard::UnloadByReport), asked.action) {
            next.residents.retain(|resident| resident.unit != words::unit(unit));
        }
        Some(next)
    }

    /// The object API takes the write if the ledger has not changed.
    fn put(&self, state: &mut State, write: Write) {
        if state.ledger == write.base || self.is_off(Guard::ConditionalUpdate) {
            state.ledger = write.next;
        }
    }

    fn read_back(&self, state: &State, planner: usize, write: Write, next: &mut Next) {
        let stands = self.standing(state.ledger) & (1 << write.order) != 0;
        let mut read = state.clone();
        if stands || self.is_off(Guard::ReadBack) {
            hand_over(&mut read, planner, write);
            next.push((Step::ReadBack(planner), read));
        } else if state.ledger == write.base {
            self.put(&mut read, write);
            hand_over(&mut read, planner, write);
            next.push((Step::WriteAgain(planner), read));
        } else {
            read.planners[planner].doing = Doing::Idle;
            read.orders[usize::from(write.order)].phase = Phase::Never;
            next.push((Step::ReadBack(planner), read));
        }
    }

    /// A report as it is now, with what the planner knew before it asked.
    fn report(&self, state: &State, planner: usize) -> Report {
        Report {
            engine: state.engine,
            quiet: self.quiet(state, planner),
            gone: self.gone(state, planner),
        }
    }

    /// The planner's own orders of which nothing is in flight.
    fn quiet(&self, state: &State, planner: usize) -> u8 {
        let own = |order: &Sent| usize::from(order.planner) == planner && state.is_alive(order);
        let quiet = |order: &Sent| match order.phase {
            Phase::Quiet => true,
            Phase::Flight | Phase::Landed { .. } => self.is_off(Guard::Linger),
            Phase::Draft | Phase::Hand | Phase::Never | Phase::Over => false,
        };
        let orders = state.orders.iter().enumerate();
        orders
            .filter(|(_, order)| own(order) && quiet(order))
            .fold(0, |bits, (number, _)| bits | 1 << number)
    }

    /// For each planner, the last run of which nothing is left.
    fn gone(&self, state: &State, asker: usize) -> [u8; PLANNERS] {
        std::array::from_fn(|planner| {
            if self.is_off(Guard::PauseIsNotDeath) && planner != asker {
                return state.planners[planner].incarnation;
            }
            let dead = state.planners[planner].incarnation - 1;
            let left = state.orders.iter().any(|order| {
                usize::from(order.planner) == planner
                    && order.incarnation <= dead
                    && !order.phase.is_quiet()
            });
            if left && !self.is_off(Guard::DeadLinger) { 0 } else { dead }
        })
    }

    fn settle(&self, state: &State, planner: usize, report: Report) -> State {
        let (never, quiet) = self.own_words(state, planner, &report);
        let Report { engine, gone, .. } = report;
        let known = Known { ledger: state.ledger, engine, gone, never, quiet };
        let cached = self.settled.borrow().get(&known).copied();
        let ledger = cached.unwrap_or_else(|| {
            let ledger = self.number(self.evidence(&known));
            self.settled.borrow_mut().insert(known, ledger);
            ledger
        });
        let mut settled = State { ledger, ..state.clone() };
        self.forget(&mut settled);
        settled
    }

    fn evidence(&self, known: &Known) -> Ledger {
        let mut load = words::load(&known.engine, &self.bounds);
        load.fenced |= self.is_off(Guard::Unfenced);
        let after = ReportPosition::of(&load);
        let mut ledger = (*self.ledger(known.ledger)).clone();
        if self.is_off(Guard::ReportOrder) {
            ledger.last_report = ReportPosition::default();
        }
        let never = words::orders(known.never).map(|order| Evidence::NeverTaken { order });
        let quiet = words::orders(known.quiet).map(|order| Evidence::NotInFlight { order, after });
        let gone = (0..PLANNERS).map(|planner| Evidence::SenderGone {
            sender: words::host(planner),
            incarnation: known.gone[planner].into(),
            after,
        });
        let report = std::iter::once(Evidence::Report(&load));
        let evidence: Vec<Evidence<'_>> = report.chain(never).chain(quiet).chain(gone).collect();
        let outcome = ledger.settle(&evidence);
        let mut settled = if outcome.affects_planning(&ledger) { outcome.ledger } else { ledger };
        if self.is_off(Guard::AbsenceIsNoEvidence) {
            settled.orders.retain(|entry| match &entry.order.action {
                types::order::Action::Load { unit, .. } => {
                    load.residents.iter().any(|resident| resident.unit == *unit)
                }
                types::order::Action::Unload { .. } | types::order::Action::Role { .. } => true,
            });
        }
        settled
    }

    /// Forgets what is left of orders that are quiet and settled, so that states that differ in
    /// nothing else are one.
    fn forget(&self, state: &mut State) {
        let standing = self.standing(state.ledger);
        let late = state.planners.map(|planner| planner.late.map(|write| usize::from(write.order)));
        for (number, order) in state.orders.iter_mut().enumerate() {
            let stands = standing & (1 << number) != 0;
            if stands || !order.phase.is_quiet() || late.contains(&Some(number)) {
                continue;
            }
            *order = Sent::OVER;
            state.engine.taken &= !(1 << number);
            if let Some((_, report)) = &mut state.report {
                report.engine.taken &= !(1 << number);
                report.quiet &= !(1 << number);
            }
        }
    }

    /// What a planner says of its own orders: never taken, and quiet.
    fn own_words(&self, state: &State, planner: usize, report: &Report) -> (u8, u8) {
        let own = |order: &Sent| usize::from(order.planner) == planner && state.is_alive(order);
        let never = |order: &Sent| match order.phase {
            Phase::Never => true,
            Phase::Quiet => self.is_off(Guard::EffectByReport),
            Phase::Draft | Phase::Hand | Phase::Flight | Phase::Landed { .. } | Phase::Over => {
                false
            }
        };
        let orders = state.orders.iter().enumerate();
        let never = orders
            .filter(|(_, order)| own(order) && never(order))
            .fold(0, |bits, (number, _)| bits | 1 << number);
        let quiet = match self.is_off(Guard::FreshReport) {
            true => self.quiet(state, planner),
            false => report.quiet,
        };
        (never, quiet)
    }
}

/// The planner now knows that its reservation stands.
fn hand_over(state: &mut State, planner: usize, write: Write) {
    state.planners[planner].doing = Doing::Idle;
    state.orders[usize::from(write.order)].phase = Phase::Hand;
}

/// The process ends at once: what it had in hand is never sent, what it sent goes on.
fn die(state: &State, planner: usize) -> State {
    let mut next = state.clone();
    next.deaths += 1;
    let now = &mut next.planners[planner];
    now.incarnation += 1;
    now.doing = Doing::Idle;
    let mine = next.orders.iter_mut().filter(|order| usize::from(order.planner) == planner);
    for order in mine {
        if matches!(order.phase, Phase::Draft | Phase::Hand | Phase::Never) {
            order.phase = Phase::Quiet;
        }
    }
    next.report = next.report.filter(|(reader, _)| usize::from(*reader) != planner);
    next
}
