//! One host's view of the quarantine: what it has read, and what it has seen itself.

use std::{collections::BTreeMap, mem};

use types::{request, service};

use super::{Document, Fingerprint, ServerRun, Settings};
use crate::once::range::Version;

/// What to do with a request before it is routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is held against it.
    Free,
    /// Runs only in a trial.
    Suspect,
    /// Crashed servers before.
    Refused,
}

/// One host's view of the quarantine.
#[derive(Clone, Debug, Default)]
pub struct HostView {
    settings: Settings,
    document: Document,
    /// Version of the document that was read.
    version: Option<Version>,
    in_flight: BTreeMap<request::Id, Flight>,
    /// Deaths seen here that the object does not show yet, with the requests in flight.
    unwritten: BTreeMap<ServerRun, BTreeMap<Fingerprint, service::Id>>,
}

#[derive(Clone, Debug)]
struct Flight {
    fingerprint: Fingerprint,
    service: service::Id,
    run: ServerRun,
}

impl HostView {
    /// A view that has read nothing.
    pub fn new(settings: Settings) -> HostView {
        HostView { settings, ..HostView::default() }
    }

    /// The object as last read.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Takes the object from a read, or from a write of its own, which may come in any order.
    pub fn read(&mut self, version: Version, document: Document) {
        if self.version.is_some_and(|known| version < known) {
            return;
        }
        self.version = Some(version);
        self.document = document;
    }

    /// What to do with a request before it is routed.
    pub fn admit(&self, fingerprint: Fingerprint) -> Verdict {
        if self.document.refused.contains_key(&fingerprint) {
            return Verdict::Refused;
        }
        let is_unwritten =
            self.unwritten.values().any(|suspects| suspects.contains_key(&fingerprint));
        match is_unwritten || self.document.suspects.contains_key(&fingerprint) {
            true => Verdict::Suspect,
            false => Verdict::Free,
        }
    }

    /// Notes that a request is about to be sent to a server.
    pub fn sent(
        &mut self,
        id: request::Id,
        fingerprint: Fingerprint,
        service: service::Id,
        run: ServerRun,
    ) {
        self.in_flight.insert(id, Flight { fingerprint, service, run });
    }

    /// Notes that a request is in flight no more, with its server alive.
    pub fn ended(&mut self, id: &request::Id) {
        self.in_flight.remove(id);
    }

    /// Notes that a request was answered whole by a server, which may have died since.
    pub fn completed(&mut self, id: &request::Id, fingerprint: Fingerprint, run: &ServerRun) {
        self.in_flight.remove(id);
        if let Some(suspects) = self.unwritten.get_mut(run) {
            suspects.remove(&fingerprint);
        }
    }

    /// Notes that a server died; what was in flight on it is to be written, see
    /// [`Guard::unwritten`]. Says whether that is new.
    pub fn died(&mut self, run: &ServerRun) -> bool {
        let (lost, remaining): (BTreeMap<_, _>, BTreeMap<_, _>) =
            mem::take(&mut self.in_flight).into_iter().partition(|(_, f)| f.run == *run);
        self.in_flight = remaining;
        let suspects: BTreeMap<Fingerprint, service::Id> =
            lost.into_values().map(|flight| (flight.fingerprint, flight.service)).collect();
        if suspects.is_empty() {
            return false;
        }
        self.unwritten.entry(run.clone()).or_default().extend(suspects);
        true
    }

    /// Deaths that the object does not show yet.
    pub fn unwritten(&self) -> &BTreeMap<ServerRun, BTreeMap<Fingerprint, service::Id>> {
        &self.unwritten
    }

    /// Writes them into the object; they are forgotten by [`Guard::written`].
    pub fn record_death(&self, wall: crate::once::UnixMillis, document: &mut Document) {
        for (run, suspects) in &self.unwritten {
            let in_flight = suspects.iter().map(|(fingerprint, service)| (*fingerprint, service));
            document.record_death(&self.settings, wall, run, in_flight);
        }
    }

    /// Forgets deaths that a write has shown to all.
    pub fn written(&mut self, deaths: &BTreeMap<ServerRun, BTreeMap<Fingerprint, service::Id>>) {
        for (run, written) in deaths {
            let Some(suspects) = self.unwritten.get_mut(run) else { continue };
            suspects.retain(|fingerprint, _| !written.contains_key(fingerprint));
            if suspects.is_empty() {
                self.unwritten.remove(run);
            }
        }
    }
}
