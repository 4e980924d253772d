//! Quarantine of requests that crash the backend servers that run them.
//!
//! A request that was in flight on a server when that server died is a suspect. All suspects of a
//! deployment are recorded in one [`Document`], which is changed by conditional writes, so that two
//! hosts can't try the same suspect, or two suspects on the same server, at the same time.
//!
//! - A suspect runs again only in a trial, which is written before the dispatch. A server runs one
//!   trial at a time, so that a death during a trial has one suspect as its cause.
//! - A suspect whose trial ends with the server alive is cleared. A suspect whose server dies is
//!   refused everywhere, and all other requests that were in flight with it at the first death are
//!   cleared, since that death is explained.
//! - Copies of one request that run at the same time are restricted to the same two servers, see
//!   [`assigned_servers`]. When both die, the one fingerprint that the deaths share is refused;
//!   where they share several, each is tried alone.
//! - A trial begins only once every host has had time to read the record of the suspect.
//!
//! So a poison request crashes two servers: both assigned servers at once, or one of them and then
//! the one of its trial. An entry expires, and an operator can lift it; after either, the request
//! counts as unknown.
//!
//! Every change of the document is idempotent, so a change whose response was lost can be made
//! again.

mod assignment;
mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use types::{backend, request, service};

pub use self::{
    assignment::assigned_servers,
    view::{HostView, Verdict},
};
use crate::once::{HostRun, Key, UnixMillis};

/// Number of servers that one request may crash, over the whole deployment.
pub const MAX_DEATHS: usize = 2;

/// Fingerprint by which a request is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Returns the fingerprint of a request by the digest of its content.
    pub fn of_digest(digest: &request::Digest) -> Fingerprint {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Fingerprint(bytes)
    }

    /// Returns the fingerprint of a request by its idempotency key.
    pub fn of_key(key: Key) -> Fingerprint {
        Fingerprint(key.bytes())
    }

    /// Parses the form that [`Display`](std::fmt::Display) writes; `None` if the text is anything
    /// but 32 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Fingerprint> {
        let number = u128::from_str_radix(text, 16).ok().filter(|_| text.len() == 32)?;
        Some(Fingerprint(number.to_be_bytes()))
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Fingerprint, D::Error> {
        let text = String::deserialize(deserializer)?;
        Fingerprint::parse(&text)
            .ok_or_else(|| D::Error::custom("fingerprint must be 32 hexadecimal digits"))
    }
}

/// One run of a backend server's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerRun {
    /// Id of the server.
    pub server: backend::Id,
    /// Incarnation of the process.
    pub incarnation: backend::Incarnation,
}

/// Times and bounds; must be the same on every host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Time within which every host has read the record of a new suspect; milliseconds in JSON.
    #[serde(rename = "spread_ms", with = "types::time::millis")]
    pub propagation: Duration,
    /// Time for which a suspect is kept after it was recorded, or after its open trial began;
    /// milliseconds in JSON.
    #[serde(rename = "suspect_ms", with = "types::time::millis")]
    pub suspect_retention: Duration,
    /// Time for which a refusal lasts; milliseconds in JSON.
    #[serde(rename = "refuse_ms", with = "types::time::millis")]
    pub refusal_duration: Duration,
    /// Largest number of suspects, and of refusals; the oldest are dropped first.
    pub entries: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            propagation: Duration::from_millis(500),
            suspect_retention: Duration::from_secs(600),
            refusal_duration: Duration::from_secs(3600),
            entries: 2000,
        }
    }
}

/// Suspects and refused requests of the whole deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Requests that may have crashed servers.
    #[serde(default)]
    pub suspects: BTreeMap<Fingerprint, Suspect>,
    /// Requests that crash servers and are refused.
    #[serde(default)]
    pub refused: BTreeMap<Fingerprint, Refused>,
}

/// Request that was in flight when a server died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Service that the request calls.
    pub service: service::Id,
    /// Runs of servers that died with the request in flight.
    pub deaths: BTreeSet<ServerRun>,
    /// When the suspect was recorded.
    pub since: UnixMillis,
    /// Trial of the suspect, if one is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trial: Option<Trial>,
}

/// Trial: a run of a suspect as the only suspect on its server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Run of the server that the trial is on.
    #[serde(rename = "life")]
    pub run: ServerRun,
    /// Run of the host that makes the trial.
    pub host: HostRun,
    /// When the trial was recorded.
    pub since: UnixMillis,
}

/// Request that is refused everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Service that the request called.
    pub service: service::Id,
    /// Runs of servers that died with the request in flight.
    pub deaths: BTreeSet<ServerRun>,
    /// When the refusal was recorded.
    pub since: UnixMillis,
    /// When the refusal expires.
    pub until: UnixMillis,
}

/// Reason for which a trial can't begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialError {
    /// The request is not a suspect any more.
    Unknown,
    /// The request is refused.
    Refused,
    /// Some hosts may not have read the record of the suspect yet.
    Propagating {
        /// When every host has had time to read the record of the suspect.
        until: UnixMillis,
    },
    /// A trial of the suspect is open already.
    OnTrial,
    /// Another suspect is on trial on the server.
    Server,
}

impl Document {
    /// Records that a server died with these requests in flight.
    pub fn record_death<'a>(
        &mut self,
        settings: &Settings,
        wall: UnixMillis,
        run: &ServerRun,
        in_flight: impl IntoIterator<Item = (Fingerprint, &'a service::Id)>,
    ) {
        let is_explained = self.refused.values().any(|refused| refused.deaths.contains(run));
        for (fingerprint, service) in in_flight {
            if is_explained || self.refused.contains_key(&fingerprint) {
                continue;
            }
            let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
                service: service.clone(),
                deaths: BTreeSet::new(),
                since: wall,
                trial: None,
            });
            suspect.deaths.insert(run.clone());
        }
        self.refuse_on_trial(settings, wall, run);
        self.refuse_sole_suspect(settings, wall, run);
        self.enforce_limit(settings.entries);
    }

    /// Begins a trial on a server.
    ///
    /// # Errors
    ///
    /// Returns why the trial can't begin now. A trial on this server that this host has already
    /// begun is no error.
    pub fn begin(
        &mut self,
        settings: &Settings,
        wall: UnixMillis,
        fingerprint: Fingerprint,
        run: &ServerRun,
        host: &HostRun,
    ) -> Result<(), TrialError> {
        if self.refused.contains_key(&fingerprint) {
            return Err(TrialError::Refused);
        }
        let is_occupied = self
            .suspects
            .iter()
            .filter(|(other, _)| **other != fingerprint)
            .filter_map(|(_, suspect)| suspect.trial.as_ref())
            .any(|trial| trial.run == *run);
        let suspect = self.suspects.get_mut(&fingerprint).ok_or(TrialError::Unknown)?;
        let until = suspect.since + millis(settings.propagation);
        match &suspect.trial {
            Some(trial) if trial.run == *run && trial.host == *host => return Ok(()),
            Some(_) => return Err(TrialError::OnTrial),
            None if wall < until => return Err(TrialError::Propagating { until }),
            None if is_occupied => return Err(TrialError::Server),
            None => {}
        }
        suspect.trial = Some(Trial { run: run.clone(), host: host.clone(), since: wall });
        Ok(())
    }

    /// Records that a trial ended with its server alive, which clears the suspect.
    pub fn complete(&mut self, fingerprint: Fingerprint, host: &HostRun) {
        if self.has_trial(fingerprint, host) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Records that a server had answered the request completely before it died, which removes that
    /// death from the suspect.
    pub fn clear_death(&mut self, fingerprint: Fingerprint, run: &ServerRun) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return };
        suspect.deaths.remove(run);
        if suspect.deaths.is_empty() && suspect.trial.is_none() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Records that a trial ended without a result, with its server alive.
    pub fn abort(&mut self, fingerprint: Fingerprint, host: &HostRun) {
        if self.has_trial(fingerprint, host)
            && let Some(suspect) = self.suspects.get_mut(&fingerprint)
        {
            suspect.trial = None;
        }
    }

    /// Closes the trials of a host's run that ended: each is aborted if its server is alive, else
    /// that death is recorded.
    pub fn host_gone(
        &mut self,
        settings: &Settings,
        wall: UnixMillis,
        host: &HostRun,
        is_alive: impl Fn(&ServerRun) -> bool,
    ) {
        let open: Vec<(Fingerprint, ServerRun)> = self
            .suspects
            .iter()
            .filter_map(|(f, s)| s.trial.as_ref().map(|trial| (*f, trial)))
            .filter(|(_, trial)| trial.host == *host)
            .map(|(fingerprint, trial)| (fingerprint, trial.run.clone()))
            .collect();
        for (fingerprint, run) in open {
            match is_alive(&run) {
                true => self.abort(fingerprint, host),
                false => self.record_death(settings, wall, &run, []),
            }
        }
    }

    /// Removes an entry on an operator's request; returns whether there was one.
    pub fn lift(&mut self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.remove(&fingerprint).is_some();
        let refused = self.refused.remove(&fingerprint).is_some();
        suspect || refused
    }

    /// Drops expired refusals and suspects.
    pub fn expire(&mut self, settings: &Settings, wall: UnixMillis) {
        let retention = millis(settings.suspect_retention);
        self.refused.retain(|_, refused| wall < refused.until);
        self.suspects.retain(|_, suspect| {
            let last = suspect.trial.as_ref().map_or(suspect.since, |trial| trial.since);
            wall < last + retention
        });
    }

    fn has_trial(&self, fingerprint: Fingerprint, host: &HostRun) -> bool {
        let trial = self.suspects.get(&fingerprint).and_then(|suspect| suspect.trial.as_ref());
        trial.is_some_and(|trial| trial.host == *host)
    }

    /// Refuses the suspect that was on trial on a server that died.
    fn refuse_on_trial(&mut self, settings: &Settings, wall: UnixMillis, run: &ServerRun) {
        let on_trial = self
            .suspects
            .iter()
            .find(|(_, suspect)| suspect.trial.as_ref().is_some_and(|trial| trial.run == *run))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = on_trial {
            self.refuse(settings, wall, fingerprint, run);
        }
    }

    /// Refuses a suspect with at least [`MAX_DEATHS`] deaths including this one, if it is the only
    /// such suspect.
    fn refuse_sole_suspect(&mut self, settings: &Settings, wall: UnixMillis, run: &ServerRun) {
        let mut shared = self
            .suspects
            .iter()
            .filter(|(_, s)| MAX_DEATHS <= s.deaths.len() && s.deaths.contains(run))
            .map(|(fingerprint, _)| *fingerprint);
        if let (Some(fingerprint), None) = (shared.next(), shared.next()) {
            self.refuse(settings, wall, fingerprint, run);
        }
    }

    /// Refuses a suspect, and clears other suspects of the deaths that it explains.
    fn refuse(
        &mut self,
        settings: &Settings,
        wall: UnixMillis,
        fingerprint: Fingerprint,
        run: &ServerRun,
    ) {
        let Some(mut suspect) = self.suspects.remove(&fingerprint) else { return };
        suspect.deaths.insert(run.clone());
        for other in self.suspects.values_mut() {
            other.deaths.retain(|death| !suspect.deaths.contains(death));
        }
        self.suspects.retain(|_, other| !other.deaths.is_empty());
        let refused = Refused {
            service: suspect.service,
            deaths: suspect.deaths,
            since: wall,
            until: wall + millis(settings.refusal_duration),
        };
        self.refused.insert(fingerprint, refused);
    }

    fn enforce_limit(&mut self, entries: usize) {
        drop_oldest(&mut self.suspects, entries, |suspect| suspect.since);
        drop_oldest(&mut self.refused, entries, |refused| refused.since);
    }
}

fn drop_oldest<T>(
    map: &mut BTreeMap<Fingerprint, T>,
    entries: usize,
    since: impl Fn(&T) -> UnixMillis,
) {
    let excess = map.len().saturating_sub(entries);
    if excess == 0 {
        return;
    }
    let mut oldest: Vec<(UnixMillis, Fingerprint)> =
        map.iter().map(|(fingerprint, entry)| (since(entry), *fingerprint)).collect();
    oldest.sort_unstable();
    for (_, fingerprint) in oldest.into_iter().take(excess) {
        map.remove(&fingerprint);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
