//! One host's view of the quarantine: the [`Document`] as last read, and the server deaths that the
//! host has observed itself.

use std::{collections::BTreeMap, mem};

use types::{request, service};

use super::{Document, Fingerprint, ServerRun, Settings};
use crate::once::range::Version;

/// Handling of a request before it is routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is no suspect.
    Free,
    /// The request is a suspect and runs only in a trial.
    Suspect,
    /// The request crashed servers and is refused.
    Refused,
}

/// One host's view of the quarantine.
#[derive(Clone, Debug, Default)]
pub struct HostView {
    settings: Settings,
    document: Document,
    /// Version of the document as last read.
    version: Option<Version>,
    in_flight: BTreeMap<request::Id, SentRequest>,
    /// Deaths that this host has observed and not yet written to the document, with the requests
    /// that were in flight.
    unwritten: BTreeMap<ServerRun, BTreeMap<Fingerprint, service::Id>>,
}

#[derive(Clone, Debug)]
struct SentRequest {
    fingerprint: Fingerprint,
    service: service::Id,
    run: ServerRun,
}

impl HostView {
    /// Returns a view without requests, in which no document was read yet.
    pub fn new(settings: Settings) -> HostView {
        HostView { settings, ..HostView::default() }
    }

    /// Document as last read.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Applies the document as read, or as written by this host. Older versions are ignored, since
    /// reads and writes may complete in any order.
    pub fn read(&mut self, version: Version, document: Document) {
        if self.version.is_some_and(|known| version < known) {
            return;
        }
        self.version = Some(version);
        self.document = document;
    }

    /// Returns how to handle a request before it is routed.
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

    /// Records that a request is about to be sent to a server.
    pub fn sent(
        &mut self,
        id: request::Id,
        fingerprint: Fingerprint,
        service: service::Id,
        run: ServerRun,
    ) {
        self.in_flight.insert(id, SentRequest { fingerprint, service, run });
    }

    /// Records that a request is no longer in flight, with its server alive.
    pub fn ended(&mut self, id: &request::Id) {
        self.in_flight.remove(id);
    }

    /// Records that a server answered a request completely; the server may have died since.
    pub fn completed(&mut self, id: &request::Id, fingerprint: Fingerprint, run: &ServerRun) {
        self.in_flight.remove(id);
        if let Some(suspects) = self.unwritten.get_mut(run) {
            suspects.remove(&fingerprint);
        }
    }

    /// Records that a server died. The requests in flight on it must be written to the document,
    /// see [`HostView::unwritten`]. Returns whether there were any.
    pub fn died(&mut self, run: &ServerRun) -> bool {
        let (lost, remaining): (BTreeMap<_, _>, BTreeMap<_, _>) =
            mem::take(&mut self.in_flight).into_iter().partition(|(_, f)| f.run == *run);
        self.in_flight = remaining;
        let suspects: BTreeMap<Fingerprint, service::Id> =
            lost.into_values().map(|request| (request.fingerprint, request.service)).collect();
        if suspects.is_empty() {
            return false;
        }
        self.unwritten.entry(run.clone()).or_default().extend(suspects);
        true
    }

    /// Deaths that are not yet written to the document, with the requests that were in flight.
    pub fn unwritten(&self) -> &BTreeMap<ServerRun, BTreeMap<Fingerprint, service::Id>> {
        &self.unwritten
    }

    /// Adds the unwritten deaths to a document. They stay unwritten until [`HostView::written`].
    pub fn record_death(&self, wall: crate::once::UnixMillis, document: &mut Document) {
        for (run, suspects) in &self.unwritten {
            let in_flight = suspects.iter().map(|(fingerprint, service)| (*fingerprint, service));
            document.record_death(&self.settings, wall, run, in_flight);
        }
    }

    /// Drops deaths that were written to the document.
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
