//! Pacing of a host's calls to the store for data that changes all the time.
//!
//! A watch that is repeated after each change costs one call per change and host. So only a few
//! hosts, the scouts, repeat it soon and report urgent changes to the others. Every other host lets
//! changes gather between two calls, for longer the more hosts there are, so that the call rate of
//! all hosts together stays constant. The pause never exceeds the deadline by which the host must
//! know a change on its own, whatever the scouts report.
//!
//! The deadline is counted from the acknowledgement of the change, and passed in as `within`.

mod knowledge;
mod schedule;

use types::prelude::*;

pub use self::{
    knowledge::Knowledge,
    schedule::{MAX_KNOWN_AGE_SHARE, Schedule, Step},
};
use crate::member::rendezvous;

/// Number of hosts that repeat watches soon, besides the holder of the lease on orders.
pub const SCOUTS: usize = 2;

/// Number of hosts that add nothing to the pause. As many hosts as there are scouts make few calls,
/// however soon they repeat them.
pub const UNPACED_HOSTS: usize = 2;

/// Pause for each host beyond [`UNPACED_HOSTS`].
pub const PAUSE_PER_HOST: Duration = Duration::from_millis(40);

/// Time after a host's start in which it does not yet know the number of hosts.
pub const STARTUP_TIME: Duration = Duration::from_secs(3);

/// Pause while the number of hosts is not known yet.
const STARTING_PAUSE: Duration = Duration::from_millis(500);

/// Pause of a scout in a large fleet: load reports show an order's effect sooner than the store
/// does, and changes that must be known in time may take seconds.
const SCOUT_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause between two calls, as a share of the deadline for changes.
pub const MAX_PAUSE_SHARE: f64 = 0.6;

/// Bounds of the time for which a follower's watch of the declaration waits for a change.
const MIN_WAIT: Duration = Duration::from_secs(4);
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Wait for each host, so that the call rate of all hosts together stays constant.
const WAIT_PER_HOST: Duration = Duration::from_millis(800);

/// Time beyond its wait for which a follower's watch of the declaration is trusted.
const TRUST_MARGIN: Duration = Duration::from_secs(1);

/// Wait of a watch, as a share of the deadline for changes: of a scout, and of a host that has just
/// started and knows no scout yet.
const SCOUT_WAIT_SHARE: f64 = 0.4;
const STARTING_WAIT_SHARE: f64 = 1.0;

/// Wait of a follower's watch of the servers, as a share of the deadline for changes.
const FOLLOWER_WAIT_SHARE: f64 = MAX_PAUSE_SHARE;

/// Time beyond its wait for which a follower's watch of the servers is trusted, as a share of the
/// deadline for changes. As much is left for the answer to a second watch.
const FOLLOWER_TRUST_SHARE: f64 = 0.15;

/// Least wait of a watch; zero need not be valid.
pub const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Time beyond its wait for which a watch of a scout or a starting host is trusted, as a share of
/// the deadline for changes.
const SCOUT_TRUST_SHARE: f64 = 0.2;

/// Longest pause of a relay, as a share of the deadline for changes.
const RELAY_PAUSE_SHARE: f64 = 0.2;

/// Rendezvous key that ranks hosts as scouts.
const KEY: &[u8] = b"scout";

/// Role of a host in following the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Repeats watches soon, and reports urgent changes to the others.
    Scout,
    /// Makes the calls for its group, whose hosts follow the store through this host.
    Relay,
    /// Lets changes gather between two calls.
    Follower,
}

/// Times of a watch. A watch without an answer for longer than `trust` may be stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimes {
    /// Time after which the store answers that nothing has changed.
    pub wait: Duration,
    /// Time without an answer after which a second watch is started beside it.
    pub trust: Duration,
}

/// Times of a watch of the declaration that starts `up` after the host's start, in a fleet of
/// `hosts`, for changes that must be known `within` a time after their acknowledgement.
///
/// A watch may stall without any other sign. So scouts trust theirs only for a part of that time,
/// and report changes to the others. With six hosts that costs 166 to 203 additional calls to the
/// store in half a minute, out of 742 and 1,105.
pub fn watch_times(up: Moment, role: Role, hosts: usize, within: Duration) -> WatchTimes {
    let soon = |wait| WatchTimes {
        wait: within.mul_f64(wait),
        trust: within.mul_f64(wait + SCOUT_TRUST_SHARE),
    };
    if up < STARTUP_TIME {
        return soon(STARTING_WAIT_SHARE);
    }
    match role {
        Role::Scout | Role::Relay => soon(SCOUT_WAIT_SHARE),
        Role::Follower => {
            let wait = for_each(WAIT_PER_HOST, hosts).clamp(MIN_WAIT, MAX_WAIT);
            WatchTimes { wait, trust: wait + TRUST_MARGIN }
        }
    }
}

/// Times of a watch of the servers by a host whose knowledge of them is of this `age`, for changes
/// that must be known `within` a time after their acknowledgement.
///
/// A store that falls silent forgets the watches that wait or are sent then, so a watch without an
/// answer shows nothing. The wait therefore ends while the knowledge is recent, whatever the role,
/// and a second watch is sent in time for its answer.
pub fn server_watch_times(role: Role, age: Duration, within: Duration) -> WatchTimes {
    let (wait, trust) = match role {
        Role::Scout | Role::Relay => (SCOUT_WAIT_SHARE, SCOUT_TRUST_SHARE),
        Role::Follower => (FOLLOWER_WAIT_SHARE, FOLLOWER_TRUST_SHARE),
    };
    let wait = within.mul_f64(wait).saturating_sub(age).max(SHORTEST_WAIT);
    WatchTimes { wait, trust: wait + within.mul_f64(trust) }
}

/// Role of a host that holds no lease, among the other reachable hosts.
pub fn role<'a>(own: &host::Id, others: impl Iterator<Item = &'a host::Id>) -> Role {
    if rendezvous::is_among(KEY, own, others, SCOUTS) { Role::Scout } else { Role::Follower }
}

/// Position of a host in the order in which hosts become scouts, among other hosts.
pub fn scout_rank<'a>(own: &host::Id, others: impl Iterator<Item = &'a host::Id>) -> usize {
    rendezvous::rank(KEY, own, others)
}

/// Pause after an answer that comes `up` after the host's start, in a fleet of `hosts`, for changes
/// that each host must know `within` a time after their acknowledgement.
pub fn pause(up: Moment, role: Role, hosts: usize, within: Duration) -> Duration {
    if up < STARTUP_TIME {
        return STARTING_PAUSE.min(within.mul_f64(MAX_PAUSE_SHARE));
    }
    let pause = for_each(PAUSE_PER_HOST, hosts.saturating_sub(UNPACED_HOSTS))
        .min(within.mul_f64(MAX_PAUSE_SHARE));
    match role {
        Role::Scout => pause.min(SCOUT_PAUSE),
        Role::Relay => pause.min(within.mul_f64(RELAY_PAUSE_SHARE)),
        Role::Follower => pause,
    }
}

/// Time for which a host that lets changes gather for `gather` may still use a server whose entry
/// was removed in an outage of the store.
///
/// The entry may have been removed as long ago as `gather`, and both times together have to end
/// `within` a time. Without this bound a host in a fleet of 82 could use such a server for 1.2
/// times `within`.
pub fn removal_grace(gather: Duration, within: Duration) -> Duration {
    within.mul_f64(MAX_PAUSE_SHARE).min(within.mul_f64(MAX_KNOWN_AGE_SHARE).saturating_sub(gather))
}

fn for_each(time: Duration, hosts: usize) -> Duration {
    time.saturating_mul(u32::try_from(hosts).unwrap_or(u32::MAX))
}
