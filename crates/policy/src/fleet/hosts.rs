//! The hosts that this one hears directly.
//!
//! A host is known by its name and stands for one run of its process at a time. Wall clocks jump,
//! so runs are not ordered by their numbers: a run that was not seen before replaces the one that
//! was, and a replaced run comes back only if it goes on talking.

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

/// Packets of a replaced run after which it is believed to be the present one.
const PACKETS_TO_REINSTATE: u32 = 3;

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) ranks: Ranks,
    /// Packets that its run has sent, as far as is known.
    pub(super) count: u32,
    pub(super) last_received: Moment,
    /// When a digest came that wants an answer.
    pub(super) last_digest: Option<Moment>,
    /// Since when this host tells it.
    pub(super) target_since: Option<Moment>,
    pub(super) contact: Contact,
    pub(super) remote_tables: BTreeMap<Scope, RemoteTable>,
    pub(super) link: Link,
    /// When it was last greeted.
    pub(super) greeted: Option<Moment>,
    /// When a greeting of its own was last answered.
    pub(super) answered: Option<Moment>,
}

impl Peer {
    pub(super) fn new(now: Moment, member: Member, count: u32) -> Peer {
        Peer {
            ranks: Ranks::of(&member.id),
            member,
            count,
            last_received: now,
            last_digest: None,
            target_since: None,
            contact: Contact::default(),
            remote_tables: BTreeMap::new(),
            link: Link::default(),
            greeted: Some(now),
            answered: None,
        }
    }

    pub(super) fn is_silent(&self) -> bool {
        self.contact != Contact::Alive
    }

    /// Notes that it is among those that this host tells, or no longer; and whether it is silent.
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

    /// What it says of its own work.
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

/// Whether this host tells a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Exchange {
    Digests,
    Keepalives,
}

/// Whether a host is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Contact {
    #[default]
    Alive,
    /// This host told it and no longer hears it.
    TimedOut,
    /// This host does not tell it, and it was not heard for long, or a relay does not hear it.
    Absent,
}

/// A run that is over, as far as is known.
#[derive(Debug)]
struct ReplacedRun {
    count: u32,
    packets: u32,
    since: Moment,
}

/// What became of word from a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    /// From the present run of a known host, and new.
    New,
    /// Older than what was heard from it, or from a run that is over.
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

    /// Takes word from a run by its count.
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

    /// Takes who a host is from itself; the run that it replaces, if any.
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

    /// Takes a host out; its run counts as over.
    pub(super) fn remove(&mut self, now: Moment, id: &str) -> Option<Run> {
        let peer = self.peers.remove(id)?;
        let run = peer.member.run();
        self.runs.remove(&run);
        self.replaced.insert(run, ReplacedRun { count: peer.count, packets: 0, since: now });
        Some(run)
    }

    /// Takes from relays which hosts they do not hear, of those that this host does not tell.
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

    /// Takes out hosts that were silent for too long.
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
