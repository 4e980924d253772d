//! What a host knows of one server.

use std::net::SocketAddr;

use types::{prelude::*, routed};

use super::{doubt::Doubt, held::Held, list::Side, load::Load, pace::Pace};
use crate::route::Index;

/// How many times slower a server is thought to be for a while after its start.
const COLD: f64 = 1.6;

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
    pub side: Side,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: routed::State,
    /// What it holds.
    pub held: Held,
    /// Its work.
    pub load: Load,
    /// Its speed and failures.
    pub pace: Pace,
    /// Whether it names a limit.
    pub is_limited: bool,
    /// Whether it is put aside.
    pub doubt: Doubt,
    /// When it last gave any answer to this host.
    pub answered: Moment,
    /// Requests that it has left without an answer for too long, since then.
    pub unanswered: u32,
    cold_until: Moment,
}

impl Server {
    /// A server that has just registered.
    pub fn new(told: &routed::Server, service: Index, side: Side, now: Moment) -> Server {
        Server {
            id: told.id.clone(),
            service,
            address: told.address,
            side,
            slots: told.slots.max(1),
            state: told.state,
            held: Held::default(),
            load: Load::default(),
            pace: Pace::default(),
            is_limited: false,
            doubt: Doubt::default(),
            answered: now,
            unanswered: 0,
            cold_until: now + told.cold,
        }
    }

    /// What it says of itself now. A server that leaves is not brought back by a late entry.
    pub fn update(&mut self, told: &routed::Server) {
        self.address = told.address;
        self.slots = told.slots.max(1);
        if told.state == routed::State::Draining {
            self.state = told.state;
        }
    }

    /// Any answer came from it.
    pub fn heard(&mut self, now: Moment) {
        self.answered = now;
        self.unanswered = 0;
    }

    /// Whether it is tried and has answered nothing for a while.
    pub fn is_unresponsive(&self, now: Moment) -> bool {
        self.doubt.is_unreachable() && self.answered + UNRESPONSIVE_AFTER <= now
    }

    /// Whether it has only just started and is slow.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// How many times slower it is since it has only just started.
    pub fn cold(&self, now: Moment) -> f64 {
        if self.is_cold(now) { COLD } else { 1.0 }
    }
}
