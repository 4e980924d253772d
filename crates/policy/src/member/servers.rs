//! Table of backend servers: which may get new work.
//!
//! A server's own load reports and the results of this host's requests have precedence.
//! Observations of other hosts count only while this host has no fresh answer of its own, so that a
//! partition between two zones removes a server for the hosts behind the partition and for no
//! others. The platform's list introduces servers and marks leaving ones; absence from the list
//! removes only a server that does not answer either.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use types::{
    backend::{self, Server},
    host::{self, ListState},
    time::Moment,
};

use super::Standing;

/// Time for which an answer outweighs other hosts' observations.
const ANSWER_VALIDITY: Duration = Duration::from_secs(2);

/// Time for which a failure counts when nothing confirms or refutes it.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without an answer after which an unlisted server is gone.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which the list must show a server as live before its leaving mark is lifted.
const LISTED_MARK_VALIDITY: Duration = Duration::from_secs(10);

/// Time for which another host's reading of a leaving mark counts without a reading of this host's
/// own.
const REPORTED_MARK_VALIDITY: Duration = Duration::from_secs(30);

/// Gossiped observation of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Server that was observed.
    pub server: backend::Id,
    /// Incarnation of the server's process; zero if unknown.
    pub run: backend::Incarnation,
    /// Host that made the observation.
    #[serde(rename = "by")]
    pub observer: host::Id,
    /// What was observed.
    #[serde(rename = "seen")]
    pub evidence: Evidence,
}

/// Evidence against a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// The server reports that it is leaving.
    Leaving,
    /// The platform lists the server as leaving.
    ListedLeaving,
    /// The server does not answer.
    Silent,
}

/// Backend server as this host knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name, group, zone and address.
    pub server: Server,
    /// Incarnation of the server's process; zero if unknown.
    pub run: backend::Incarnation,
    leaving: bool,
    listed: Option<ListState>,
    marked_at: Option<Moment>,
    reported_leaving_at: Option<Moment>,
    known_since: Moment,
    last_answer: Option<Moment>,
    last_failure: Option<Moment>,
    reported_silent: BTreeMap<host::Id, Moment>,
}

impl Member {
    fn new(server: Server, now: Moment) -> Member {
        Member {
            server,
            run: 0,
            leaving: false,
            listed: None,
            marked_at: None,
            reported_leaving_at: None,
            known_since: now,
            last_answer: None,
            last_failure: None,
            reported_silent: BTreeMap::new(),
        }
    }

    /// Standing by all evidence that counts at `now`.
    pub fn standing(&self, now: Moment) -> Standing {
        let last_answer = self.last_answer.unwrap_or(self.known_since);
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
        within(self.marked_at, LISTED_MARK_VALIDITY)
            || within(self.reported_leaving_at, REPORTED_MARK_VALIDITY)
    }

    fn is_suspected(&self, now: Moment) -> bool {
        if self.last_failure.is_some_and(|at| now < at + SUSPICION_TIMEOUT) {
            return true;
        }
        let fresh = self.last_answer.is_some_and(|at| now < at + ANSWER_VALIDITY);
        !fresh && self.reported_silent.values().any(|at| now < *at + SUSPICION_TIMEOUT)
    }
}

/// Table of backend servers.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    members: BTreeMap<backend::Id, Member>,
}

impl Servers {
    /// Empty table.
    pub fn new() -> Servers {
        Servers::default()
    }

    /// Every known server.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Server with this name.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Standing of a server; an unknown one is gone.
    pub fn standing(&self, now: Moment, id: &str) -> Standing {
        self.members.get(id).map_or(Standing::Gone, |member| member.standing(now))
    }

    /// Takes in the platform's list; returns the observations to gossip.
    ///
    /// An empty list is taken for a fault of the platform and changes nothing.
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
        if entry.state == ListState::Live {
            member.reported_leaving_at =
                member.reported_leaving_at.filter(|at| now < *at + LISTED_MARK_VALIDITY);
            return None;
        }
        let fresh_mark = member.marked_at.is_none_or(|at| at + LISTED_MARK_VALIDITY <= now);
        member.marked_at = Some(now);
        fresh_mark.then(|| observation(member, me, Evidence::ListedLeaving))
    }

    /// Adds a server that another host listed, if it is not known.
    pub fn introduce(&mut self, now: Moment, server: &Server) {
        self.members.entry(server.id.clone()).or_insert_with(|| Member::new(server.clone(), now));
    }

    /// Records a server's load report; returns an observation to gossip if the server newly reports
    /// that it is leaving. Reports of earlier incarnations are ignored.
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
        newly.then(|| observation(member, me, Evidence::Leaving))
    }

    /// Records that the server answered a request.
    pub fn record_answer(&mut self, now: Moment, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.answer(now);
        }
    }

    /// Records that the server could not be reached or broke a connection; returns an observation
    /// to gossip if no recent failure is recorded.
    pub fn record_failure(&mut self, now: Moment, id: &str, me: &host::Id) -> Option<Observation> {
        let member = self.members.get_mut(id)?;
        let newly = member.last_failure.is_none_or(|at| at + SUSPICION_TIMEOUT <= now);
        member.last_failure = Some(now);
        newly.then(|| observation(member, me, Evidence::Silent))
    }

    /// Takes in another host's observation; returns whether it changed anything.
    pub fn apply_update(&mut self, now: Moment, observation: &Observation) -> bool {
        let Some(member) = self.members.get_mut(&observation.server) else { return false };
        match observation.evidence {
            Evidence::Leaving if observation.run < member.run => false,
            Evidence::Leaving => {
                let newly = !member.leaving || member.run < observation.run;
                member.run = member.run.max(observation.run);
                member.leaving = true;
                newly
            }
            Evidence::ListedLeaving => {
                let newly =
                    member.reported_leaving_at.is_none_or(|at| at + REPORTED_MARK_VALIDITY <= now);
                if newly {
                    member.reported_leaving_at = Some(now);
                }
                newly
            }
            Evidence::Silent => {
                let before = member.reported_silent.get(&observation.observer).copied();
                let newly = before.is_none_or(|at| at + SUSPICION_TIMEOUT <= now);
                if newly {
                    member.reported_silent.insert(observation.observer.clone(), now);
                }
                newly
            }
        }
    }

    /// Forgets servers that are gone, and expired observations of other hosts.
    pub fn expire(&mut self, now: Moment) {
        self.members.retain(|_, member| member.standing(now) != Standing::Gone);
        for member in self.members.values_mut() {
            member.reported_silent.retain(|_, at| now < *at + SUSPICION_TIMEOUT);
        }
    }
}

impl Member {
    fn answer(&mut self, now: Moment) {
        self.last_answer = Some(now);
        self.last_failure = None;
        self.reported_silent.clear();
    }
}

fn observation(member: &Member, me: &host::Id, evidence: Evidence) -> Observation {
    Observation {
        server: member.server.id.clone(),
        run: member.run,
        observer: me.clone(),
        evidence,
    }
}
