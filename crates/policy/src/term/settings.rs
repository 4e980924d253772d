//! Timing of the lease that permits sending orders.

use types::prelude::*;

use crate::member::rendezvous;

/// Number of hosts up to which each receives every renewal from its peers within a fraction of a
/// second.
const SMALL_FLEET: usize = 16;

/// [`Settings::poll_interval`] in a small fleet, where peers report renewals.
const SMALL_FLEET_POLL: Duration = Duration::from_secs(1);

/// [`Settings::poll_interval`] in a large fleet, where the reads of all hosts together have to stay
/// few.
const LARGE_FLEET_POLL: Duration = Duration::from_secs(5);

/// Time for which a standby leaves the lease to the contenders, and after which it reads the lease.
/// In a large fleet renewals arrive late; if all hosts contended, they would read the lease again
/// and again.
const STANDBY_DELAY: Duration = Duration::from_secs(12);

/// Number of hosts of a large fleet that contend as soon as the lease is free.
const CONTENDERS: usize = 5;

/// Rendezvous key that ranks hosts as contenders.
const KEY: &[u8] = b"lease";

/// Returns the role of a host in contending for the lease: hosts are ranked by rendezvous hashing
/// among those that are reachable.
pub fn contender<'a>(own: &host::Id, others: impl Iterator<Item = &'a host::Id>) -> Contender {
    match rendezvous::is_among(KEY, own, others, CONTENDERS) {
        true => Contender::First,
        false => Contender::Standby,
    }
}

/// Timing of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Time for which a write of the lease is valid, from the moment it was sent.
    pub term: Duration,
    /// Time between renewals, from send to send.
    pub renewal_interval: Duration,
    /// Minimum time between the last order of one host and the first order of another.
    pub turn: Duration,
    /// Maximum time of an order in flight, after which its sender abandons it.
    pub order_timeout: Duration,
    /// Age up to which a read is recent enough to contend on.
    pub max_read_age: Duration,
    /// Time without a report of the lease after which a waiting host reads it. Long if the host
    /// watches the lease; somewhat over `renewal_interval` if peers report renewals.
    pub poll_interval: Duration,
    /// Extra time for which this host leaves a free lease to the hosts that contend before it.
    pub delay: Duration,
    /// Role of this host in contending.
    pub contender: Contender,
}

/// Role of a host of a large fleet in contending for a free lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Contender {
    /// The host contends as soon as the lease is free.
    First,
    /// The host contends once the lease has stayed free for a long time.
    Standby,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            term: Duration::from_millis(1500),
            renewal_interval: Duration::from_millis(500),
            turn: Duration::from_secs(3),
            order_timeout: Duration::from_millis(300),
            max_read_age: Duration::from_millis(500),
            poll_interval: SMALL_FLEET_POLL,
            delay: Duration::ZERO,
            contender: Contender::First,
        }
    }
}

impl Settings {
    /// Sets the role, and [`Settings::poll_interval`] for `hosts` hosts that report the lease to
    /// each other.
    pub fn set_hosts(&mut self, hosts: usize, contender: Contender) {
        (self.poll_interval, self.contender) = match contender {
            _ if hosts <= SMALL_FLEET => (SMALL_FLEET_POLL, Contender::First),
            Contender::First => (LARGE_FLEET_POLL, Contender::First),
            Contender::Standby => (STANDBY_DELAY, Contender::Standby),
        };
    }

    /// Returns the time for which this host leaves a free lease to others.
    pub fn standby_delay(&self) -> Duration {
        match self.contender {
            Contender::First => self.delay,
            Contender::Standby => self.delay + STANDBY_DELAY,
        }
    }
}
