//! Judges the record of a soak by the users' promises.

mod declared;
mod poison;
pub mod retries;

use std::{collections::BTreeMap, time::Duration};

use http::StatusCode;
use serde::Serialize;
use serde_json::Value;
use types::routed::Kind;

use super::record::{Answer, Component, Order, Outcome, Record, Request, Run, Span};
use crate::routed::server::quota::{Excess, Quota};

/// Time that a run may go on at a server after its request went elsewhere.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// What the stand-ins' own clockwork may cost.
const TIMING_SLACK: Duration = Duration::from_millis(150);

/// Connections that a host may lose by chance.
const MAX_UNEXPLAINED: usize = 3;

/// Fewest requests after the last fault from which recovery is judged.
const MIN_SAMPLES: usize = 20;

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Promise {
    /// What isn't idempotent runs at most once, and a stream at one server at a time.
    Twice,
    /// What is refused never runs.
    Refused,
    /// Each caller gets its own answer, and whole.
    Mixed,
    /// What runs was asked for.
    Unasked,
    /// Streams are whole and in order.
    Order,
    /// A leaving server gets nothing new.
    Drain,
    /// One host at a time gives orders.
    One,
    /// No server is ordered to hold more than it can.
    Limit,
    /// No server gets more requests than it says that it takes.
    Quota,
    /// What has crashed three servers reaches few others.
    Poison,
    /// Nothing else is refused as if it crashed servers.
    Innocent,
    /// No service gets more retries than its budget allows.
    Retries,
    /// Declarations come into force in time and never go back.
    Config,
    /// Planned stops cut nothing, nor does calm.
    Lost,
    /// Requests are served after the last fault.
    Recover,
    /// No process ends by itself.
    Fault,
}

impl Promise {
    /// All of them.
    pub const ALL: [Promise; 16] = [
        Promise::Twice,
        Promise::Refused,
        Promise::Mixed,
        Promise::Unasked,
        Promise::Order,
        Promise::Drain,
        Promise::One,
        Promise::Limit,
        Promise::Quota,
        Promise::Poison,
        Promise::Innocent,
        Promise::Retries,
        Promise::Config,
        Promise::Lost,
        Promise::Recover,
        Promise::Fault,
    ];
}

/// A broken promise.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// The promise.
    pub promise: Promise,
    /// The request, if it is one's.
    pub request: Option<String>,
    /// When, since the start.
    pub at: Duration,
    /// What was seen.
    pub what: String,
}

/// Every promise that was broken, by time.
pub fn judge(record: &Record) -> Vec<Breach> {
    let judge = Judge::new(record);
    let mut breaches = Vec::new();
    for request in &record.requests {
        breaches.extend(judge.check_request(request));
    }
    breaches.extend(record.runs.iter().filter_map(|run| judge.check_run(run)));
    breaches.extend(judge.check_orders());
    breaches.extend(judge.check_declarations());
    breaches.extend(judge.check_unexplained_losses());
    breaches.extend(judge.check_recovery());
    breaches.extend(judge.check_poison());
    breaches.extend(judge.check_refused_as_poison());
    breaches.extend(judge.check_quotas());
    breaches.extend(judge.check_retries());
    let limit = |(server, at): &(String, Duration)| Breach {
        promise: Promise::Limit,
        request: None,
        at: *at,
        what: format!("{server} was ordered to hold more than it can"),
    };
    breaches.extend(record.overloads.iter().map(limit));
    let end = record.requests.iter().map(|request| request.span.to).max().unwrap_or_default();
    let exited = |host: &usize| Breach {
        promise: Promise::Fault,
        request: None,
        at: end,
        what: format!("host {host} ended by itself"),
    };
    breaches.extend(record.exited.iter().map(exited));
    breaches.sort_by_key(|breach| breach.at);
    breaches
}

struct Judge<'a> {
    record: &'a Record,
    requests: BTreeMap<&'a str, &'a Request>,
    runs: BTreeMap<&'a str, Vec<&'a Run>>,
}

fn breach(promise: Promise, request: &Request, at: Duration, what: String) -> Breach {
    Breach { promise, request: Some(request.id.clone()), at, what }
}

impl<'a> Judge<'a> {
    fn new(record: &'a Record) -> Judge<'a> {
        let requests = record.requests.iter().map(|request| (&*request.id, request)).collect();
        let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &record.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        runs.values_mut().for_each(|runs| runs.sort_by_key(|run| run.arrived_at));
        Judge { record, requests, runs }
    }

    fn runs(&self, request: &Request) -> &[&'a Run] {
        self.runs.get(&*request.id).map_or(&[], Vec::as_slice)
    }

    /// What one request's own record breaks.
    fn check_request(&self, request: &Request) -> Vec<Breach> {
        let mut breaches = Vec::new();
        breaches.extend(self.check_runs(request));
        breaches.extend(self.check_cut_off(request));
        if let Outcome::Answered(answer) = &request.outcome {
            let found = self.check_answer(request, answer);
            let to_breach = |(promise, what)| breach(promise, request, request.span.to, what);
            breaches.extend(found.map(to_breach));
        }
        breaches
    }

    fn check_runs(&self, request: &Request) -> Option<Breach> {
        let runs = self.runs(request);
        let runs_once = match request.kind {
            Kind::Idempotent => return None,
            Kind::NonIdempotent => true,
            Kind::Stream => !request.resumable,
        };
        for pair in runs.windows(2) {
            let [before, after] = pair else { continue };
            let latest_end = after.arrived_at + MAX_OVERLAP;
            let span = Span { from: after.arrived_at, to: latest_end };
            let overlaps = before.ended_at.is_none_or(|ended| latest_end < ended)
                && self.record.is_in_contact(request.host_run.host, span);
            if runs_once || overlaps {
                let what = format!("ran at {}, then at {}", before.server, after.server);
                return Some(breach(Promise::Twice, request, after.arrived_at, what));
            }
        }
        None
    }

    fn check_answer(&self, request: &Request, answer: &Answer) -> Option<(Promise, String)> {
        let runs = self.runs(request);
        if answer.id.as_ref().is_some_and(|id| *id != request.id) {
            return Some((Promise::Mixed, format!("got the answer of {:?}", answer.id)));
        }
        const NOT_RUN: [StatusCode; 4] = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        let is_once = request.kind != Kind::Idempotent;
        if NOT_RUN.contains(&answer.status) && is_once && !runs.is_empty() {
            let what = format!("{} though it ran at {}", answer.status, runs[0].server);
            return Some((Promise::Refused, what));
        }
        let sealed_run = answer
            .seal
            .as_ref()
            .map(|seal| runs.iter().find(|run| *seal == format!("{}.{}", run.server, run.id)));
        if !answer.status.is_success() {
            let failure = sealed_run?.and_then(|run| run.failure);
            let what = format!("{} under the seal of an answer of {failure:?}", answer.status);
            return (failure != Some(answer.status)).then_some((Promise::Mixed, what));
        }
        match sealed_run {
            None => return Some((Promise::Mixed, "a success without a seal".into())),
            Some(None) => {
                return Some((Promise::Mixed, format!("a stranger's seal: {:?}", answer.seal)));
            }
            Some(Some(run)) if run.failure.is_some() => {
                return Some((Promise::Mixed, "a success where the server failed".into()));
            }
            Some(Some(_)) => {}
        }
        match request.kind {
            Kind::Stream => self.check_stream(answer),
            _ if !answer.is_complete => None,
            _ => check_plain_body(request, answer),
        }
    }

    /// A stream's events are those that follow each other from the first; the last has come if it
    /// ends as complete.
    fn check_stream(&self, answer: &Answer) -> Option<(Promise, String)> {
        let text = String::from_utf8_lossy(&answer.body);
        let mut expected = String::new();
        let mut number = 0;
        while expected.len() < text.len() {
            number += 1;
            expected += &format!("id: {number}\ndata: token {number}\n\n");
        }
        let last = self.record.bounds.stream_events;
        if expected != text && (answer.is_complete || !expected.starts_with(&*text)) {
            return Some((Promise::Order, format!("the stream reads {text:?}")));
        }
        (answer.is_complete && number != last || last < number)
            .then(|| (Promise::Order, format!("{number} events, of {last}")))
    }

    /// What a planned stop cut.
    fn check_cut_off(&self, request: &Request) -> Option<Breach> {
        let is_cut = match &request.outcome {
            Outcome::Closed => true,
            Outcome::Answered(answer) => !answer.is_complete,
            Outcome::Unreached | Outcome::CallerClosed | Outcome::TimedOut => false,
        };
        let bounds = &self.record.bounds;
        let took = request.span.to - request.span.from;
        if !is_cut || request.deadline <= took + TIMING_SLACK {
            return None;
        }
        let host = request.host_run.host;
        let planned = self.record.disruptions.iter().find(|disruption| {
            disruption.component == Component::HostPlanned(host)
                && disruption.span.overlaps(request.span)
        })?;
        let extended =
            Span { from: request.span.from.saturating_sub(bounds.contact), to: request.span.to };
        let runs = self.runs(request);
        let is_affecting = |component: &Component| match component {
            Component::Host(other) => *other == host,
            Component::Server(server) => runs.iter().any(|run| run.server == *server),
            Component::HostPlanned(_) | Component::Store | Component::StoreEndpoint(_) => false,
        };
        let mut disruptions = self.record.disruptions.iter();
        if disruptions.any(|disruption| {
            is_affecting(&disruption.component) && disruption.span.overlaps(extended)
        }) {
            return None;
        }
        let last_sixth = planned.span.from + bounds.stop_grace * 5 / 6;
        let is_still_running = |run: &Run| run.ended_at.is_none_or(|ended| last_sixth <= ended);
        if runs.iter().any(|run| run.is_corrupted || is_still_running(run)) {
            return None;
        }
        if runs.is_empty() && took < bounds.early_close {
            return None;
        }
        let what = format!("cut in host {host}'s {}", planned.what);
        Some(breach(Promise::Lost, request, request.span.to, what))
    }

    /// What one run breaks.
    fn check_run(&self, run: &Run) -> Option<Breach> {
        let Some(request) = self.requests.get(&*run.id) else {
            let what = format!("{} ran what nobody asked for", run.server);
            let request = Some(run.id.clone());
            return Some(Breach { promise: Promise::Unasked, request, at: run.arrived_at, what });
        };
        if (&run.path, run.body_bytes) != (&request.path, request.body_bytes) {
            let what = format!("{} got {} and {} bytes", run.server, run.path, run.body_bytes);
            return Some(breach(Promise::Unasked, request, run.arrived_at, what));
        }
        let leave = self.record.leaves.iter().find(|leave| leave.server == run.server)?;
        let is_late = leave.at + self.record.bounds.drain + TIMING_SLACK < run.arrived_at;
        // What was told by a sound store binds a host in touch, whatever was between.
        let is_bound = self.record.is_store_healthy(leave.at)
            && self.record.is_in_contact(
                request.host_run.host,
                Span { from: run.arrived_at, to: run.arrived_at },
            );
        (is_late && is_bound).then(|| {
            let late = (run.arrived_at - leave.at).as_millis();
            let what = format!(
                "host {} sent it to {late} ms after {} left",
                request.host_run.host, run.server
            );
            breach(Promise::Drain, request, run.arrived_at, what)
        })
    }

    fn check_orders(&self) -> Vec<Breach> {
        let orders = &self.record.orders;
        let mut breaches = Vec::new();
        let mut last: BTreeMap<&str, &Order> = BTreeMap::new();
        let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
        for order in orders.iter().filter(|order| !self.is_just_resumed(order)) {
            let holder = *holders.entry(order.fence).or_insert(&order.holder);
            let before = last.insert(&order.server, order);
            let what = match before {
                _ if holder != order.holder => format!("{holder} has this fence too"),
                Some(before) if order.fence < before.fence => format!("after {before:?}"),
                Some(before) if before.holder == order.holder => continue,
                Some(before)
                    if order.arrived_at < before.arrived_at + self.record.bounds.handover =>
                {
                    format!("too soon after {before:?}")
                }
                _ => continue,
            };
            let what = format!("{order:?}: {what}");
            breaches.push(Breach {
                promise: Promise::One,
                request: None,
                at: order.arrived_at,
                what,
            });
        }
        breaches
    }

    /// Whether an order's sender had just been thawed.
    fn is_just_resumed(&self, order: &Order) -> bool {
        let host = self.record.hosts.iter().position(|host| *host == order.holder);
        let since = order.arrived_at.saturating_sub(self.record.bounds.after_freeze);
        self.record.disruptions.iter().any(|disruption| {
            host.is_some_and(|host| disruption.component == Component::Host(host))
                && since <= disruption.span.to
                && disruption.span.to <= order.arrived_at
        })
    }

    /// Requests that hosts in touch passed on to sound servers and left without an answer.
    fn check_unexplained_losses(&self) -> Vec<Breach> {
        let lost = self.record.requests.iter().filter(|request| {
            let is_sound = |run: &&Run| {
                !run.is_corrupted && self.record.is_server_healthy(&run.server, request.span)
            };
            matches!(request.outcome, Outcome::Closed)
                && self.record.is_in_contact(request.host_run.host, request.span)
                && self.runs(request).last().is_some_and(is_sound)
        });
        let to_breach = |request: &Request| {
            let what = format!("host {} closed without an answer", request.host_run.host);
            breach(Promise::Lost, request, request.span.to, what)
        };
        let lost: Vec<Breach> = lost.map(to_breach).collect();
        if lost.len() <= MAX_UNEXPLAINED { Vec::new() } else { lost }
    }

    /// Servers that got more than they said that they take, from hosts in no trouble of their own.
    fn check_quotas(&self) -> Vec<Breach> {
        let counts = |id: &str, at: Duration| {
            let contact = Span { from: at.saturating_sub(self.record.bounds.contact), to: at };
            self.requests.get(id).is_none_or(|request| {
                let host = Component::Host(request.host_run.host);
                let mut disruptions = self.record.disruptions.iter();
                !disruptions.any(|disruption| {
                    disruption.component == host && disruption.span.overlaps(contact)
                })
            })
        };
        let breach = |(server, quota): &(String, Quota)| {
            let Excess { at, requests, allowed } = quota.excess(counts)?;
            let what = format!("{server} got {requests} requests in a window, allowed {allowed}");
            Some(Breach { promise: Promise::Quota, request: None, at, what })
        };
        self.record.quotas.iter().filter_map(breach).collect()
    }

    fn check_recovery(&self) -> Option<Breach> {
        let bounds = &self.record.bounds;
        let last = self.record.disruptions.iter().map(|disruption| disruption.span.to).max()?;
        let from = last + bounds.recovery;
        let after = self.record.requests.iter().filter(|request| {
            from <= request.span.from && !matches!(request.outcome, Outcome::CallerClosed)
        });
        let after: Vec<&Request> = after.collect();
        let served = after.iter().filter(|request| is_served(request)).count();
        let is_low = (served as f64) < bounds.min_served_ratio * after.len() as f64;
        (MIN_SAMPLES <= after.len() && is_low).then(|| {
            let what = format!("{served} of {} served after the last fault", after.len());
            Breach { promise: Promise::Recover, request: None, at: from, what }
        })
    }
}

pub use poison::crashed;

/// Whether a request's answer is a whole success.
pub fn is_served(request: &Request) -> bool {
    matches!(&request.outcome, Outcome::Answered(answer) if answer.is_complete && answer.status.is_success())
}

/// A plain server's body says what it answers.
fn check_plain_body(request: &Request, answer: &Answer) -> Option<(Promise, String)> {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let is_own = body["request"] == *request.id
        && body["path"] == *request.path
        && body["bytes"] == request.body_bytes;
    (!is_own).then(|| (Promise::Mixed, format!("the body reads {:?}", answer.body)))
}
