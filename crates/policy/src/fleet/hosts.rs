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
    view::View,
    wire::{Run, Scope},
};

/// Packets of a replaced run after which it is believed to be the present one.
const INSISTENCE: u32 = 3;

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) ranks: Ranks,
    /// Packets that its run has sent, as far as is known.
    pub(super) count: u32,
    pub(super) heard: Moment,
    /// When a digest came that wants an answer.
    pub(super) asked: Option<Moment>,
    /// Since when this host tells it.
    pub(super) joined: Option<Moment>,
    pub(super) pulse: Pulse,
    pub(super) views: BTreeMap<Scope, View>,
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
            heard: now,
            asked: None,
            joined: None,
            pulse: Pulse::default(),
            views: BTreeMap::new(),
            link: Link::default(),
            greeted: Some(now),
            answered: None,
        }
    }

    pub(super) fn is_silent(&self) -> bool {
        self.pulse != Pulse::Felt
    }

    /// Notes that it is among those that this host tells, or no longer; and whether it is silent.
    pub(super) fn attend(&mut self, now: Moment, silence: Duration, company: Company) {
        match company {
            Company::Apart => {
                self.joined = None;
                if self.pulse == Pulse::Felt && self.heard + silence <= now {
                    self.pulse = Pulse::Absent;
                }
            }
            Company::Together => {
                let joined = *self.joined.get_or_insert(now);
                if joined.max(self.heard) + silence <= now {
                    self.pulse = Pulse::Lapsed;
                }
            }
        }
    }

    pub(super) fn facts(&self, now: Moment, scope: Scope) -> impl Iterator<Item = &Fact> {
        self.views.get(&scope).into_iter().flat_map(move |view| view.facts(now).map(|(f, _)| f))
    }

    /// What it says of its own work.
    pub(super) fn state(&self, now: Moment) -> State {
        let said = self.facts(now, Scope::Own).find_map(|fact| match fact {
            Fact::State(state) => Some(*state),
            _ => None,
        });
        said.unwrap_or_default()
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
pub(super) enum Company {
    Together,
    Apart,
}

/// Whether a host is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Pulse {
    #[default]
    Felt,
    /// This host told it and no longer hears it.
    Lapsed,
    /// This host does not tell it, and it was not heard for long, or a relay does not hear it.
    Absent,
}

/// A run that is over, as far as is known.
#[derive(Debug)]
struct Former {
    count: u32,
    insisted: u32,
    since: Moment,
}

/// What became of word from a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Word {
    /// From the present run of a known host, and new.
    New,
    /// Older than what was heard from it, or from a run that is over.
    Old,
    /// From a run that is not known.
    Unknown,
}

#[derive(Debug, Default)]
pub(super) struct Hosts {
    peers: BTreeMap<host::Id, Peer>,
    runs: BTreeMap<Run, host::Id>,
    former: BTreeMap<Run, Former>,
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
    pub(super) fn hear(&mut self, now: Moment, run: Run, count: u32) -> Word {
        if let Some(peer) = self.by_run_mut(run) {
            if count <= peer.count {
                return Word::Old;
            }
            peer.count = count;
            peer.heard = now;
            peer.pulse = Pulse::Felt;
            return Word::New;
        }
        let Some(former) = self.former.get_mut(&run) else { return Word::Unknown };
        if count <= former.count {
            return Word::Old;
        }
        former.count = count;
        former.insisted += 1;
        if former.insisted < INSISTENCE {
            return Word::Old;
        }
        self.former.remove(&run);
        Word::Unknown
    }

    /// Takes who a host is from itself; the run that it replaces, if any.
    pub(super) fn learn(&mut self, now: Moment, member: Member, count: u32) -> Option<Run> {
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
        self.former.insert(run, Former { count: peer.count, insisted: 0, since: now });
        Some(run)
    }

    /// Takes from relays which hosts they do not hear, of those that this host does not tell.
    pub(super) fn miss_absent(&mut self, now: Moment, silence: Duration) {
        let views = self.peers.values().filter(|peer| !peer.is_silent());
        let views = views.flat_map(|peer| peer.views.iter());
        let relayed = views.filter(|(scope, _)| **scope != Scope::Own);
        let facts = relayed.flat_map(|(_, view)| view.facts(now));
        let absent = facts.filter_map(|(fact, _)| match fact {
            Fact::Absent(id, run) => Some((id.clone(), *run)),
            _ => None,
        });
        for (id, run) in absent.collect::<Vec<_>>() {
            let peer = self.peers.get_mut(&id).filter(|peer| peer.member.run() == run);
            let peer = peer.filter(|peer| peer.joined.is_none() && peer.pulse == Pulse::Felt);
            if let Some(peer) = peer.filter(|peer| peer.heard + silence <= now) {
                peer.pulse = Pulse::Absent;
            }
        }
    }

    /// Takes out hosts that were silent for too long.
    pub(super) fn forget(&mut self, now: Moment, settings: &Settings) -> Vec<Member> {
        self.former.retain(|_, former| now < former.since + settings.forget_after);
        let is_gone = |peer: &&Peer| peer.is_silent() && peer.heard + settings.forget_after <= now;
        let gone: Vec<_> =
            self.peers.values().filter(is_gone).map(|peer| peer.member.clone()).collect();
        for member in &gone {
            self.peers.remove(&member.id);
            self.runs.remove(&member.run());
        }
        gone
    }
}
