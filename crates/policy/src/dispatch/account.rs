//! What happens to requests at their servers, and what is learnt from it.

use types::prelude::*;

use super::{
    Dispatcher,
    doubt::Cause,
    held::Absence,
    pace::Median,
    request::{End, NotRun, Ticket, Unclear, Unreachable},
    server::Server,
    stats::millis,
    task::{Flight, Phase, State, Task},
};
use crate::route::Index;

/// How long a server that refused for being full gets nothing.
const FULL: Duration = Duration::from_millis(60);

/// Part of its slots below which a server that refuses for being full is odd.
const ODD: f64 = 0.5;

/// Slowness from which on a server's times say nothing about its service.
const ODD_PACE: f64 = 2.0;

impl Dispatcher {
    /// The request's first byte leaves; before this it was on its way to a connection.
    pub fn sent(&mut self, ticket: Ticket, now: Moment) {
        if let Some(Task { state: State::Flying(flight), .. }) = self.tasks.get_mut(&ticket) {
            flight.sent = now;
        }
        self.poison.sent(ticket, now);
    }

    /// The head of its server's answer has come, whatever becomes of the rest.
    pub fn answers(&mut self, ticket: Ticket, now: Moment) {
        if let Some(Task { state: State::Flying(flight), .. }) = self.tasks.get(&ticket) {
            self.poison.answered(&flight.id, flight.sent, now);
        }
    }

    /// The first byte of its answer's body, or its first event, has come.
    pub fn first_byte(&mut self, ticket: Ticket, now: Moment) {
        let Some(mut task) = self.tasks.remove(&ticket) else { return };
        if let State::Flying(flight) = &mut task.state
            && flight.phase != Phase::Begun
        {
            let flight = flight.clone();
            self.learn(&task, &flight, now);
        }
        if let State::Flying(flight) = &mut task.state {
            flight.phase = Phase::Begun;
        }
        self.reached(&mut task, now);
        self.tasks.insert(ticket, task);
    }

    /// The last event of its stream that its caller has got.
    pub fn delivered(&mut self, ticket: Ticket, event: u64, now: Moment) {
        let Some(task) = self.tasks.get_mut(&ticket) else { return };
        task.ask.resume = Some(event);
        if let State::Flying(flight) = &task.state
            && let Some(server) = self.fleet.same(flight.server, &flight.id)
        {
            server.heard(now);
        }
    }

    /// The request is over, at a server or in the queue.
    pub fn ended(&mut self, ticket: Ticket, end: End, now: Moment) {
        let Some(mut task) = self.tasks.remove(&ticket) else { return };
        match std::mem::replace(&mut task.state, State::Idle) {
            State::Idle => {}
            State::Waiting(key, give_up) => {
                let queue = &mut self.fleet.services[task.service as usize].queue;
                queue.remove(key, task.model, give_up);
            }
            State::Flying(flight) => self.settle(&mut task, &flight, end, now),
        }
        self.refund(&mut task);
    }

    /// The attempt under way has arrived, or is counted so since it may have.
    fn reached(&mut self, task: &mut Task, now: Moment) {
        task.has_arrived = true;
        if let Some(payment) = task.payment.take() {
            self.fleet.services[task.service as usize].budget.arrived(payment, now);
        }
    }

    /// An attempt is over.
    pub(super) fn settle(&mut self, task: &mut Task, flight: &Flight, end: End, now: Moment) {
        if !matches!(end, End::Unreachable(_)) {
            self.reached(task, now);
        }
        self.poison_settled(task, flight, end, now);
        let is_new = flight.phase != Phase::Begun;
        if is_new && matches!(end, End::Completed) {
            self.learn(task, flight, now);
        }
        let median = self.fleet.services[task.service as usize].median;
        let server = self.fleet.same(flight.server, &flight.id);
        let is_odd = server.is_none_or(|server| is_odd(server, &median, now));
        if matches!(end, End::Completed) && !is_odd {
            let stats = match task.model {
                Some(model) => &mut self.fleet.models[model as usize].stats,
                None => &mut self.fleet.services[task.service as usize].stats,
            };
            stats.held(millis(now.saturating_sub(flight.sent)) - flight.queue);
        }
        self.server_settled(task, flight, end, now);
        self.judge_grey(flight.server, task.service, now);
    }

    fn poison_settled(&mut self, task: &Task, flight: &Flight, end: End, now: Moment) {
        let fingerprint = task.ask.fingerprint;
        let ticket = task.ask.ticket;
        // A server that leaves ends by itself.
        let is_leaving =
            self.fleet.index(&flight.id).is_some_and(|index| self.fleet.is_draining(index));
        match end {
            End::Completed => self.poison.completed(fingerprint, now),
            End::Unclear(Unclear::Cut) if !is_leaving => {
                self.poison.crashed(ticket, fingerprint, &flight.id, now);
            }
            End::Unclear(Unclear::Silent) | End::Cancelled if !is_leaving => {
                self.poison.unclear(ticket, fingerprint, &flight.id, now);
            }
            End::ServerError
            | End::NotRun(_)
            | End::Unreachable(_)
            | End::Unclear(_)
            | End::Cancelled => {}
        }
        self.poison.ended(ticket, now);
    }

    fn server_settled(&mut self, task: &Task, flight: &Flight, end: End, now: Moment) {
        let peers_at = self.fleet.peers_at();
        let median = self.fleet.services[task.service as usize].median;
        let ticket = task.ask.ticket;
        let Some(server) = self.fleet.same(flight.server, &flight.id) else { return };
        server.load.ended(ticket);
        let in_flight = server.load.in_flight(peers_at, now);
        match end {
            End::Completed => {
                server.heard(now);
                server.pace.answered(&median, now);
                server.doubt.good(ticket);
            }
            End::ServerError => {
                server.heard(now);
                server.pace.failed(&median, now);
            }
            End::NotRun(NotRun::Full) => {
                server.heard(now);
                server.load.full(now + FULL);
                if in_flight < f64::from(server.slots) * ODD && !server.is_limited {
                    server.pace.failed(&median, now);
                }
            }
            End::NotRun(NotRun::NotHeld) => {
                server.heard(now);
                if let Some(model) = task.model {
                    let adapter = task.ask.adapter.as_ref();
                    self.fleet.drop(flight.server, model, adapter, Absence::Refused, now);
                }
            }
            End::NotRun(NotRun::Instance) => self.fleet.drain(flight.server),
            End::Unreachable(Unreachable::Refused) => server.doubt.raise(Cause::Refused, now),
            End::Unreachable(Unreachable::Timeout) => server.doubt.raise(Cause::Silent, now),
            End::Unreachable(Unreachable::Closed) => {}
            End::Unclear(Unclear::Cut) => {
                server.pace.failed(&median, now);
                server.doubt.raise(Cause::Cut, now);
            }
            End::Unclear(Unclear::Silent) => {
                server.pace.failed(&median, now);
                if server.answered < flight.sent {
                    server.doubt.raise(Cause::Silent, now);
                }
            }
            End::Unclear(Unclear::Garbled) => server.pace.failed(&median, now),
            End::Cancelled => {}
        }
        if let Some(server) = self.fleet.same(flight.server, &flight.id) {
            server.doubt.ended(ticket);
        }
    }

    /// Learns from the time until a first byte.
    fn learn(&mut self, task: &Task, flight: &Flight, now: Moment) {
        let took = millis(now.saturating_sub(flight.sent)).max(0.1);
        let median = self.fleet.services[task.service as usize].median;
        let Some(server) = self.fleet.same(flight.server, &flight.id) else { return };
        server.heard(now);
        server.load.read(task.ask.ticket);
        if flight.is_cold {
            return;
        }
        if flight.phase == Phase::Open {
            server.pace.took(took / flight.usual, &median, now);
        }
        if is_odd(server, &median, now) {
            return self.judge_grey(flight.server, task.service, now);
        }
        let stats = match task.model {
            Some(model) => &mut self.fleet.models[model as usize].stats,
            None => &mut self.fleet.services[task.service as usize].stats,
        };
        // Not divided by the server's pace: the two would chase each other.
        stats.first(took - flight.work);
        self.judge_grey(flight.server, task.service, now);
    }

    /// Puts a server aside that is much worse than the others.
    pub(super) fn judge_grey(&mut self, server: Index, service: Index, now: Moment) {
        let median = self.fleet.services[service as usize].median;
        if let Some(server) = self.fleet.get_mut(server)
            && server.pace.is_grey(&median)
        {
            server.doubt.raise(Cause::Grey, now);
        }
    }
}

/// Whether a server is so slow that its times say nothing about its service.
fn is_odd(server: &Server, median: &Median, now: Moment) -> bool {
    ODD_PACE < server.pace.slowness(median, now)
}
