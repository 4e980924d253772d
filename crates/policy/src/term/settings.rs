//! Times that a term goes by.

use types::prelude::*;

use crate::member::rendezvous;

/// Hosts up to which each is told of every renewal within a fraction of a second.
const SMALL_FLEET: usize = 16;

/// [`Settings::poll`] of few hosts, who are told.
const SMALL_FLEET_POLL: Duration = Duration::from_secs(1);

/// [`Settings::poll`] of many hosts, whose reads together have to stay few.
const LARGE_FLEET_POLL: Duration = Duration::from_secs(5);

/// Time that a standby leaves to the others, and after which it reads the lease. News of renewals come
/// late where hosts are many; hosts that all contend would read it again and again.
const STANDBY_DELAY: Duration = Duration::from_secs(12);

/// Hosts of many that contend at once.
const CONTENDERS: usize = 5;

/// Key of the order in which hosts contend.
const KEY: &[u8] = b"lease";

/// Whether a host contends at once, among others that are in touch.
pub fn contender<'a>(own: &host::Id, others: impl Iterator<Item = &'a host::Id>) -> Contender {
    match rendezvous::is_among(KEY, own, others, CONTENDERS) {
        true => Contender::First,
        false => Contender::Standby,
    }
}

/// Times that a term goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How long a write of the lease is good for, from the moment it was sent.
    pub term: Duration,
    /// Time between renewals, counted between their sendings.
    pub renew: Duration,
    /// Least time between the last order of one host and the first of another.
    pub turn: Duration,
    /// Longest flight of an order; its sender gives it up then.
    pub flight: Duration,
    /// Age up to which a read is recent enough to contend on.
    pub fresh: Duration,
    /// Time without news of the lease after which a waiting host reads it. Long where it watches
    /// the lease; somewhat over `renew` where it is told by peers.
    pub poll: Duration,
    /// Extra time that this host leaves to those that are to contend before it.
    pub delay: Duration,
    /// Whether it is one of those.
    pub contender: Contender,
}

/// When a host of many contends for a lease that is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Contender {
    /// The host contends as soon as the lease is free.
    First,
    /// The host contends when nobody has taken the lease for long.
    Standby,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            term: Duration::from_millis(1500),
            renew: Duration::from_millis(500),
            turn: Duration::from_secs(3),
            flight: Duration::from_millis(300),
            fresh: Duration::from_millis(500),
            poll: SMALL_FLEET_POLL,
            delay: Duration::ZERO,
            contender: Contender::First,
        }
    }
}

impl Settings {
    /// Sets [`Settings::poll`] for so many hosts that tell each other.
    pub fn set_hosts(&mut self, hosts: usize, contender: Contender) {
        (self.poll, self.contender) = match contender {
            _ if hosts <= SMALL_FLEET => (SMALL_FLEET_POLL, Contender::First),
            Contender::First => (LARGE_FLEET_POLL, Contender::First),
            Contender::Standby => (STANDBY_DELAY, Contender::Standby),
        };
    }

    /// Time that a host leaves to others once a lease is free.
    pub fn standby_delay(&self) -> Duration {
        match self.contender {
            Contender::First => self.delay,
            Contender::Standby => self.delay + STANDBY_DELAY,
        }
    }
}
