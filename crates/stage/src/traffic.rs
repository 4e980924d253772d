//! Admission and routing state behind one lock, and guards that release what a request holds.
//!
//! However a request ends, including by a caller that disconnects, its guard is dropped; the guard
//! releases the capacity and starts waiting requests.

mod guard;

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use observe::Metrics;
use policy::{
    admit::{Refusal, Ticket},
    limit::{Aimd, Algorithm, Gradient},
    retry,
    route::{Destination, DestinationIndex, Distances, Eligibility, Index, estimate::PeerLoad},
    traffic::{Admission, Change, Mode, Requirements, Retry, Rules},
};
use settings::process::{self, Process};
use tokio::sync::oneshot;
use types::{
    host::{List, ListState},
    prelude::*,
    report::Load,
};

use self::guard::Waiter;
pub use self::guard::{DispatchedAttempt, Reservation};

/// One-way latency assumed to every other zone.
const DEFAULT_CROSS_ZONE_LATENCY: Duration = Duration::from_millis(1);

/// Why a request is not admitted; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Rejected because of load.
    Refused(Refusal),
    /// No server has the requested model, adapter or service ready.
    Unready,
}

/// Outcome of dispatching a further attempt.
#[derive(Debug)]
pub enum NextAttempt {
    /// A server is chosen and its capacity taken.
    Dispatched(DispatchedAttempt),
    /// Not possible before this moment.
    At(Moment),
    /// No server has the requested model, adapter or service ready.
    Unready,
}

/// Admission, routing and limits of this host's requests, shared between tasks.
#[derive(Debug)]
pub struct Traffic {
    state: Mutex<State>,
    tickets: AtomicU64,
    origin: Instant,
}

#[derive(Debug)]
struct State {
    policy: policy::traffic::Traffic,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
}

impl Traffic {
    /// Creates the state for a host with these settings; moments count from `origin`.
    pub fn new(settings: &Process, origin: Instant) -> Traffic {
        let own = settings.host.zone.clone();
        let distances =
            Distances { own, other: DEFAULT_CROSS_ZONE_LATENCY, named: Default::default() };
        let policy = policy::traffic::Traffic::new(distances, rules(&settings.traffic));
        let state = Mutex::new(State { policy, waiters: HashMap::new() });
        Traffic { state, tickets: AtomicU64::new(0), origin }
    }

    /// Returns a unique number for a new request.
    pub fn ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the index of a destination, and the index of the destination whose limits and queue
    /// it shares.
    pub fn destinations(&self, destination: &Destination) -> (DestinationIndex, DestinationIndex) {
        let table = &mut self.lock().policy.table;
        let index = table.destination(destination);
        (index, table.pool(index))
    }

    /// Updates the servers from the membership list: adds new ones, marks others leaving or gone.
    pub fn set_servers(&self, list: &List) {
        let mut state = self.lock();
        let table = &mut state.policy.table;
        let listed: HashMap<Index, ListState> =
            list.servers.iter().map(|entry| (table.add(&entry.server), entry.state)).collect();
        let known: Vec<Index> = table.servers().map(|(index, _)| index).collect();
        for index in known {
            let eligibility = match (listed.get(&index), table.eligibility(index)) {
                (Some(ListState::Live), Eligibility::Suspected(until)) => {
                    Eligibility::Suspected(until)
                }
                (Some(ListState::Live), _) => Eligibility::Live,
                (Some(ListState::Leaving), _) => Eligibility::Leaving,
                (None, _) => Eligibility::Gone,
            };
            table.set_eligibility(index, eligibility);
        }
    }

    /// Applies a load report that was just read.
    pub fn report(&self, server: &backend::Id, load: &Load) {
        let now = self.now();
        self.with_index(server, |policy, index| policy.report(index, load, now));
    }

    /// Records that a server could not be reached for a load report.
    pub fn unreachable(&self, server: &backend::Id) {
        let now = self.now();
        self.with_index(server, |policy, index| policy.unreachable(index, now));
    }

    /// Sets whether a server gets new work.
    pub fn set_eligibility(&self, server: &backend::Id, eligibility: Eligibility) {
        self.with_index(server, |policy, index| policy.table.set_eligibility(index, eligibility));
    }

    /// Sets a peer's requests in flight on each server.
    pub fn set_peer_load(&self, peer: &host::Id, in_flight: &[(backend::Id, PeerLoad)]) {
        self.lock().policy.table.set_peer_load(peer, in_flight);
    }

    /// Removes the requests in flight that a peer advertised.
    pub fn forget_peer(&self, peer: &host::Id) {
        self.lock().policy.table.forget_peer(peer);
    }

    /// Returns this host's requests in flight by server, to advertise to peers.
    pub fn in_flight(&self) -> Vec<(backend::Id, PeerLoad)> {
        let state = self.lock();
        let table = &state.policy.table;
        table
            .servers()
            .map(|(index, server)| (server.id.clone(), table.view(index).own_in_flight()))
            .filter(|(_, requests)| 0 < *requests)
            .map(|(id, requests)| (id, PeerLoad { requests }))
            .collect()
    }

    /// Returns this host's requests in flight by model, including those of its adapters.
    pub fn in_flight_by_model(&self) -> BTreeMap<model::Id, u32> {
        let state = self.lock();
        let mut by_destination: BTreeMap<DestinationIndex, u32> = BTreeMap::new();
        for (_, destination, limiter) in
            state.policy.limiters.iter().filter(|(_, _, limiter)| 0 < limiter.in_flight())
        {
            *by_destination.entry(destination).or_default() += limiter.in_flight();
        }
        let table = &state.policy.table;
        by_destination.into_iter().map(|(index, requests)| (table.name(index), requests)).collect()
    }

    /// Waits for admission.
    ///
    /// # Errors
    ///
    /// Returns the rejection as soon as it is decided.
    pub async fn admit(
        self: &Arc<Self>,
        requirements: &Requirements,
    ) -> Result<Reservation, Denial> {
        let ticket = requirements.work.ticket;
        let pool = requirements.work.pool;
        let receiver = {
            let mut state = self.lock();
            let mut changes = Vec::new();
            let admission = state.policy.admit(requirements, self.now(), &mut changes);
            state.notify_waiters(changes);
            match admission {
                Admission::Take => return Ok(Reservation::new(self.clone(), pool)),
                Admission::Refuse(refusal) => return Err(Denial::Refused(refusal)),
                Admission::Unready => return Err(Denial::Unready),
                Admission::Wait => {}
            }
            let (sender, receiver) = oneshot::channel();
            state.waiters.insert(ticket, sender);
            receiver
        };
        self.pump();
        let refused = Waiter::new(self.clone(), ticket, pool, receiver).wait().await;
        refused.map_err(Denial::Refused)?;
        Ok(Reservation::new(self.clone(), pool))
    }

    /// Dispatches an admitted request; `None` if no server can be used any more, or the
    /// reservation was already used.
    pub fn dispatch(
        self: &Arc<Self>,
        reservation: &Reservation,
        requirements: &Requirements,
    ) -> Option<DispatchedAttempt> {
        if !reservation.use_up() {
            return None;
        }
        let mut state = self.lock();
        let attempt = state.policy.dispatch(requirements, self.now())?;
        let server = state.policy.table.server(attempt.choice.server).clone();
        Some(DispatchedAttempt::new(self.clone(), attempt, server))
    }

    /// Dispatches a further attempt, to a server not in `avoid` if there is one.
    pub fn dispatch_again(
        self: &Arc<Self>,
        requirements: &Requirements,
        avoid: &[Index],
    ) -> NextAttempt {
        let mut state = self.lock();
        match state.policy.dispatch_again(requirements, avoid, self.now()) {
            Retry::Sent(attempt) => {
                let server = state.policy.table.server(attempt.choice.server).clone();
                NextAttempt::Dispatched(DispatchedAttempt::new(self.clone(), attempt, server))
            }
            Retry::At(moment) => NextAttempt::At(moment),
            Retry::Unready => NextAttempt::Unready,
        }
    }

    /// Decides what follows a failed attempt.
    pub fn after_failure(&self, failure: &retry::Failure) -> retry::Verdict {
        self.lock().policy.after_failure(failure)
    }

    /// Admits waiting requests for which capacity is free, and rejects those that can't meet their
    /// target.
    pub fn pump(&self) {
        let mut state = self.lock();
        if 0 < state.policy.queues.waiting() {
            let changes = state.policy.pump(self.now());
            state.notify_waiters(changes);
        }
    }

    /// Returns the number of requests that wait for admission.
    pub fn waiting(&self) -> usize {
        self.lock().policy.queues.waiting()
    }

    /// Returns the time since `origin`.
    pub fn now(&self) -> Moment {
        self.origin.elapsed()
    }

    /// Records the limits in the metrics.
    pub fn record_limits(&self, metrics: &Metrics) {
        let state = self.lock();
        let table = &state.policy.table;
        for (server, destination, limiter) in state.policy.limiters.iter() {
            let name = table.name(destination);
            metrics.limit(&table.server(server).id, &name, u64::from(limiter.limit()));
        }
    }

    fn with_index(
        &self,
        server: &backend::Id,
        change: impl FnOnce(&mut policy::traffic::Traffic, Index),
    ) {
        let mut state = self.lock();
        if let Some(index) = state.policy.table.index(server) {
            change(&mut state.policy, index);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn rules(settings: &process::Traffic) -> Rules {
    let mode = match settings.admission {
        process::Admission::Judged => Mode::Judged,
        process::Admission::Open => Mode::Open,
    };
    let algorithm = match settings.limit {
        process::Limit::Aimd => Algorithm::Aimd(Aimd::default()),
        process::Limit::Gradient => Algorithm::Gradient(Gradient::default()),
        process::Limit::Fixed(limit) => Algorithm::Fixed(limit.get()),
    };
    Rules { mode, algorithm, ..Rules::default() }
}

impl State {
    /// Sends the outcomes to waiting requests. A request that ended in the meantime releases its
    /// capacity itself.
    fn notify_waiters(&mut self, changes: Vec<Change>) {
        for change in changes {
            let (ticket, outcome) = match change {
                Change::Start(ticket) => (ticket, Ok(())),
                Change::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // A waiter that is being dropped finds the outcome in its channel.
                let _ = waiter.send(outcome);
            }
        }
    }
}
