//! Announcements of the declaration in force.
//!
//! All hosts watch the store and receive a version at about the same time. If each one notified all
//! others, the notices of a version would grow with the square of the number of hosts. Hosts
//! therefore take turns, in the order in which they become scouts of the store, and a host that has
//! received an announcement of the same version or a later one sends none. If a host is slow or
//! down, the next one in turn takes its place, whether or not its failure has been detected.

use std::time::Duration;

use types::{routed::Version, time::Moment};

use super::{Fleet, notice::Notice};
use crate::follow;

/// Time from one host's turn to the next one's, in which a notice reaches all hosts.
const TURN: Duration = Duration::from_millis(100);

/// Hosts that have a turn each.
const TURNS: usize = 10;

/// Time in which all other hosts have their turns.
const LAST_TURNS: Duration = Duration::from_millis(500);

/// Delay of a host's announcement, for the host at `rank` of all.
fn delay(rank: usize, hosts: usize) -> Duration {
    let (own, last) = (rank.min(TURNS), rank.saturating_sub(TURNS));
    let others = hosts.saturating_sub(TURNS).max(1);
    TURN * own as u32 + LAST_TURNS.mul_f64(last as f64 / others as f64)
}

/// What is announced, by this host or others.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    /// Highest version that was announced.
    newest: Version,
    /// The version that this host will announce, and when.
    pending: Option<(Version, Moment)>,
}

impl Announcements {
    /// Records an announcement. Returns whether its version is higher than all announced before.
    pub(super) fn observe(&mut self, version: Version) -> bool {
        let is_newer = self.newest < version;
        if is_newer {
            self.newest = version;
            self.pending = self.pending.filter(|(pending, _)| version < *pending);
        }
        is_newer
    }

    pub(super) fn newest(&self) -> Version {
        self.newest
    }

    /// Returns when this host's announcement is due.
    pub(super) fn next(&self) -> Option<Moment> {
        self.pending.map(|(_, due)| due)
    }

    /// Schedules an announcement, unless the version was announced. A later version takes the turn
    /// of an earlier one.
    fn schedule(&mut self, version: Version, due: Moment) {
        if self.newest < version {
            let (pending, earliest) = self.pending.unwrap_or((version, due));
            self.pending = Some((version.max(pending), due.min(earliest)));
        }
    }

    fn take_due(&mut self, now: Moment) -> Option<Version> {
        self.pending.take_if(|(_, due)| *due <= now).map(|(version, _)| version)
    }
}

impl Fleet {
    /// Announces a declaration at this host's turn, unless another host does so before.
    pub(super) fn announce(&mut self, now: Moment, version: Version) {
        let live = self.hosts.iter().filter(|peer| !peer.is_silent());
        let others: Vec<_> = live.map(|peer| &peer.member.id).collect();
        let hosts = others.len() + 1;
        let rank = follow::scout_rank(&self.member.id, others.into_iter());
        self.announcements.schedule(version, now + delay(rank, hosts));
        self.flush_announcement(now);
    }

    /// Sends this host's announcement if it is due.
    pub(super) fn flush_announcement(&mut self, now: Moment) {
        let Some(version) = self.announcements.take_due(now) else { return };
        self.announcements.observe(version);
        let item = self.new_item(Notice::DeclarationInForce { version });
        self.multicast(now, &item, None);
        self.flush_notices(now);
    }
}
