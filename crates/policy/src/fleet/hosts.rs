//! The hosts that this host has received a greeting from.
//!
//! A host is identified by its name, and one run of its process is registered at a time. Wall
//! clocks jump, so runs are not ordered by their numbers: a run that was not known before replaces
//! the known one, and a replaced run is reinstated only if its packets keep arriving.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use types::{host, time::Moment};

use super::{
    Liveness, Settings,
    fact::{Fact, Member, State},
    fanout::Ranks,
    link::Link,
    remote_table::RemoteTable,
    wire::{Run, Scope},
};

/// Time after a host did not respond from which a packet shows that it responds again. Packets that
/// arrive sooner may have been in transit.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(1);

/// Packets of a replaced run after which it is taken for the current one again.
const PACKETS_TO_REINSTATE: u32 = 3;

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) ranks: Ranks,
    /// Highest packet count received from the peer's run.
    pub(super) count: u32,
    pub(super) last_received: Moment,
    /// When the peer last failed to acknowledge a notice or to answer a call.
    pub(super) unresponsive_at: Option<Moment>,
    /// When the last digest that wants an answer arrived.
    pub(super) last_digest: Option<Moment>,
    /// Since when the peer has been a target of this host's digests.
    pub(super) target_since: Option<Moment>,
    pub(super) contact: Contact,
    pub(super) remote_tables: BTreeMap<Scope, RemoteTable>,
    pub(super) link: Link,
    /// When this host last sent the peer a greeting or a keepalive.
    pub(super) last_greeting: Option<Moment>,
    /// When this host last answered a greeting of the peer.
    pub(super) last_answer: Option<Moment>,
}

impl Peer {
    pub(super) fn new(now: Moment, member: Member, count: u32) -> Peer {
        Peer {
            ranks: Ranks::of(&member.id),
            member,
            count,
            last_received: now,
            unresponsive_at: None,
            last_digest: None,
            target_since: None,
            contact: Contact::default(),
            remote_tables: BTreeMap::new(),
            link: Link::default(),
            last_greeting: Some(now),
            last_answer: None,
        }
    }

    pub(super) fn is_silent(&self) -> bool {
        self.contact != Contact::Alive
    }

    /// Whether the peer responds, as far as is known. One missed acknowledgement or call is enough,
    /// while silence takes a timeout of seconds; the peer may respond again any time.
    pub(super) fn is_responsive(&self) -> bool {
        let has_returned = |at| at + UNRESPONSIVE_PERIOD <= self.last_received;
        !self.is_silent() && self.unresponsive_at.is_none_or(has_returned)
    }

    /// Records whether the peer is a target of digests, and marks it silent if no packet arrived
    /// within the timeout.
    pub(super) fn update_contact(&mut self, now: Moment, silence: Duration, exchange: Exchange) {
        match exchange {
            Exchange::Keepalives => {
                self.target_since = None;
                if self.contact == Contact::Alive && self.last_received + silence <= now {
                    self.contact = Contact::Absent;
                }
            }
            Exchange::Digests => {
                let since = *self.target_since.get_or_insert(now);
                if since.max(self.last_received) + silence <= now {
                    self.contact = Contact::TimedOut;
                }
            }
        }
    }

    pub(super) fn facts(&self, now: Moment, scope: Scope) -> impl Iterator<Item = &Fact> {
        self.remote_tables
            .get(&scope)
            .into_iter()
            .flat_map(move |remote| remote.facts(now).map(|(f, _)| f))
    }

    /// The state that the peer advertises; the default before its table has been read.
    pub(super) fn state(&self, now: Moment) -> State {
        let advertised = self.facts(now, Scope::Own).find_map(|fact| match fact {
            Fact::State(state) => Some(*state),
            _ => None,
        });
        advertised.unwrap_or_default()
    }

    pub(super) fn liveness(&self, now: Moment) -> Liveness {
        if self.is_silent() {
            return Liveness::Silent;
        }
        match self.state(now) {
            State::Leaving => Liveness::Leaving,
            State::Starting | State::Ready => Liveness::Live,
        }
    }
}

/// What this host and a peer send each other regularly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Exchange {
    Digests,
    Keepalives,
}

/// Whether a peer is in contact with this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Contact {
    #[default]
    Alive,
    /// The peer is a target of digests and sent nothing within the silence timeout.
    TimedOut,
    /// The peer is no target, and sent nothing for several rounds of keepalives or a relay
    /// reports it as absent.
    Absent,
}

/// A run that a later one replaced, as far as this host can tell.
#[derive(Debug)]
struct ReplacedRun {
    count: u32,
    packets: u32,
    since: Moment,
}

/// Classification of a packet by its run and count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// From the current run of a known host, and newer than all before it.
    New,
    /// Not newer than a packet received before, or from a replaced run.
    Stale,
    /// From a run that is not known.
    UnknownRun,
}

#[derive(Debug, Default)]
pub(super) struct Hosts {
    peers: BTreeMap<host::Id, Peer>,
    runs: BTreeMap<Run, host::Id>,
    replaced: BTreeMap<Run, ReplacedRun>,
}

impl Hosts {
    pub(super) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers.values_mut()
    }

    pub(super) fn get(&self, id: &str) -> Option<&Peer> {
        self.peers.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Peer> {
        self.peers.get_mut(id)
    }

    pub(super) fn by_run(&self, run: Run) -> Option<&Peer> {
        self.runs.get(&run).and_then(|id| self.peers.get(id))
    }

    pub(super) fn by_run_mut(&mut self, run: Run) -> Option<&mut Peer> {
        self.runs.get(&run).and_then(|id| self.peers.get_mut(id))
    }

    pub(super) fn has_address(&self, address: SocketAddr) -> bool {
        self.peers.values().any(|peer| peer.member.address == address)
    }

    /// Records a packet of this run with this count, and classifies it.
    pub(super) fn observe(&mut self, now: Moment, run: Run, count: u32) -> Freshness {
        if let Some(peer) = self.by_run_mut(run) {
            if count <= peer.count {
                return Freshness::Stale;
            }
            peer.count = count;
            peer.last_received = now;
            peer.contact = Contact::Alive;
            return Freshness::New;
        }
        let Some(replaced) = self.replaced.get_mut(&run) else { return Freshness::UnknownRun };
        if count <= replaced.count {
            return Freshness::Stale;
        }
        replaced.count = count;
        replaced.packets += 1;
        if replaced.packets < PACKETS_TO_REINSTATE {
            return Freshness::Stale;
        }
        self.replaced.remove(&run);
        Freshness::UnknownRun
    }

    /// Registers a host as it describes itself. Returns the run that was replaced, if any.
    pub(super) fn register(&mut self, now: Moment, member: Member, count: u32) -> Option<Run> {
        if let Some(peer) = self.by_run_mut(member.run()) {
            peer.member = member;
            return None;
        }
        let is_displaced =
            |peer: &&Peer| peer.member.address == member.address && peer.member.id != member.id;
        let displaced = self.peers.values().find(is_displaced).map(|peer| peer.member.id.clone());
        displaced.and_then(|id| self.remove(now, &id));
        let replaced = self.remove(now, &member.id);
        self.runs.insert(member.run(), member.id.clone());
        self.peers.insert(member.id.clone(), Peer::new(now, member, count));
        replaced
    }

    /// Removes a host; its run counts as replaced.
    pub(super) fn remove(&mut self, now: Moment, id: &str) -> Option<Run> {
        let peer = self.peers.remove(id)?;
        let run = peer.member.run();
        self.runs.remove(&run);
        self.replaced.insert(run, ReplacedRun { count: peer.count, packets: 0, since: now });
        Some(run)
    }

    /// Marks hosts as absent that relays report as absent, unless they are targets of this host's
    /// digests or sent this host a packet within the silence timeout.
    pub(super) fn mark_absent(&mut self, now: Moment, silence: Duration) {
        let remote_tables = self.peers.values().filter(|peer| !peer.is_silent());
        let remote_tables = remote_tables.flat_map(|peer| peer.remote_tables.iter());
        let relayed = remote_tables.filter(|(scope, _)| **scope != Scope::Own);
        let facts = relayed.flat_map(|(_, remote)| remote.facts(now));
        let absent = facts.filter_map(|(fact, _)| match fact {
            Fact::Absent(id, run) => Some((id.clone(), *run)),
            _ => None,
        });
        for (id, run) in absent.collect::<Vec<_>>() {
            let peer = self.peers.get_mut(&id).filter(|peer| peer.member.run() == run);
            let peer =
                peer.filter(|peer| peer.target_since.is_none() && peer.contact == Contact::Alive);
            if let Some(peer) = peer.filter(|peer| peer.last_received + silence <= now) {
                peer.contact = Contact::Absent;
            }
        }
    }

    /// Removes silent hosts whose last packet is older than [`Settings::forget_after`], and returns
    /// them.
    pub(super) fn forget(&mut self, now: Moment, settings: &Settings) -> Vec<Member> {
        self.replaced.retain(|_, replaced| now < replaced.since + settings.forget_after);
        let is_gone =
            |peer: &&Peer| peer.is_silent() && peer.last_received + settings.forget_after <= now;
        let gone: Vec<_> =
            self.peers.values().filter(is_gone).map(|peer| peer.member.clone()).collect();
        for member in &gone {
            self.peers.remove(&member.id);
            self.runs.remove(&member.run());
        }
        gone
    }
}
