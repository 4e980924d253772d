//! Choice of the hosts that get digests from this host.
//!
//! Up to [`Settings::full_mesh_limit`] hosts all send each other digests. In a larger deployment
//! every host knows all others from infrequent greetings, and divides each zone into groups of up
//! to about that many hosts, by a rule that gives the same result on every host. A host sends
//! digests to its own group. The highest-ranked host of a group that is not silent, by rendezvous
//! hashing, is the group's relay: it sends the aggregated table of its group to the other relays,
//! and the aggregated table of all other groups to its group. So what a host sends is bounded by
//! the size of a group and the number of groups, and a fact reaches every host in three steps.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use types::{availability, host, time::Moment};

use super::{
    Fleet, Liveness, Settings,
    fact::{Member, State},
    link::PendingAck,
    wire::{DATAGRAM_BYTES, HEAD_BYTES, Scope},
};
use crate::member::rendezvous;

/// Hash keys of the two rankings of hosts.
const GROUP_KEY: &[u8] = b"group";
const RELAY_KEY: &[u8] = b"relay";

/// Time within which a host of a grouped deployment sends a digest to each of its targets.
const DIGEST_ROUND: Duration = Duration::from_secs(3);

/// Share of the byte budget that deltas may take.
const DELTAS_SHARE: f64 = 0.5;

/// Least bytes of a digest that are left for deltas.
const MIN_DELTA_BYTES: usize = 100;

/// A host's ranks among all hosts; every host computes the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ranks {
    group: u64,
    relay: u64,
}

impl Ranks {
    pub(super) fn of(id: &str) -> Ranks {
        Ranks { group: rendezvous::score(GROUP_KEY, id), relay: rendezvous::score(RELAY_KEY, id) }
    }
}

/// Targets of this host's digests, and the tables that each target gets.
#[derive(Debug, Default)]
pub(super) struct Fanout {
    role: Role,
    /// Hosts that are not silent, this one among them.
    hosts: usize,
    targets: BTreeMap<host::Id, &'static [Scope]>,
    /// The hosts of this host's group, this one among them, in the order in which they are its
    /// relay. Empty in a deployment that is not grouped.
    group: Vec<host::Id>,
    /// The hosts of each other group, likewise.
    other_groups: Vec<Vec<host::Id>>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Role {
    /// One of the hosts of a deployment that is not grouped.
    #[default]
    Equal,
    /// One of a group whose relay is another host.
    Member,
    Relay,
}

/// How the facts of a table enter this host's snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Provenance {
    /// As the facts of one host of the own group.
    Direct,
    /// As facts that a relay has aggregated over several hosts.
    Aggregated,
}

impl Fanout {
    /// Returns the tables that make up this host's snapshot, chosen such that no host's facts count
    /// twice.
    pub(super) fn sources(&self) -> impl Iterator<Item = (&host::Id, Scope, Provenance)> {
        self.targets.iter().flat_map(|(id, scopes)| match (self.role, *scopes) {
            (Role::Equal, _) => vec![(id, Scope::Own, Provenance::Direct)],
            (Role::Member, [Scope::Own]) if self.relay() == Some(id) => {
                vec![
                    (id, Scope::Own, Provenance::Direct),
                    (id, Scope::Rest, Provenance::Aggregated),
                ]
            }
            (Role::Member, [Scope::Own]) => vec![(id, Scope::Own, Provenance::Direct)],
            (Role::Relay, [Scope::Own, Scope::Rest]) => vec![(id, Scope::Own, Provenance::Direct)],
            (Role::Relay, [Scope::Group]) => vec![(id, Scope::Group, Provenance::Aggregated)],
            _ => Vec::new(),
        })
    }

    pub(super) fn targets(&self) -> impl Iterator<Item = (&host::Id, &'static [Scope])> {
        self.targets.iter().map(|(id, scopes)| (id, *scopes))
    }

    pub(super) fn has(&self, id: &str) -> bool {
        self.targets.contains_key(id)
    }

    pub(super) fn is_grouped(&self) -> bool {
        self.role != Role::Equal
    }

    /// Returns the relay of this host's group, which may be this host.
    pub(super) fn relay(&self) -> Option<&host::Id> {
        self.group.first()
    }

    /// Returns the hosts of this host's group, in the order in which they are its relay.
    pub(super) fn group(&self) -> &[host::Id] {
        &self.group
    }

    /// Returns the hosts of each other group, in the order in which they are its relay.
    pub(super) fn other_groups(&self) -> impl Iterator<Item = &[host::Id]> {
        self.other_groups.iter().map(Vec::as_slice)
    }

    /// Returns the group of a host that is not of this host's group.
    pub(super) fn group_of(&self, id: &host::Id) -> Option<&[host::Id]> {
        self.other_groups().find(|group| group.contains(id))
    }

    pub(super) fn is_relay(&self) -> bool {
        self.role == Role::Relay
    }

    /// Time between checks for due digests.
    pub(super) fn tick(&self, settings: &Settings) -> Duration {
        if self.is_grouped() {
            self.scaled(settings, settings.grouped_tick)
        } else {
            settings.interval
        }
    }

    pub(super) fn heartbeat(&self, settings: &Settings) -> Duration {
        if self.is_grouped() { settings.grouped_heartbeat } else { settings.heartbeat }
    }

    /// Time without a packet after which a target is silent.
    pub(super) fn silence_timeout(&self, settings: &Settings) -> Duration {
        if self.is_grouped() { settings.grouped_silence_timeout } else { settings.silence_timeout }
    }

    /// Bytes a second that may be sent in digests. It grows with the cube of the ratio between the
    /// reference size and the deployment's size: a smaller deployment has fewer relays to update,
    /// and each of its hosts needs to know more of the others' work. A deployment larger than the
    /// reference size gets the same bytes as one of the reference size.
    pub(super) fn budget(&self, settings: &Settings) -> f64 {
        let (least, most) =
            (f64::from(settings.bytes_per_second), f64::from(settings.max_bytes_per_second));
        (least * self.scale(settings).powi(3)).clamp(least, most.max(least))
    }

    /// Least time between digests, and time between aggregations, in a grouped deployment.
    pub(super) fn grouped_interval(&self, settings: &Settings) -> Duration {
        self.scaled(settings, settings.grouped_interval)
    }

    /// Ratio of the reference size to the number of hosts that are not silent.
    fn scale(&self, settings: &Settings) -> f64 {
        settings.reference_hosts as f64 / self.hosts.max(1) as f64
    }

    /// Shortens a time that is set for the reference size in proportion for a smaller deployment,
    /// down to [`Settings::interval`].
    fn scaled(&self, settings: &Settings, time: Duration) -> Duration {
        let divisor = self.scale(settings).max(1.0);
        time.div_f64(divisor).max(settings.interval)
    }

    /// Bytes of a digest that are left for deltas. In a grouped deployment each target gets a
    /// digest within [`DIGEST_ROUND`], however much has changed; otherwise the targets would take
    /// this host for silent.
    pub(super) fn delta_bytes(&self, settings: &Settings) -> usize {
        const MAX: usize = DATAGRAM_BYTES - HEAD_BYTES;
        if !self.is_grouped() {
            return MAX;
        }
        let bytes_in_round = self.budget(settings) * DELTAS_SHARE * DIGEST_ROUND.as_secs_f64();
        let each = bytes_in_round as usize / self.targets.len().max(1);
        each.clamp(MIN_DELTA_BYTES, MAX)
    }

    /// Time after which changes that were not acknowledged are sent again.
    pub(super) fn resend(&self, settings: &Settings) -> Duration {
        match self.is_grouped() {
            true => settings.grouped_heartbeat + self.grouped_interval(settings),
            false => settings.interval.max(settings.cross_zone_interval) * 3,
        }
    }

    /// Least pending acknowledgement that is sent before the next heartbeat. In a grouped
    /// deployment acknowledgements without a gap wait for the heartbeat: sent on their own, they
    /// would be most of the traffic.
    pub(super) fn urgent_ack(&self) -> PendingAck {
        if self.is_grouped() { PendingAck::Gap } else { PendingAck::Read }
    }

    pub(super) fn interval(
        &self,
        settings: &Settings,
        own: &availability::Id,
        other: &availability::Id,
    ) -> Duration {
        match self.role {
            Role::Equal if own == other => settings.interval,
            Role::Equal => settings.cross_zone_interval,
            Role::Member | Role::Relay => self.grouped_interval(settings),
        }
    }
}

impl Fleet {
    /// Computes the targets of this host's digests from the hosts that are not silent.
    pub(super) fn compute_fanout(&self, now: Moment) -> Fanout {
        let peers: Vec<_> = self.hosts.iter().filter(|peer| !peer.is_silent()).collect();
        let hosts = peers.len() + 1;
        if peers.len() < self.settings.full_mesh_limit {
            let targets = peers.iter().map(|peer| (peer.member.id.clone(), OWN_TABLE));
            return Fanout { hosts, targets: targets.collect(), ..Fanout::default() };
        }
        let mut members: Vec<_> = peers.iter().map(|peer| (peer.ranks, &peer.member)).collect();
        members.push((self.ranks, &self.member));
        let groups = groups(&members, self.settings.full_mesh_limit);
        let is_own = |group: &&Vec<Ranked>| group.iter().any(|(_, one)| one.id == self.member.id);
        let (own, others): (Vec<_>, Vec<_>) = groups.iter().partition(is_own);
        let ranked = |groups: &[&Vec<Ranked>]| -> Vec<_> {
            groups.iter().map(|group| self.ranked(now, group)).collect()
        };
        let (group, other_groups) = (ranked(&own).concat(), ranked(&others));
        let role = match group.first() {
            Some(id) if *id == self.member.id => Role::Relay,
            _ => Role::Member,
        };
        let scopes = if role == Role::Relay { RELAY_TO_GROUP } else { OWN_TABLE };
        // Hosts that send digests to this one get answers without tables. Otherwise two hosts that
        // compute different groups for a while would take each other for silent.
        let recent = self.settings.grouped_heartbeat * 2;
        let senders = peers.iter().filter(|p| p.last_digest.is_some_and(|at| now < at + recent));
        let mut targets: BTreeMap<_, _> =
            senders.map(|peer| (peer.member.id.clone(), NO_TABLES)).collect();
        targets.extend(own.into_iter().flatten().map(|(_, one)| (one.id.clone(), scopes)));
        if role == Role::Relay {
            let relays = other_groups.iter().filter_map(|group| group.first().cloned());
            targets.extend(relays.map(|id| (id, RELAY_TO_RELAY)));
        }
        targets.remove(&self.member.id);
        Fanout { role, hosts, targets, group, other_groups }
    }

    /// Returns the hosts of a group in the order in which they are its relay: by rank, those that
    /// are leaving last.
    fn ranked(&self, now: Moment, group: &[Ranked]) -> Vec<host::Id> {
        let is_leaving = |one: &Member| match self.hosts.get(&one.id) {
            Some(peer) => peer.liveness(now) == Liveness::Leaving,
            None => self.state(now) == State::Leaving,
        };
        let rank = |(ranks, one): &Ranked| Reverse((!is_leaving(one), ranks.relay));
        let mut group = group.to_vec();
        group.sort_by_cached_key(rank);
        group.into_iter().map(|(_, one)| one.id.clone()).collect()
    }
}

const OWN_TABLE: &[Scope] = &[Scope::Own];
const RELAY_TO_GROUP: &[Scope] = &[Scope::Own, Scope::Rest];
const RELAY_TO_RELAY: &[Scope] = &[Scope::Group];
const NO_TABLES: &[Scope] = &[];

type Ranked<'a> = (Ranks, &'a Member);

/// Divides hosts into groups of one zone each. The first bits of a host's rank give its group, so
/// hosts whose lists of members differ still put each other host into the same group, as long as
/// they compute the same number of groups.
fn groups<'a>(members: &[Ranked<'a>], most: usize) -> Vec<Vec<Ranked<'a>>> {
    let mut zones = BTreeMap::<_, Vec<_>>::new();
    for (ranks, member) in members {
        zones.entry(&member.zone).or_default().push((*ranks, *member));
    }
    let mut groups = Vec::new();
    for ranked in zones.values_mut() {
        ranked.sort();
        // Hashing does not fill groups evenly, so groups have three quarters of the limit on
        // average.
        let parts = (ranked.len() * 4).div_ceil(most * 3).next_power_of_two();
        let group_of =
            |ranks: Ranks| ranks.group.checked_shr(u64::BITS - parts.ilog2()).unwrap_or(0);
        groups.extend(
            ranked.chunk_by(|(a, _), (b, _)| group_of(*a) == group_of(*b)).map(<[_]>::to_vec),
        );
    }
    groups
}
