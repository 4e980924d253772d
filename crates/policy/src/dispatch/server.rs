//! What a host knows of one server.

use std::net::SocketAddr;

use types::{prelude::*, routed};

use super::{breaker::Breaker, list::Locality, load::Load, loaded::LoadedModels, pace::Pace};
use crate::route::Index;

/// How many times slower a server is thought to be for a while after its start.
const COLD_START_SLOWDOWN: f64 = 1.6;

/// Silence of a server in doubt after which it is taken for lost, until it answers again. Its
/// registration stays for seconds.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(1);

/// One server.
#[derive(Clone, Debug)]
pub struct Server {
    /// This run of it.
    pub id: backend::Id,
    /// Its service.
    pub service: Index,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it stands in the host's zone.
    pub locality: Locality,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: routed::State,
    /// What it holds.
    pub models: LoadedModels,
    /// Its work.
    pub load: Load,
    /// Its speed and failures.
    pub pace: Pace,
    /// Whether it names a limit.
    pub is_limited: bool,
    /// Whether it is put aside.
    pub breaker: Breaker,
    /// When it last gave any answer to this host.
    pub answered: Moment,
    /// Requests that it has left without an answer for too long, since then.
    pub unanswered: u32,
    cold_until: Moment,
}

impl Server {
    /// A server that has just registered.
    pub fn new(
        registration: &routed::Server,
        service: Index,
        locality: Locality,
        now: Moment,
    ) -> Server {
        Server {
            id: registration.id.clone(),
            service,
            address: registration.address,
            locality,
            slots: registration.slots.max(1),
            state: registration.state,
            models: LoadedModels::default(),
            load: Load::default(),
            pace: Pace::default(),
            is_limited: false,
            breaker: Breaker::default(),
            answered: now,
            unanswered: 0,
            cold_until: now + registration.cold,
        }
    }

    /// What it says of itself now. A server that leaves is not brought back by a late entry.
    pub fn update(&mut self, registration: &routed::Server) {
        self.address = registration.address;
        self.slots = registration.slots.max(1);
        if registration.state == routed::State::Draining {
            self.state = registration.state;
        }
    }

    /// Any answer came from it.
    pub fn mark_answered(&mut self, now: Moment) {
        self.answered = now;
        self.unanswered = 0;
    }

    /// Whether it is tried and has answered nothing for a while.
    pub fn is_unresponsive(&self, now: Moment) -> bool {
        self.breaker.is_unreachable() && self.answered + UNRESPONSIVE_AFTER <= now
    }

    /// Whether it has only just started and is slow.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// How many times slower it is since it has only just started.
    pub fn cold_start_slowdown(&self, now: Moment) -> f64 {
        if self.is_cold(now) { COLD_START_SLOWDOWN } else { 1.0 }
    }
}
