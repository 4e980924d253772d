//! How often a host asks the store after changes of what changes all the time.
//!
//! A watch that is asked again after each change costs a call for each change and host. So only a
//! few hosts, the scouts, ask again soon and tell the others what can't wait. Every other host
//! lets changes gather between two calls, longer the more hosts there are, so that the calls of all
//! of them together stay as many; and never so long that it would miss the time in which it has to
//! know by itself, whatever the scouts tell.

use types::prelude::*;

use crate::member::rendezvous;

/// Hosts that ask again soon, beside the holder of the lease on orders.
pub const SCOUTS: usize = 2;

/// Hosts whose calls are few however often they ask: no more than there are scouts. With nine hosts in
/// which each asked at once but for 40 ms, a minute took 3,094 calls of the store, and 2,406 with this.
pub const UNPACED_HOSTS: usize = 2;

/// Pause for each host beyond these.
pub const PAUSE_PER_HOST: Duration = Duration::from_millis(40);

/// Time from a host's start in which it does not know yet how many others there are, and the pause
/// meanwhile.
pub const STARTING: Duration = Duration::from_secs(3);
const STARTING_PAUSE: Duration = Duration::from_millis(500);

/// Pause of a scout where hosts are many: an order's effect is known by reports sooner than by the
/// store, and what must be known in time may take seconds.
const SCOUT_PAUSE: Duration = Duration::from_millis(150);

/// Part of the time in which a change must be known that may pass between two calls.
pub const MAX_PAUSE_SHARE: f64 = 0.6;

/// Bounds of a watch's wait for a change.
const MIN_WAIT: Duration = Duration::from_secs(4);
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Wait for each host, so that the calls of all hosts together stay as many.
const WAIT_PER_HOST: Duration = Duration::from_millis(800);

/// Time beyond its wait after which a watch is no longer trusted.
const TRUST_MARGIN: Duration = Duration::from_secs(1);

/// Part of the time in which a change must be known for which a scout's watch waits for one, and
/// that of a host that has just started and knows no scout yet.
const SCOUT_WAIT_SHARE: f64 = 0.4;
const STARTING_WAIT_SHARE: f64 = 1.0;

/// Part of it for which such a watch is trusted beyond its wait.
const SCOUT_TRUST_SHARE: f64 = 0.2;

/// Part of it for which a relay lets changes gather.
const RELAY_PAUSE_SHARE: f64 = 0.2;

/// Part of it between two questions to a relay, and the age of its answer up to which it counts. Together
/// they are under 1, so that a relay that loses the store is left in time.
const RELAY_POLL_SHARE: f64 = 0.3;
const RELAY_AGE_SHARE: f64 = 0.6;

/// Part of it within which a server whose entry has gone is left alone at the latest.
const REMOVAL_SHARE: f64 = 0.9;

/// Key of the order in which hosts are scouts.
const KEY: &[u8] = b"scout";

/// What a host is to the others in following the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It asks again soon.
    Scout,
    /// The host also asks for its group, which follows the store through it.
    Relay,
    /// It lets changes gather.
    Follower,
}

/// How long a watch waits for a change, and for how long without any answer it is trusted: then it
/// may be stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimes {
    /// Wait for a change, after which the store answers that there was none.
    pub wait: Duration,
    /// Time after which another is asked beside it.
    pub trust: Duration,
}

/// The times of a watch that is asked `up` after the host's start, in a deployment of so many hosts,
/// for changes that must be known within `within` of their acknowledgement.
///
/// A watch may be stalled and nothing else show it. So scouts trust theirs only for a part of that time,
/// and tell the others what they learn. With six hosts that takes 166 to 203 calls of the store more in half a
/// minute, of 742 and 1,105.
pub fn watch_times(up: Moment, role: Role, hosts: usize, within: Duration) -> WatchTimes {
    let soon = |wait| WatchTimes {
        wait: within.mul_f64(wait),
        trust: within.mul_f64(wait + SCOUT_TRUST_SHARE),
    };
    if up < STARTING {
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

/// The role of a host that holds no lease, among others that are in touch.
pub fn role<'a>(own: &host::Id, others: impl Iterator<Item = &'a host::Id>) -> Role {
    if rendezvous::is_among(KEY, own, others, SCOUTS) { Role::Scout } else { Role::Follower }
}

/// Pause after an answer that comes `up` after the host's start, in a deployment of so many hosts,
/// for changes that each host must know within `within` of their acknowledgement.
pub fn pause(up: Moment, role: Role, hosts: usize, within: Duration) -> Duration {
    if up < STARTING {
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

/// Time between two questions of a host that follows the store through a relay, for changes that it must
/// know within `within`.
///
/// In a deployment of many hosts most ask their relay in place of the store, where each call counts
/// against the rate of all. What counts is how old a relay's answer is, not that datagrams arrive.
pub fn relay_poll_interval(within: Duration) -> Duration {
    within.mul_f64(RELAY_POLL_SHARE)
}

/// Whether a relay's knowledge of this age is recent enough; else the store itself is asked.
pub fn is_recent(age: Duration, within: Duration) -> bool {
    age <= within.mul_f64(RELAY_AGE_SHARE)
}

/// Time for which a server may be used on whose entry went while the store was degraded, by a host that
/// lets changes gather for so long: it may have gone as long ago, and both together have to end within
/// `within`. Where they did not, a host of 82 could use it for 1.2 of that time.
pub fn removal_grace(gather: Duration, within: Duration) -> Duration {
    within.mul_f64(MAX_PAUSE_SHARE).min(within.mul_f64(REMOVAL_SHARE).saturating_sub(gather))
}

fn for_each(time: Duration, hosts: usize) -> Duration {
    time.saturating_mul(u32::try_from(hosts).unwrap_or(u32::MAX))
}
