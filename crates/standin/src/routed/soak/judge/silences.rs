//! The rule on silent servers: a sound server may be silent for a moment, and no request at it ends
//! early for that.

use std::time::Duration;

use http::StatusCode;

use super::{Breach, Judge, Promise, breach};
use crate::routed::soak::record::{Component, Outcome, Request, Silence, Span};

/// Part of the deadline within which an end is early.
const EARLY: f64 = 0.5;

/// Time after a silence in which requests may still end for it.
const AFTERMATH: Duration = Duration::from_millis(500);

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
