//! The versions at which streams may have begun, as the store lists them.
//!
//! The record of a stream is lost with the hosts that have it. So the store also has one list of the
//! versions of each service. A host lets streams begin only at versions that are listed, and a version
//! stays listed until no server of it has been registered for longer than a stream may last. If the
//! list, read after a caller took a stream up, names one version only, that version began the stream,
//! whichever hosts were lost. If it names several, the version of a stream without a record is
//! unknown.
//!
//! A version leaves the list in two writes: it is marked as retiring, and removed a while later. A host
//! that knows of a server of a retiring version first takes the mark back, so that a removal which is
//! applied late fails.
//!
//! A write costs a release, not a stream. While the store is away, streams go on to begin at listed
//! versions. Where no server of a service has a listed version, streams begin at any: a server of
//! another version could not take them up anyway.
//!
//! [`Versions`] does no I/O: [`Versions::step`] names the next call to the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use types::{host, service, time::Moment};

use super::{RECORD_LIFE, SoftwareId, software_id};
use crate::{member::rendezvous, term::Revision};

/// Version of the software of servers, as they register it.
pub type Text = Arc<str>;

/// Time without a registered server of a version after which the version is marked as retiring.
pub const RETENTION: Duration = Duration::from_secs(120);

/// Time from the mark until the version is removed.
pub const RETIREMENT: Duration = Duration::from_secs(60);

/// Time without a registered server of a version, and without a read, after which the version counts as
/// unlisted. Less than [`RETENTION`], so that no other host has marked the version before then.
const MAX_ABSENCE: Duration = RECORD_LIFE;

/// Interval at which a call that failed is repeated.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Time that the holder of the lease has to list a version before others do.
const HOLDER_TIME: Duration = Duration::from_millis(300);

/// Time over which the hosts spread their calls.
const SPREAD: Duration = Duration::from_millis(1000);

/// State of a listed version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Streams may begin.
    Served,
    /// Streams may have begun, and none begins until the version is served again.
    Retiring,
}

/// What a host does about the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Lists versions that no other host has listed.
    Spare,
    /// Lists versions at once.
    List,
    /// Lists versions at once, and retires those that are no longer served.
    Maintain,
}

/// The versions of each service at which streams may have begun.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Versions by service.
    pub services: BTreeMap<service::Id, BTreeMap<Text, State>>,
}

impl Listing {
    /// Returns the version at which all streams of a service began; `None` if there are several, or
    /// none is listed.
    #[must_use]
    pub fn sole(&self, service: &service::Id) -> Option<SoftwareId> {
        let mut versions = self.services.get(service)?.keys();
        let sole = versions.next().filter(|_| versions.next().is_none())?;
        Some(software_id(service, sole))
    }

    fn state(&self, (service, software): &(service::Id, Text)) -> Option<State> {
        self.services.get(service)?.get(software).copied()
    }
}

/// The next call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing is to be done.
    Idle,
    /// The list is to be read.
    Read,
    /// The list is to be created, unless it exists.
    Create(Listing),
    /// The list is to be replaced, if it has this revision.
    Replace(Revision, Listing),
}

/// The list as one host knows it, and the versions of registered servers.
#[derive(Clone, Debug)]
pub struct Versions {
    /// Time by which this host's calls come after those of the holder of the lease.
    delay: Duration,
    started_at: Moment,
    /// The list as read or written last; the revision is `None` if it did not exist.
    stored: Option<(Option<Revision>, Listing)>,
    read_at: Moment,
    /// Whether the list may have changed since it was read.
    is_stale: bool,
    /// Versions of registered servers.
    served: BTreeSet<(service::Id, Text)>,
    /// When a server of a version was last registered.
    seen_at: BTreeMap<(service::Id, Text), Moment>,
    /// Since when a version of registered servers is not listed.
    unlisted_since: Option<Moment>,
    /// Since when a version is known to be marked as retiring.
    retiring_since: Option<Moment>,
    idle_until: Moment,
}

impl Versions {
    /// Creates the view of a host that has just started.
    #[must_use]
    pub fn new(host: &host::Id, now: Moment) -> Versions {
        let share = rendezvous::score(b"versions", host) as f64 / u64::MAX as f64;
        Versions {
            delay: HOLDER_TIME + SPREAD.mul_f64(share),
            started_at: now,
            stored: None,
            read_at: Moment::ZERO,
            is_stale: true,
            served: BTreeSet::new(),
            seen_at: BTreeMap::new(),
            unlisted_since: None,
            retiring_since: None,
            idle_until: Moment::ZERO,
        }
    }

    /// Sets the versions of the registered servers of services whose streams may be resumed.
    pub fn set_served(&mut self, served: BTreeSet<(service::Id, Text)>, now: Moment) {
        self.mark_seen(now);
        self.served = served;
        self.mark_seen(now);
        self.seen_at.retain(|_, seen_at| now < *seen_at + RETENTION);
    }

    /// Applies the list as it was read or written; `None` if it doesn't exist.
    pub fn read(&mut self, stored: Option<(Revision, Listing)>, now: Moment) {
        self.stored = Some(match stored {
            Some((revision, listing)) => (Some(revision), listing),
            None => (None, Listing::default()),
        });
        self.read_at = now;
        self.is_stale = false;
        self.idle_until = Moment::ZERO;
    }

    /// Records that another host has changed the list.
    pub fn conflicted(&mut self) {
        self.is_stale = true;
        self.idle_until = Moment::ZERO;
    }

    /// Records that a write may have been carried out or not.
    pub fn unclear(&mut self) {
        self.is_stale = true;
    }

    /// Returns the versions of a service at which streams may begin; `None` if the list was not read
    /// yet.
    #[must_use]
    pub fn listed(&self, service: &service::Id) -> Option<BTreeSet<SoftwareId>> {
        let (_, listing) = self.stored.as_ref()?;
        let versions = listing.services.get(service).into_iter().flatten();
        let listed = versions.filter(|(_, state)| **state == State::Served);
        Some(listed.map(|(software, _)| software_id(service, software)).collect())
    }

    /// Returns the next call to the store.
    pub fn step(&mut self, duty: Duty, now: Moment) -> Step {
        self.mark_seen(now);
        if now < self.idle_until {
            return Step::Idle;
        }
        let Some((revision, listing)) = self.stored.as_ref().filter(|_| !self.is_stale) else {
            return self.call(Step::Read, now);
        };
        let is_missing = |version: &&(service::Id, Text)| {
            listing.state(version).is_none_or(|state| state == State::Retiring)
        };
        let missing: Vec<_> = self.served.iter().filter(is_missing).collect();
        if missing.is_empty() {
            self.unlisted_since = None;
            let retired = self.retired(now).filter(|_| duty == Duty::Maintain);
            return retired.map_or(Step::Idle, |step| self.call(step, now));
        }
        let since = *self.unlisted_since.get_or_insert(now);
        if duty == Duty::Spare && now < since + self.delay {
            return Step::Idle;
        }
        // Another host may have listed the version meanwhile.
        if duty == Duty::Spare && self.read_at < since + self.delay {
            return self.call(Step::Read, now);
        }
        let mut listing = listing.clone();
        for (service, software) in missing {
            let versions = listing.services.entry(service.clone()).or_default();
            versions.insert(software.clone(), State::Served);
        }
        let step = match revision {
            Some(revision) => Step::Replace(*revision, listing),
            None => Step::Create(listing),
        };
        self.call(step, now)
    }

    fn call(&mut self, step: Step, now: Moment) -> Step {
        self.idle_until = now + RETRY_INTERVAL;
        step
    }

    /// Records that servers of the served versions are still registered.
    fn mark_seen(&mut self, now: Moment) {
        let is_old = self.read_at + MAX_ABSENCE <= now;
        for version in &self.served {
            let seen_at = self.seen_at.insert(version.clone(), now);
            let was_absent = seen_at.is_none_or(|seen_at| seen_at + MAX_ABSENCE <= now);
            if let Some((_, listing)) = self.stored.as_mut().filter(|_| was_absent && is_old)
                && let Some(versions) = listing.services.get_mut(&version.0)
            {
                // A write must not drop what the store lists.
                self.is_stale |= versions.remove(&version.1).is_some();
            }
        }
    }

    /// Marks the versions of which no server has been registered for long, or removes those that were
    /// marked long ago.
    fn retired(&mut self, now: Moment) -> Option<Step> {
        let (revision, listing) = self.stored.as_ref()?;
        let revision = (*revision)?;
        let is_retiring = |state: &State| *state == State::Retiring;
        if !listing.services.values().flat_map(BTreeMap::values).any(is_retiring) {
            self.retiring_since = None;
        } else if now < *self.retiring_since.get_or_insert(now) + RETIREMENT {
            return None;
        }
        if now < self.started_at + RETENTION {
            return None;
        }
        let mut kept = listing.clone();
        for (service, versions) in &mut kept.services {
            versions.retain(|_, state| !is_retiring(state));
            for (software, state) in versions {
                if !self.seen_at.contains_key(&(service.clone(), software.clone())) {
                    *state = State::Retiring;
                }
            }
        }
        kept.services.retain(|_, versions| !versions.is_empty());
        // A version that is marked now is removed by a later write.
        self.retiring_since = None;
        (kept != *listing).then_some(Step::Replace(revision, kept))
    }
}
