//! Quarantine of requests that crash the backend servers that run them.
//!
//! A request that was in flight on a server when that server died is a suspect. What is known of
//! suspects is one object for the whole deployment, [`Document`], changed by conditional writes, so
//! that two hosts cannot try the same suspect, or two suspects on the same server, at once.
//!
//! - A suspect runs again only in a trial, which is written before the dispatch. A server carries
//!   one trial at a time, so that a death during a trial has one suspect to blame.
//! - A suspect whose trial ends with the server alive is cleared. One whose server died is refused
//!   everywhere, and what else had been in flight with it at the first death is cleared, since that
//!   death is explained.
//! - Copies of one request that run at the same time are kept to the same two servers, its
//!   [`homes`]. When both die, the one fingerprint that they share is refused; where they share
//!   several, each is tried alone.
//! - A trial begins only when every host had time to hear of the suspect.
//!
//! So a poison request costs two servers: both homes at once, or one and then one trial.
//! An entry expires, and an operator can lift it; after either, the request counts as unknown.
//!
//! Every change of the object is idempotent, so one whose answer was lost is simply made again.

mod guard;
mod home;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use types::{backend, request, service};

pub use self::{
    guard::{Guard, Verdict},
    home::homes,
};
use crate::once::{HostRun, Key, UnixMillis};

/// Servers that one request may lose, over the whole deployment.
pub const DEATHS: usize = 2;

/// What a request is known by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// By the digest of what it asks.
    pub fn of_digest(digest: &request::Digest) -> Fingerprint {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Fingerprint(bytes)
    }

    /// By its key.
    pub fn of_key(key: Key) -> Fingerprint {
        Fingerprint(key.bytes())
    }

    /// Reads the form that [`Display`](std::fmt::Display) writes.
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
        Fingerprint::parse(&text).ok_or_else(|| D::Error::custom("not a fingerprint"))
    }
}

/// One run of a backend server's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerRun {
    /// The server.
    pub server: backend::Id,
    /// The run.
    pub incarnation: backend::Incarnation,
}

/// Times and bounds; the same on every host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Time in which every host hears of a new suspect; milliseconds in JSON.
    #[serde(rename = "spread_ms", with = "types::time::millis")]
    pub spread: Duration,
    /// How long a suspect that nobody tries is kept; milliseconds in JSON.
    #[serde(rename = "suspect_ms", with = "types::time::millis")]
    pub suspect: Duration,
    /// How long a refusal lasts; milliseconds in JSON.
    #[serde(rename = "refuse_ms", with = "types::time::millis")]
    pub refuse: Duration,
    /// Most suspects kept, and most refusals; the oldest go first.
    pub entries: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            spread: Duration::from_millis(500),
            suspect: Duration::from_secs(600),
            refuse: Duration::from_secs(3600),
            entries: 2000,
        }
    }
}

/// What is known of suspects over the whole deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Requests that may crash servers.
    #[serde(default)]
    pub suspects: BTreeMap<Fingerprint, Suspect>,
    /// Requests that do.
    #[serde(default)]
    pub refused: BTreeMap<Fingerprint, Refused>,
}

/// A request that was in flight when a server died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The service it calls.
    pub service: service::Id,
    /// Servers that died with it.
    pub deaths: BTreeSet<ServerRun>,
    /// When it was written.
    pub since: UnixMillis,
    /// Its trial, if one is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trial: Option<Trial>,
}

/// A run of a suspect as the only one on its server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The server.
    pub life: ServerRun,
    /// The run of the host that makes it.
    pub host: HostRun,
    /// When it was written.
    pub since: UnixMillis,
}

/// A request that is refused everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The service it called.
    pub service: service::Id,
    /// Servers that died with it.
    pub deaths: BTreeSet<ServerRun>,
    /// When it was written.
    pub since: UnixMillis,
    /// When it expires.
    pub until: UnixMillis,
}

/// Why a trial cannot begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Busy {
    /// Not a suspect any more.
    Unknown,
    /// It is refused.
    Refused,
    /// Other hosts may not have heard of it.
    Spreading {
        /// When they have.
        until: UnixMillis,
    },
    /// Its own trial is open.
    OnTrial,
    /// Another suspect is on trial there.
    Server,
}

impl Document {
    /// Notes that a server died with these requests in flight.
    pub fn accuse<'a>(
        &mut self,
        settings: &Settings,
        wall: UnixMillis,
        life: &ServerRun,
        in_flight: impl IntoIterator<Item = (Fingerprint, &'a service::Id)>,
    ) {
        let explained = self.refused.values().any(|refused| refused.deaths.contains(life));
        for (fingerprint, service) in in_flight {
            if explained || self.refused.contains_key(&fingerprint) {
                continue;
            }
            let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
                service: service.clone(),
                deaths: BTreeSet::new(),
                since: wall,
                trial: None,
            });
            suspect.deaths.insert(life.clone());
        }
        self.blame_trial(settings, wall, life);
        self.blame_only_one(settings, wall, life);
        self.keep_within(settings.entries);
    }

    /// Begins a trial on a server.
    ///
    /// # Errors
    ///
    /// Says why it can't begin now. A trial that this very host wrote before is no error.
    pub fn begin(
        &mut self,
        settings: &Settings,
        wall: UnixMillis,
        fingerprint: Fingerprint,
        life: &ServerRun,
        host: &HostRun,
    ) -> Result<(), Busy> {
        if self.refused.contains_key(&fingerprint) {
            return Err(Busy::Refused);
        }
        let elsewhere = self
            .suspects
            .iter()
            .filter(|(other, _)| **other != fingerprint)
            .filter_map(|(_, suspect)| suspect.trial.as_ref())
            .any(|trial| trial.life == *life);
        let suspect = self.suspects.get_mut(&fingerprint).ok_or(Busy::Unknown)?;
        let until = suspect.since + millis(settings.spread);
        match &suspect.trial {
            Some(trial) if trial.life == *life && trial.host == *host => return Ok(()),
            Some(_) => return Err(Busy::OnTrial),
            None if wall < until => return Err(Busy::Spreading { until }),
            None if elsewhere => return Err(Busy::Server),
            None => {}
        }
        suspect.trial = Some(Trial { life: life.clone(), host: host.clone(), since: wall });
        Ok(())
    }

    /// Notes that a trial ended with its server alive: completed means cleared.
    pub fn complete(&mut self, fingerprint: Fingerprint, host: &HostRun) {
        if self.has_trial(fingerprint, host) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Notes that a request was answered whole by a server that died afterwards.
    pub fn acquit(&mut self, fingerprint: Fingerprint, life: &ServerRun) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return };
        suspect.deaths.remove(life);
        if suspect.deaths.is_empty() && suspect.trial.is_none() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Notes that a trial ended before it showed anything, with its server alive.
    pub fn abort(&mut self, fingerprint: Fingerprint, host: &HostRun) {
        if self.has_trial(fingerprint, host)
            && let Some(suspect) = self.suspects.get_mut(&fingerprint)
        {
            suspect.trial = None;
        }
    }

    /// Closes the trials of a host's run that ended, by what became of their servers.
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
            .map(|(fingerprint, trial)| (fingerprint, trial.life.clone()))
            .collect();
        for (fingerprint, life) in open {
            match is_alive(&life) {
                true => self.abort(fingerprint, host),
                false => self.accuse(settings, wall, &life, []),
            }
        }
    }

    /// Lifts an entry, as an operator asks; returns whether there was one.
    pub fn lift(&mut self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.remove(&fingerprint).is_some();
        let refused = self.refused.remove(&fingerprint).is_some();
        suspect || refused
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, settings: &Settings, wall: UnixMillis) {
        let kept = millis(settings.suspect);
        self.refused.retain(|_, refused| wall < refused.until);
        self.suspects.retain(|_, suspect| {
            let last = suspect.trial.as_ref().map_or(suspect.since, |trial| trial.since);
            wall < last + kept
        });
    }

    fn has_trial(&self, fingerprint: Fingerprint, host: &HostRun) -> bool {
        let trial = self.suspects.get(&fingerprint).and_then(|suspect| suspect.trial.as_ref());
        trial.is_some_and(|trial| trial.host == *host)
    }

    /// A death during a trial has the suspect on trial to blame.
    fn blame_trial(&mut self, settings: &Settings, wall: UnixMillis, life: &ServerRun) {
        let on_trial = self
            .suspects
            .iter()
            .find(|(_, suspect)| suspect.trial.as_ref().is_some_and(|trial| trial.life == *life))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = on_trial {
            self.refuse(settings, wall, fingerprint, life);
        }
    }

    /// Two deaths that share a single suspect have that one to blame.
    fn blame_only_one(&mut self, settings: &Settings, wall: UnixMillis, life: &ServerRun) {
        let mut shared = self
            .suspects
            .iter()
            .filter(|(_, s)| DEATHS <= s.deaths.len() && s.deaths.contains(life))
            .map(|(fingerprint, _)| *fingerprint);
        if let (Some(fingerprint), None) = (shared.next(), shared.next()) {
            self.refuse(settings, wall, fingerprint, life);
        }
    }

    /// Refuses a suspect and clears the others of the deaths that it explains.
    fn refuse(
        &mut self,
        settings: &Settings,
        wall: UnixMillis,
        fingerprint: Fingerprint,
        life: &ServerRun,
    ) {
        let Some(mut suspect) = self.suspects.remove(&fingerprint) else { return };
        suspect.deaths.insert(life.clone());
        for other in self.suspects.values_mut() {
            other.deaths.retain(|death| !suspect.deaths.contains(death));
        }
        self.suspects.retain(|_, other| !other.deaths.is_empty());
        let refused = Refused {
            service: suspect.service,
            deaths: suspect.deaths,
            since: wall,
            until: wall + millis(settings.refuse),
        };
        self.refused.insert(fingerprint, refused);
    }

    fn keep_within(&mut self, entries: usize) {
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
