//! The rules on early ends: a sound server may be silent for a moment, and no request at it ends early
//! for that; a stream that may be resumed does not end early at all while a server that runs it is
//! sound, whatever the others do.

use std::time::Duration;

use http::StatusCode;
use types::routed::Kind;

use super::{Breach, Judge, Promise, breach, stream::stated_spans};
use crate::routed::soak::record::{Component, Outcome, Request, Run, Silence, Span};

/// Part of the deadline within which an end is early.
const EARLY: f64 = 0.5;

/// Time after a silence in which requests may still end for it.
const AFTERMATH: Duration = Duration::from_millis(500);

/// Number of servers that break a stream off from which on it may count as one that crashes servers,
/// so that it must reach no others.
const MAX_CRASHES: usize = 3;

impl Judge<'_> {
    /// Requests that were at a silent, sound server, and ended early without an answer.
    pub(super) fn check_silences(&self) -> Vec<Breach> {
        let requests = self.record.requests.iter().filter(|request| ended_early(request));
        let broken = requests.filter_map(|request| {
            let mut silences = self.record.silences.iter();
            let silence = silences.find(|silence| self.is_only_trouble(request, silence))?;
            let took = (request.span.to - request.span.from).as_millis();
            let what = format!(
                "ended after {took} of {} ms without an answer, while {} was silent",
                request.deadline.as_millis(),
                silence.server
            );
            Some(breach(Promise::Lost, request, request.span.to, what))
        });
        broken.collect()
    }

    /// Streams that may be resumed, and ended early although a server that had run them was sound.
    pub(super) fn check_cut_streams(&self) -> Vec<Breach> {
        let requests = self.record.requests.iter().filter(|request| is_cut_stream(request));
        let broken = requests.filter_map(|request| {
            let run = self.runs(request).iter().find(|run| self.is_usable(request, run))?;
            let took = (request.span.to - request.span.from).as_millis();
            let what = format!(
                "a stream ended after {took} of {} ms, while {} was sound",
                request.deadline.as_millis(),
                run.server
            );
            Some(breach(Promise::Lost, request, request.span.to, what))
        });
        broken.collect()
    }

    /// Whether the host of a request could have continued it at the server of an execution.
    fn is_usable(&self, request: &Request, run: &Run) -> bool {
        let host = request.host_run.host;
        let span = Span {
            from: request.span.from.saturating_sub(self.record.bounds.contact),
            ..request.span
        };
        let is_host_disrupted = |component: &Component| match component {
            Component::Host(other)
            | Component::HostPlanned(other)
            | Component::ServerLinks(other) => *other == host,
            Component::Server(_) | Component::Store | Component::StoreEndpoint(_) => false,
        };
        let crashes = self.runs(request).iter().filter(|run| run.is_corrupted).count();
        let is_limited = self.record.quotas.iter().any(|(server, quota)| {
            *server == run.server && stated_spans(quota).any(|stated| stated.overlaps(span))
        });
        // The other servers of a service reject requests while one of it is silent.
        let is_rejecting = self.record.silences.iter().any(|silence| {
            silence.service == run.service
                && silence.server != run.server
                && silence.span.overlaps(request.span)
        });
        !run.is_corrupted
            && run.failure.is_none()
            && crashes < MAX_CRASHES
            && self.record.is_server_healthy(&run.server, span)
            && self.record.is_undisturbed(span, is_host_disrupted)
            && !is_limited
            && !is_rejecting
            && !self.is_revoked(request)
    }

    /// Whether a declaration without the key of a request may have come into force during it.
    fn is_revoked(&self, request: &Request) -> bool {
        let in_force = |at| Span { from: at, to: at + self.record.bounds.apply };
        let mut declared = self.record.declared.iter();
        declared.any(|declared| {
            declared.holders.is_some()
                && declared.holder(request.key.as_deref()).is_none()
                && in_force(declared.at).overlaps(request.span)
        })
    }

    /// Whether a request was at a server in its silence, and met no other fault.
    fn is_only_trouble(&self, request: &Request, silence: &Silence) -> bool {
        let runs = self.runs(request);
        let is_at_server = runs
            .iter()
            .any(|run| run.server == silence.server && !run.is_corrupted && run.failure.is_none());
        let span = Span { to: silence.span.to.saturating_add(AFTERMATH), ..silence.span };
        if !is_at_server || !span.overlaps(request.span) || request.poison.is_some() {
            return false;
        }
        let from = request.span.from.saturating_sub(self.record.bounds.contact);
        let before = Span { from, to: request.span.to };
        let host = request.host_run.host;
        let prefix = format!("{}-", silence.service);
        let is_affecting = |component: &Component| match component {
            Component::Host(other)
            | Component::HostPlanned(other)
            | Component::ServerLinks(other) => *other == host,
            Component::Server(server) => server.starts_with(&prefix),
            Component::Store | Component::StoreEndpoint(_) => false,
        };
        let mut disruptions = self.record.disruptions.iter();
        !disruptions.any(|disruption| {
            is_affecting(&disruption.component) && disruption.span.overlaps(before)
        })
    }
}

/// Whether a request is a stream that may be resumed, of which the caller got a part early.
fn is_cut_stream(request: &Request) -> bool {
    let is_begun =
        matches!(&request.outcome, Outcome::Answered(answer) if answer.status.is_success());
    request.kind == Kind::Stream
        && request.resumable
        && request.poison.is_none()
        && is_begun
        && ended_early(request)
}

/// Whether a request ended without a complete answer while most of its time was left.
fn ended_early(request: &Request) -> bool {
    let is_lost = match &request.outcome {
        Outcome::Closed => true,
        Outcome::Answered(answer) => {
            !answer.is_complete || answer.status == StatusCode::BAD_GATEWAY
        }
        Outcome::Unreached | Outcome::CallerClosed | Outcome::BrokenOff(_) | Outcome::TimedOut => {
            false
        }
    };
    is_lost && request.span.to - request.span.from < request.deadline.mul_f64(EARLY)
}
