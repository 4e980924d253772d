//! The table of backend servers: which may get new work.
//!
//! A server's own word (its load reports) and what this host's requests met come first; what other
//! hosts saw counts only while this host has no fresh answer of its own, so that a cut between two
//! zones takes a server away from those behind the cut and from nobody else. The platform's list
//! introduces servers and marks leaving ones; absence from it takes away only a server that is
//! silent as well.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use types::{
    backend::{self, Server},
    host::{self, Listed},
    time::Moment,
};

use super::Standing;

/// How long a fresh answer outweighs what others tell.
const ANSWER_VALIDITY: Duration = Duration::from_secs(2);

/// How long a failure holds when nothing confirms or refutes it.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Silence after which an unlisted server is gone.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long the list must call a server live before a leaving mark of the list is lifted.
const LISTED_MARK_VALIDITY: Duration = Duration::from_secs(10);

/// How long a leaving mark that others read off the list holds without a reading of our own.
const REPORTED_MARK_VALIDITY: Duration = Duration::from_secs(30);

/// What a host tells others of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The server.
    pub server: backend::Id,
    /// The run of its process, zero if not known.
    pub run: backend::Incarnation,
    /// The host that saw it.
    pub by: host::Id,
    /// What it saw.
    pub seen: Seen,
}

/// What a host saw of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Seen {
    /// The server says that it is leaving.
    Leaving,
    /// The platform lists it as leaving.
    ListedLeaving,
    /// It does not answer.
    Silent,
}

/// A backend server as this host knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Who and where it is.
    pub server: Server,
    /// The run of its process, zero if not known.
    pub run: backend::Incarnation,
    leaving: bool,
    listed: Option<Listed>,
    marked: Option<Moment>,
    reported_leaving: Option<Moment>,
    known: Moment,
    answered: Option<Moment>,
    failed: Option<Moment>,
    reported_silent: BTreeMap<host::Id, Moment>,
}

impl Member {
    fn new(server: Server, now: Moment) -> Member {
        Member {
            server,
            run: 0,
            leaving: false,
            listed: None,
            marked: None,
            reported_leaving: None,
            known: now,
            answered: None,
            failed: None,
            reported_silent: BTreeMap::new(),
        }
    }

    /// What the server is taken for.
    pub fn standing(&self, now: Moment) -> Standing {
        let last_answer = self.answered.unwrap_or(self.known);
        if self.listed.is_none() && last_answer + SILENCE_TIMEOUT <= now {
            return Standing::Gone;
        }
        if self.leaving || self.is_marked(now) {
            return Standing::Leaving;
        }
        if self.is_suspected(now) { Standing::Suspected } else { Standing::Live }
    }

    fn is_marked(&self, now: Moment) -> bool {
        let within = |at: Option<Moment>, span: Duration| at.is_some_and(|at| now < at + span);
        within(self.marked, LISTED_MARK_VALIDITY)
            || within(self.reported_leaving, REPORTED_MARK_VALIDITY)
    }

    fn is_suspected(&self, now: Moment) -> bool {
        if self.failed.is_some_and(|at| now < at + SUSPICION_TIMEOUT) {
            return true;
        }
        let fresh = self.answered.is_some_and(|at| now < at + ANSWER_VALIDITY);
        !fresh && self.reported_silent.values().any(|at| now < *at + SUSPICION_TIMEOUT)
    }
}

/// The table of backend servers.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    members: BTreeMap<backend::Id, Member>,
}

impl Servers {
    /// An empty table.
    pub fn new() -> Servers {
        Servers::default()
    }

    /// Every server known.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One server.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// What a server is taken for; unknown ones are gone.
    pub fn standing(&self, now: Moment, id: &str) -> Standing {
        self.members.get(id).map_or(Standing::Gone, |member| member.standing(now))
    }

    /// Takes in what the platform lists; gives the marks that others should hear.
    ///
    /// An empty list is taken for a fault of the platform's and changes nothing.
    pub fn apply_list(
        &mut self,
        now: Moment,
        entries: &[backend::Entry],
        me: &host::Id,
    ) -> Vec<Observation> {
        if entries.is_empty() {
            return Vec::new();
        }
        for member in self.members.values_mut() {
            member.listed = None;
        }
        entries.iter().filter_map(|entry| self.apply_entry(now, entry, me)).collect()
    }

    fn apply_entry(
        &mut self,
        now: Moment,
        entry: &backend::Entry,
        me: &host::Id,
    ) -> Option<Observation> {
        let id = entry.server.id.clone();
        let member =
            self.members.entry(id).or_insert_with(|| Member::new(entry.server.clone(), now));
        if member.server != entry.server {
            *member = Member::new(entry.server.clone(), now);
        }
        member.listed = Some(entry.state);
        if entry.state == Listed::Live {
            member.reported_leaving =
                member.reported_leaving.filter(|at| now < *at + LISTED_MARK_VALIDITY);
            return None;
        }
        let fresh_mark = member.marked.is_none_or(|at| at + LISTED_MARK_VALIDITY <= now);
        member.marked = Some(now);
        fresh_mark.then(|| observation(member, me, Seen::ListedLeaving))
    }

    /// Adds a server that another host named, until the list or its own answers speak for it.
    pub fn introduce(&mut self, now: Moment, server: &Server) {
        self.members.entry(server.id.clone()).or_insert_with(|| Member::new(server.clone(), now));
    }

    /// Takes in a load report of the server's own; gives a mark that others should hear.
    pub fn record_report(
        &mut self,
        now: Moment,
        id: &str,
        run: backend::Incarnation,
        leaving: bool,
        me: &host::Id,
    ) -> Option<Observation> {
        let member = self.members.get_mut(id)?;
        if run < member.run {
            return None;
        }
        if member.run < run {
            member.leaving = false;
            member.run = run;
        }
        let newly = leaving && !member.leaving;
        member.leaving |= leaving;
        member.answer(now);
        newly.then(|| observation(member, me, Seen::Leaving))
    }

    /// Notes that the server answered a request.
    pub fn record_answer(&mut self, now: Moment, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.answer(now);
        }
    }

    /// Notes that the server could not be reached, or cut a connection; gives a mark for others.
    pub fn record_failure(&mut self, now: Moment, id: &str, me: &host::Id) -> Option<Observation> {
        let member = self.members.get_mut(id)?;
        let newly = member.failed.is_none_or(|at| at + SUSPICION_TIMEOUT <= now);
        member.failed = Some(now);
        newly.then(|| observation(member, me, Seen::Silent))
    }

    /// Takes in what another host saw; says whether it was news.
    pub fn apply_update(&mut self, now: Moment, observation: &Observation) -> bool {
        let Some(member) = self.members.get_mut(&observation.server) else { return false };
        match observation.seen {
            Seen::Leaving if observation.run < member.run => false,
            Seen::Leaving => {
                let newly = !member.leaving || member.run < observation.run;
                member.run = member.run.max(observation.run);
                member.leaving = true;
                newly
            }
            Seen::ListedLeaving => {
                let newly =
                    member.reported_leaving.is_none_or(|at| at + REPORTED_MARK_VALIDITY <= now);
                if newly {
                    member.reported_leaving = Some(now);
                }
                newly
            }
            Seen::Silent => {
                let before = member.reported_silent.get(&observation.by).copied();
                let newly = before.is_none_or(|at| at + SUSPICION_TIMEOUT <= now);
                if newly {
                    member.reported_silent.insert(observation.by.clone(), now);
                }
                newly
            }
        }
    }

    /// Forgets servers that are gone, and words of others that no longer count.
    pub fn expire(&mut self, now: Moment) {
        self.members.retain(|_, member| member.standing(now) != Standing::Gone);
        for member in self.members.values_mut() {
            member.reported_silent.retain(|_, at| now < *at + SUSPICION_TIMEOUT);
        }
    }
}

impl Member {
    fn answer(&mut self, now: Moment) {
        self.answered = Some(now);
        self.failed = None;
        self.reported_silent.clear();
    }
}

fn observation(member: &Member, me: &host::Id, seen: Seen) -> Observation {
    Observation { server: member.server.id.clone(), run: member.run, by: me.clone(), seen }
}
