//! Table of hosts: which are live, suspected, leaving or gone.
//!
//! Of two statuses of a host, the one with the higher epoch wins, then the one with the worse
//! health, so that all hosts converge on the same table. A host that receives a suspicion of itself
//! raises its epoch. Leaving belongs to an incarnation of the process and is never revoked within
//! it.

use std::{collections::BTreeMap, time::Duration};

use types::{
    host::{self, Host, ListState},
    time::Moment,
};

use super::{
    Epoch, Health, Settings, Standing,
    heartbeat::{Status, Topic},
};

/// Host as this one knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name and addresses.
    pub host: Host,
    /// Version of the known status.
    pub epoch: Epoch,
    /// Known health.
    pub health: Health,
    versions: BTreeMap<Topic, u64>,
    leaving: bool,
    health_since: Moment,
    last_answer: Option<Moment>,
    listed: Option<ListState>,
    unrefuted: Option<Status>,
}

impl Member {
    fn new(host: Host, now: Moment) -> Member {
        Member {
            host,
            epoch: Epoch::default(),
            health: Health::Live,
            versions: BTreeMap::new(),
            leaving: false,
            health_since: now,
            last_answer: None,
            listed: None,
            unrefuted: None,
        }
    }

    /// Standing by health and by leaving marks, those of the platform's list included.
    pub fn standing(&self) -> Standing {
        let leaving = self.leaving || self.listed == Some(ListState::Leaving);
        match self.health {
            Health::Gone => Standing::Gone,
            _ if leaving => Standing::Leaving,
            Health::Suspected => Standing::Suspected,
            Health::Live => Standing::Live,
        }
    }

    /// Highest version that the host has reported to have complete.
    pub fn version(&self, topic: Topic) -> u64 {
        self.versions.get(&topic).copied().unwrap_or_default()
    }

    /// Time of the last direct contact with this host, if any.
    pub fn last_answer(&self) -> Option<Moment> {
        self.last_answer
    }

    /// Known status, for gossip.
    pub fn status(&self) -> Status {
        Status {
            id: self.host.id.clone(),
            epoch: self.epoch,
            health: self.health,
            leaving: self.leaving,
            host: None,
        }
    }

    /// Status of worse health that the host has yet to refute, if any.
    pub fn accusation(&self) -> Option<Status> {
        let refuted = |status: &Status| status.epoch < self.epoch;
        let unrefuted = self.unrefuted.clone().filter(|status| !refuted(status));
        unrefuted.or_else(|| (self.health != Health::Live).then(|| self.status()))
    }

    fn is_fresh(&self, now: Moment, fresh: Duration) -> bool {
        self.last_answer.is_some_and(|at| now < at + fresh)
    }
}

/// Effect of a status on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed.
    None,
    /// A change that is gossiped with the next heartbeats.
    Minor,
    /// A change that is pushed to peers at once.
    Urgent,
}

/// Table of the other hosts.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    members: BTreeMap<host::Id, Member>,
    generation: u64,
    has_list: bool,
}

impl Hosts {
    /// Empty table.
    pub fn new() -> Hosts {
        Hosts::default()
    }

    /// Every known host, gone ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Host with this name.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Hosts that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.health != Health::Gone)
    }

    /// Returns whether the platform's list has been read.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Counter that rises whenever a host is added, removed or changes its standing.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Takes in the platform's list; returns the hosts that are new since the first list.
    ///
    /// Absence removes no host that answers, and an empty list is taken for a fault of the
    /// platform.
    pub fn apply_list(&mut self, now: Moment, entries: &[host::Entry], me: &str) -> Vec<Status> {
        if entries.is_empty() {
            return Vec::new();
        }
        let first = !self.has_list;
        self.has_list = true;
        for member in self.members.values_mut() {
            member.listed = None;
        }
        entries
            .iter()
            .filter(|entry| &*entry.host.id != me)
            .filter_map(|entry| self.apply_entry(now, entry, first))
            .collect()
    }

    fn apply_entry(&mut self, now: Moment, entry: &host::Entry, first: bool) -> Option<Status> {
        let known = self.members.contains_key(&entry.host.id);
        let member = self.introduce(now, &entry.host);
        let before = member.standing();
        member.listed = Some(entry.state);
        let changed = member.standing() != before;
        let mut status = member.status();
        status.host = Some(Box::new(entry.host.clone()));
        self.generation += u64::from(changed);
        (!known && !first).then_some(status)
    }

    /// Adds a host if it is not known, or updates its addresses.
    pub fn introduce(&mut self, now: Moment, host: &Host) -> &mut Member {
        if !self.members.contains_key(&host.id) {
            self.generation += 1;
        }
        let member =
            self.members.entry(host.id.clone()).or_insert_with(|| Member::new(host.clone(), now));
        if member.host != *host {
            member.host = host.clone();
        }
        member
    }

    /// Takes the addresses from a status, unless the platform lists the host: the list has
    /// precedence.
    fn introduce_by(&mut self, now: Moment, status: &Status) {
        let listed = self.members.get(&status.id).is_some_and(|member| member.listed.is_some());
        if let Some(host) = status.host.as_deref().filter(|_| !listed) {
            self.introduce(now, host);
        }
    }

    /// Returns the member that a status is about, marked as leaving if the status says so, and its
    /// state before; `None` if the host is unknown and the status has no address, or if the status
    /// is from an earlier incarnation.
    fn resolve(&mut self, now: Moment, status: &Status) -> Option<(PriorState, &mut Member)> {
        let unknown = !self.members.contains_key(&status.id);
        self.introduce_by(now, status);
        let member =
            self.members.get_mut(&status.id).filter(|m| m.epoch.run <= status.epoch.run)?;
        let before = PriorState { unknown, run: member.epoch.run, standing: member.standing() };
        let newer_run = before.run < status.epoch.run;
        member.leaving = status.leaving || (member.leaving && !newer_run);
        Some((before, member))
    }

    /// Takes in a host's own status, received from that host.
    pub fn record_answer(
        &mut self,
        now: Moment,
        status: &Status,
        versions: &BTreeMap<Topic, u64>,
    ) -> Change {
        let Some((before, member)) = self.resolve(now, status) else { return Change::None };
        member.epoch = member.epoch.max(status.epoch);
        member.versions.clone_from(versions);
        member.last_answer = Some(now);
        member.set_health(now, Health::Live);
        self.note(&status.id, &before)
    }

    /// Takes in a host's status as reported by another host.
    pub fn apply_update(&mut self, now: Moment, status: &Status, fresh: Duration) -> Change {
        let Some((before, member)) = self.resolve(now, status) else { return Change::None };
        if (member.epoch, member.health) < (status.epoch, status.health) {
            let newer_run = before.run < status.epoch.run;
            let outweighed = !newer_run && member.is_fresh(now, fresh);
            if status.health != Health::Live && outweighed {
                member.unrefuted = Some(status.clone());
            } else {
                member.epoch = status.epoch;
                member.set_health(now, status.health);
            }
        }
        self.note(&status.id, &before)
    }

    /// Marks a live host as suspected, after neither this host nor those that it asked could reach
    /// it.
    pub fn suspect(&mut self, now: Moment, id: &str) -> Option<Status> {
        let member = self.members.get_mut(id)?;
        if member.health != Health::Live {
            return None;
        }
        member.set_health(now, Health::Suspected);
        self.generation += 1;
        self.members.get(id).map(Member::status)
    }

    /// Marks hosts suspected for too long as gone and forgets those long gone; returns the newly
    /// gone.
    pub fn expire(&mut self, now: Moment, settings: &Settings) -> Vec<Status> {
        let mut given_up = Vec::new();
        for member in self.members.values_mut() {
            if member.health == Health::Suspected
                && member.health_since + settings.suspicion_timeout <= now
            {
                member.set_health(now, Health::Gone);
                given_up.push(member.status());
            }
        }
        let known = self.members.len();
        self.members.retain(|_, member| {
            let gone = member.health == Health::Gone && member.listed.is_none();
            !gone || now < member.health_since + settings.forget_after
        });
        self.generation += (given_up.len() + known - self.members.len()) as u64;
        given_up
    }

    fn note(&mut self, id: &str, before: &PriorState) -> Change {
        let Some(member) = self.members.get(id) else { return Change::None };
        let standing = member.standing();
        let restarted = before.run != 0 && before.run != member.epoch.run;
        if !before.unknown && !restarted && before.standing == standing {
            return Change::None;
        }
        self.generation += 1;
        match standing {
            Standing::Leaving => Change::Urgent,
            _ => Change::Minor,
        }
    }
}

/// State of a host before a status is applied.
struct PriorState {
    unknown: bool,
    run: host::Incarnation,
    standing: Standing,
}

impl Member {
    fn set_health(&mut self, now: Moment, health: Health) {
        if self.health != health {
            self.health = health;
            self.health_since = now;
        }
    }
}
