//! Arrivals, and what follows a failed attempt.

use types::prelude::*;

use super::{
    Dispatcher,
    ask::{Again, Answer, Ask, Cause, End, Ticket, Verdict},
    budget::Payment,
    choose::{Choice, Outcome},
    poison,
    queue::{Class, Key},
    stats::duration,
    task::{Flight, Leaving, Phase, State, Task},
};

/// Part of its patience that a request may expect to wait, in time or beyond it. Holding a request
/// costs what it could have earned by being refused at once, up to all of it at three quarters of
/// its patience; what is late earns three tenths. An eighth is where a likely late answer is still
/// worth the risk.
const HOPE: u32 = 8;

/// Part of its goal that a request must have left, besides the time that it takes, to go before
/// those that are late. Without it, overload serves each request when it is just too late.
const SLACK: f64 = 0.33;

/// Part of its patience that a request waits for servers while none holds what it wants: a load
/// takes seconds, and a model that is rarely asked for is never loaded for those who were refused.
const MISSING: f64 = 0.35;

/// The same, once a load is on its way.
const COMING: f64 = 0.7;

/// Bounds of the time after which a refused request is to come back, as parts of its patience.
/// Callers wait a third of what they have left at the most.
const AFTER_LEAST: u32 = 12;
const AFTER_MOST: u32 = 5;

/// Callers wait one part in so many of what they have left, at the most, before they come back.
const COME_BACK: u32 = 3;

/// Least number of requests that end in a millisecond.
const LEAST_ENDS: f64 = 1e-7;

/// What an arrival can expect.
struct Outlook {
    /// Time until it starts; milliseconds.
    wait: f64,
    /// Time from there to its first byte.
    serve: f64,
}

impl Dispatcher {
    /// Judges a request that has come.
    pub fn arrive(&mut self, ask: Ask, now: Moment) -> Verdict {
        let service = self.fleet.service(&ask.service);
        let model = ask.model.as_ref().map(|model| self.fleet.model(service, model));
        self.fleet.services[service as usize].budget.request(now);
        if self.poison.standing(ask.fingerprint) == poison::Standing::Poison {
            return Verdict::Quarantined;
        }
        let mut task = Task::new(ask, service, model, now);
        let ahead = self.ahead(&task);
        self.note_missed(&task, now);
        match self.choose(&task, now) {
            Outcome::Send(choice) if ahead == 0 => Verdict::Send(self.send(task, choice, now)),
            Outcome::Nobody => self.wait_for_load(task, now),
            outcome => {
                let outlook = self.outlook(&task, now);
                // Where there is a place, what waits wants something else, and the next look at
                // the queue sends this one.
                let is_full = matches!(outcome, Outcome::Full);
                if let Some(after) = self.hopeless(&task, &outlook, now).filter(|_| is_full) {
                    let is_limited = self.limited_rate(&task, now).is_some();
                    let cause = if is_limited { Cause::Limit } else { Cause::Full };
                    return Verdict::Refuse { cause, after };
                }
                let class = class(&task, &outlook, now);
                let give_up = give_up(&task, class, &outlook, now);
                self.enqueue(&mut task, class, give_up, now);
                self.tasks.insert(task.ask.ticket, task);
                Verdict::Wait
            }
        }
    }

    /// Judges what follows an attempt that failed. The request is over if it is given up.
    pub fn again(&mut self, ticket: Ticket, end: End, now: Moment) -> Again {
        let Some(mut task) = self.tasks.remove(&ticket) else {
            return Again::GiveUp(Answer::Unclear);
        };
        let state = std::mem::replace(&mut task.state, State::Idle);
        let State::Flying(flight) = state else {
            let after = after(&task, 0.0);
            return Again::GiveUp(Answer::NotRun { cause: Cause::Late, after });
        };
        self.settle(&mut task, &flight, end, now);
        task.tried(&flight.id, end);
        let outcome = self.choose(&task, now);
        if let Err(cause) = self.may_repeat(&mut task, end, &outcome, now) {
            self.refund(&mut task);
            return Again::GiveUp(self.answer(&task, end, cause, now));
        }
        match outcome {
            Outcome::Send(choice) => Again::Send(self.send(task, choice, now)),
            Outcome::Full => {
                self.wait_again(task, Duration::ZERO, now);
                Again::Wait
            }
            Outcome::Nobody => self.wait_for_another(task, now),
        }
    }

    /// Gives back what was paid for an arrival that is not to come.
    pub(super) fn refund(&mut self, task: &mut Task) {
        if let Some(payment) = task.payment.take() {
            self.fleet.services[task.service as usize].budget.refund(payment);
        }
    }

    /// Keeps a request that was tried until another server has a place for it: what may have run as
    /// long as its time allows, since all that it could still earn is lost otherwise; what did not
    /// run no longer than a late one, or until then.
    fn wait_again(&mut self, mut task: Task, until: Moment, now: Moment) {
        let outlook = self.outlook(&task, now);
        let give_up = match task.runs {
            0 => give_up(&task, Class::Late, &outlook, now).max(until),
            _ => last(&task, &outlook),
        };
        self.enqueue(&mut task, Class::Begun, give_up, now);
        self.tasks.insert(task.ask.ticket, task);
    }

    fn wait_for_another(&mut self, task: Task, now: Moment) -> Again {
        let coming = self.coming_at(&task);
        let (model, adapter) = (task.ask.model.clone(), task.ask.adapter.clone());
        let until = missing_until(&task, coming);
        self.wait_again(task, until, now);
        let missing = model.filter(|_| coming.is_none());
        missing.map_or(Again::Wait, |model| Again::Missing { model, adapter })
    }

    /// Whether another attempt is allowed and paid for, or else why not.
    fn may_repeat(
        &mut self,
        task: &mut Task,
        end: End,
        outcome: &Outcome,
        now: Moment,
    ) -> Result<(), Cause> {
        self.is_of_use(task, end, now)?;
        // A loan pays for what leaves at once, and the time for that is over.
        task.payment = task.payment.filter(|payment| *payment == Payment::Own);
        // What has reached no server so far arrives for the first time.
        if !task.has_arrived || task.payment.is_some() {
            return Ok(());
        }
        let (need, extra) = (task.need(), self.sharers.extra());
        let budget = &mut self.fleet.services[task.service as usize].budget;
        task.payment = match outcome {
            Outcome::Send(_) => budget.pay(need, extra, now),
            Outcome::Full | Outcome::Nobody => budget.reserve(need, extra, now),
        };
        task.payment.map(|_| ()).ok_or(Cause::Budget)
    }

    /// Whether another attempt is allowed, apart from its price, or else why not.
    pub(super) fn is_of_use(&self, task: &Task, end: End, now: Moment) -> Result<(), Cause> {
        let is_allowed = match end {
            End::Whole | End::Cancelled => false,
            End::NotRun(_) | End::Unreachable(_) => true,
            End::ServerError | End::Unclear(_) => task.ask.is_repeatable(),
        };
        let serve = duration(self.stats(task).base());
        let is_poison = self.poison.standing(task.ask.fingerprint) == poison::Standing::Poison;
        if !is_allowed || !task.has_tries() {
            return Err(Cause::Attempts);
        }
        if is_poison {
            return Err(Cause::Poison);
        }
        if task.ask.deadline <= now + serve {
            return Err(Cause::Late);
        }
        Ok(())
    }

    fn answer(&self, task: &Task, end: End, cause: Cause, now: Moment) -> Answer {
        match end {
            _ if task.runs == 0 => Answer::NotRun { cause, after: self.come_back(task, now) },
            End::Whole | End::ServerError => Answer::Server,
            End::NotRun(_) | End::Unreachable(_) | End::Unclear(_) | End::Cancelled => {
                Answer::Unclear
            }
        }
    }

    /// Takes a place at the chosen server.
    pub(super) fn send(&mut self, mut task: Task, choice: Choice, now: Moment) -> backend::Id {
        let ticket = task.ask.ticket;
        let suspect = self.is_suspect(&task);
        for (digest, _) in &task.chain {
            self.hints.add(*digest, choice.server, now);
        }
        let memory = task.memory();
        let server = self.fleet.get_mut(choice.server).expect("a chosen server is there");
        if server.is_limited {
            self.quotas.use_permit(&server.id, now);
        }
        server.load.sent(ticket, choice.unread, memory, now);
        server.doubt.sent(ticket, now);
        let id = server.id.clone();
        if suspect {
            self.poison.try_out(ticket, task.ask.fingerprint, &id);
        }
        task.state = State::Flying(Flight {
            server: choice.server,
            id: id.clone(),
            sent: now,
            usual: choice.usual,
            work: choice.work,
            queue: choice.queue,
            expected: choice.expected,
            is_cold: server.is_cold(now),
            phase: Phase::Open,
            leaving: Leaving::No,
        });
        self.tasks.insert(ticket, task);
        id
    }

    fn wait_for_load(&mut self, mut task: Task, now: Moment) -> Verdict {
        let coming = self.coming_at(&task);
        if let Some(ready) = coming.filter(|ready| self.is_too_late(&task, *ready)) {
            let most = task.ask.deadline.saturating_sub(now) / COME_BACK;
            let after = ready.saturating_sub(now).min(most);
            return Verdict::Refuse { cause: Cause::NoServer, after };
        }
        let give_up = missing_until(&task, coming);
        let missing = task.ask.model.clone().filter(|_| coming.is_none());
        let adapter = task.ask.adapter.clone();
        self.enqueue(&mut task, Class::OnTime, give_up, now);
        self.tasks.insert(task.ask.ticket, task);
        missing.map_or(Verdict::Wait, |model| Verdict::Missing { model, adapter })
    }

    /// Whether its caller will have left when a load that it waits for is done: loads take seconds.
    fn is_too_late(&self, task: &Task, ready: Moment) -> bool {
        task.leaves() < ready + duration(self.stats(task).base())
    }

    /// When a load that the request waits for should be done.
    fn coming_at(&self, task: &Task) -> Option<Moment> {
        let coming = &self.fleet.models[task.model? as usize].coming;
        let is_other = |index| {
            let server = self.fleet.get(index);
            server.is_some_and(|server| !task.ask.avoid.contains(&server.id))
        };
        let wanted =
            coming.iter().filter(|(at, adapter, _)| *adapter == task.ask.adapter && is_other(*at));
        wanted.map(|(_, _, ready)| *ready).min()
    }

    pub(super) fn enqueue(&mut self, task: &mut Task, class: Class, give_up: Moment, now: Moment) {
        let serve = duration(self.stats(task).base()) + task.ask.goal.mul_f64(SLACK);
        let due = match class {
            Class::Begun => now,
            Class::OnTime | Class::Late => task.due.saturating_sub(serve),
        };
        let key = Key { priority: task.ask.priority, class, due, ticket: task.ask.ticket };
        task.state = State::Waiting(key, give_up);
        self.fleet.services[task.service as usize].queue.add(key, task.model, give_up);
    }

    fn ahead(&self, task: &Task) -> u32 {
        let queue = &self.fleet.services[task.service as usize].queue;
        queue.ahead(task.model, task.ask.priority)
    }

    /// What a request can expect that waits now, by the pace at which places become free and this
    /// host's part of them.
    fn outlook(&self, task: &Task, now: Moment) -> Outlook {
        let (mut slots, mut own, mut all) = (0.0, 1.0, 1.0);
        let mut limited = None;
        for index in self.list(task).sample(task.seed()) {
            let Some(server) = self.fleet.get(index) else { continue };
            if !self.is_able(task, server) {
                continue;
            }
            match self.own_rate(server, now) {
                Some(rate) => *limited.get_or_insert(0.0) += rate,
                None => slots += f64::from(server.slots),
            }
            own += f64::from(server.load.own());
            all += server.load.in_flight(self.fleet.peers_at(), now);
        }
        let stats = self.stats(task);
        let part = (own / all).max(0.5 / f64::from(self.hosts));
        let slots = if limited.is_some() { slots } else { f64::max(slots, 1.0) };
        let ends = (slots / stats.hold() * part + limited.unwrap_or(0.0)).max(LEAST_ENDS);
        let ahead = f64::from(self.ahead(task)) + 1.0;
        Outlook { wait: ahead / ends, serve: self.serve(task) }
    }

    /// Time from a request's start to its first byte, in milliseconds.
    fn serve(&self, task: &Task) -> f64 {
        let reading = f64::from(task.input()) / super::choose::READ_RATE;
        let reading = if task.model.is_some() { reading } else { 0.0 };
        self.stats(task).base() + reading
    }

    /// When to come back, if it is no use to wait here.
    fn hopeless(&self, task: &Task, outlook: &Outlook, now: Moment) -> Option<Duration> {
        let start = now + duration(outlook.wait);
        let served = start + duration(outlook.serve);
        let most = task.due.max(now) + task.patience() / HOPE;
        let is_lost = task.leaves() < served || most < start;
        is_lost.then(|| after(task, outlook.wait))
    }

    /// When to come back, if it is no use to wait behind so many requests for servers at which so many start
    /// each millisecond.
    pub(super) fn hopeless_at(
        &self,
        task: &Task,
        ahead: f64,
        rate: f64,
        now: Moment,
    ) -> Option<Duration> {
        let outlook = Outlook { wait: ahead / rate.max(LEAST_ENDS), serve: self.serve(task) };
        self.hopeless(task, &outlook, now)
    }

    /// The refusal of a request that has waited in vain.
    pub(super) fn refusal(&self, task: &Task, now: Moment) -> Verdict {
        let cause = if self.is_held(task) { Cause::Full } else { Cause::NoServer };
        Verdict::Refuse { cause, after: self.come_back(task, now) }
    }

    /// When a request that is refused now is to come back.
    pub(super) fn come_back(&self, task: &Task, now: Moment) -> Duration {
        after(task, self.outlook(task, now).wait)
    }

    /// Until when a request waits that is late from now on.
    pub(super) fn late_until(&self, task: &Task, now: Moment) -> Option<Moment> {
        let outlook = self.outlook(task, now);
        let hope = task.patience() / HOPE;
        (duration(outlook.wait) < hope).then(|| give_up(task, Class::Late, &outlook, now))
    }
}

fn class(task: &Task, outlook: &Outlook, now: Moment) -> Class {
    if now + duration(outlook.serve) < task.due { Class::OnTime } else { Class::Late }
}

/// The last moment at which it is of use to send a request.
fn last(task: &Task, outlook: &Outlook) -> Moment {
    task.leaves().saturating_sub(duration(outlook.serve))
}

/// Until when a request waits.
fn give_up(task: &Task, class: Class, outlook: &Outlook, now: Moment) -> Moment {
    let last = last(task, outlook);
    match class {
        Class::OnTime => last,
        Class::Begun | Class::Late => last.min(now.max(task.due) + task.patience() / HOPE),
    }
}

/// Until when a request waits that no server could run.
fn missing_until(task: &Task, coming: Option<Moment>) -> Moment {
    let until = |part| task.arrived + task.patience().mul_f64(part);
    match coming {
        Some(ready) => (ready + task.patience() / HOPE).max(until(MISSING)).min(until(COMING)),
        None => until(MISSING),
    }
}

/// When to come back: about when those ahead are through, and up to half as long again, so that
/// those refused together do not return together.
fn after(task: &Task, wait: f64) -> Duration {
    let patience = task.patience();
    let base = duration(wait).clamp(patience / AFTER_LEAST, patience / AFTER_MOST);
    base + base / 2 * (task.seed() % 256) as u32 / 256
}
