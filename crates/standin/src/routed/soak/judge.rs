//! Checks the record of a soak against the promises to users.

mod brittle;
mod customers;
mod declared;
mod departures;
mod partition;
mod poison;
pub mod retries;
mod silences;
mod stream;

use std::{collections::BTreeMap, time::Duration};

use http::StatusCode;
use serde::Serialize;
use serde_json::Value;
use types::routed::Kind;

use super::record::{Answer, Component, Order, Outcome, Poison, Record, Request, Run, Span};
use crate::routed::server::quota::{Excess, Quota};

/// How long an execution may continue after its request has reached another server.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Allowance for scheduling delays of the stand-ins.
const TIMING_SLACK: Duration = Duration::from_millis(150);

/// Maximum number of requests that may fail without an injected fault as the cause.
const MAX_UNEXPLAINED: usize = 3;

/// Minimum number of requests after the last fault for recovery to be judged.
const MIN_SAMPLES: usize = 20;

/// A promise to users, as the summary of a soak names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Promise {
    /// A request that is neither idempotent nor a resumable stream is executed at most once, and a
    /// resumable stream by one server at a time.
    Twice,
    /// A request that was refused as not executed was not executed.
    Refused,
    /// Each caller gets the answer to its own request, unaltered.
    Mixed,
    /// Servers execute only requests that callers sent, with the path and body that they sent.
    Unasked,
    /// Streams are complete and in order, and of one software version, over all attempts of their
    /// callers.
    Order,
    /// A leaving server receives no new requests.
    Drain,
    /// One host at a time sends orders to a server.
    One,
    /// No server is ordered to load more than fits.
    Limit,
    /// No server receives more requests than the limit that it states.
    Quota,
    /// Brittle servers are not made to reject so many requests that they crash.
    Brittle,
    /// A request that has crashed three servers, and a part that has crashed five, reach few others.
    Poison,
    /// No other request is refused as if it crashed servers.
    Innocent,
    /// No service receives more retries than its budget allows.
    Retries,
    /// Declarations come into force in time and are never reverted to an older one.
    Config,
    /// No answer is cut off by a planned stop or a reload, or without any fault, and streams that
    /// callers take up go on.
    Lost,
    /// Requests are served on behalf of the customer that holds their key, only with a held key, and
    /// servers get no key.
    Identity,
    /// Requests are served after the last fault.
    Recover,
    /// Hosts that are partitioned from all servers serve requests like the others.
    Partitioned,
    /// No host process exits by itself.
    Fault,
}

impl Promise {
    /// All promises that a soak is judged by.
    pub const ALL: [Promise; 19] = [
        Promise::Twice,
        Promise::Refused,
        Promise::Mixed,
        Promise::Unasked,
        Promise::Order,
        Promise::Drain,
        Promise::One,
        Promise::Limit,
        Promise::Quota,
        Promise::Brittle,
        Promise::Poison,
        Promise::Innocent,
        Promise::Retries,
        Promise::Config,
        Promise::Lost,
        Promise::Identity,
        Promise::Recover,
        Promise::Partitioned,
        Promise::Fault,
    ];
}

/// An observation that breaks a promise.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// The promise that is broken.
    pub promise: Promise,
    /// Id of the request, if the breach concerns a single one.
    pub request: Option<String>,
    /// When, since the start of the soak.
    pub at: Duration,
    /// What was observed.
    pub what: String,
}

/// All breaches that the record shows, by time.
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
    breaches.extend(judge.check_silences());
    breaches.extend(judge.check_cut_streams());
    breaches.extend(judge.check_recovery());
    breaches.extend(judge.check_partitions());
    breaches.extend(judge.check_poison(Poison::Request));
    breaches.extend(judge.check_poison(Poison::Part));
    breaches.extend(judge.check_refused_as_poison());
    breaches.extend(judge.check_departures());
    breaches.extend(judge.check_quotas());
    breaches.extend(judge.check_brittle());
    breaches.extend(judge.check_retries());
    breaches.extend(judge.check_streams());
    breaches.extend(judge.check_customers());
    let limit = |(server, at): &(String, Duration)| Breach {
        promise: Promise::Limit,
        request: None,
        at: *at,
        what: format!("{server} was ordered to load more than fits"),
    };
    breaches.extend(record.overloads.iter().map(limit));
    let end = record.requests.iter().map(|request| request.span.to).max().unwrap_or_default();
    let exited = |host: &usize| Breach {
        promise: Promise::Fault,
        request: None,
        at: end,
        what: format!("process of host {host} exited by itself"),
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

    /// Breaches by the outcome and the executions of one request.
    fn check_request(&self, request: &Request) -> Vec<Breach> {
        let mut breaches = Vec::new();
        breaches.extend(self.check_runs(request));
        breaches.extend(self.check_cut_off(request));
        if let Outcome::Answered(answer) | Outcome::BrokenOff(answer) = &request.outcome {
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
            // A host that is partitioned from a server, or before a silent one, can't end an execution there.
            let overlaps = before.ended_at.is_none_or(|ended| latest_end < ended)
                && self.record.is_in_contact(request.host_run.host, span)
                && !self.record.is_partitioned(request.host_run.host, request.span)
                && !self.record.is_silent(&before.server, request.span);
            if runs_once || overlaps {
                let what = format!("executed by {}, then by {}", before.server, after.server);
                return Some(breach(Promise::Twice, request, after.arrived_at, what));
            }
        }
        None
    }

    fn check_answer(&self, request: &Request, answer: &Answer) -> Option<(Promise, String)> {
        let runs = self.runs(request);
        if answer.id.as_ref().is_some_and(|id| *id != request.id) {
            return Some((Promise::Mixed, format!("got the answer to request {:?}", answer.id)));
        }
        const NOT_RUN: [StatusCode; 4] = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        let is_once = request.kind != Kind::Idempotent;
        if NOT_RUN.contains(&answer.status) && is_once && !runs.is_empty() {
            let what = format!("{} though it was executed by {}", answer.status, runs[0].server);
            return Some((Promise::Refused, what));
        }
        let sealed_run = answer
            .seal
            .as_ref()
            .map(|seal| runs.iter().find(|run| *seal == format!("{}.{}", run.server, run.id)));
        if !answer.status.is_success() {
            let failure = sealed_run?.and_then(|run| run.failure);
            let what = format!("status {}, but the server's answer had {failure:?}", answer.status);
            return (failure != Some(answer.status)).then_some((Promise::Mixed, what));
        }
        match sealed_run {
            None => return Some((Promise::Mixed, "a success without a seal of a server".into())),
            Some(None) => {
                return Some((
                    Promise::Mixed,
                    format!("seal of another request or server: {:?}", answer.seal),
                ));
            }
            Some(Some(run)) if run.failure.is_some() => {
                return Some((
                    Promise::Mixed,
                    "a success though the server answered a failure".into(),
                ));
            }
            Some(Some(_)) => {}
        }
        match request.kind {
            Kind::Stream => self.check_stream(request, answer),
            _ if !answer.is_complete => None,
            _ => check_plain_body(request, answer),
        }
    }

    /// Checks that no planned stop or reload cut the request off, unless another cause is possible.
    fn check_cut_off(&self, request: &Request) -> Option<Breach> {
        let is_cut = match &request.outcome {
            Outcome::Closed => true,
            Outcome::Answered(answer) => !answer.is_complete,
            Outcome::Unreached
            | Outcome::CallerClosed
            | Outcome::BrokenOff(_)
            | Outcome::TimedOut => false,
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
            Component::ServerLinks(other) => *other == host,
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
        let what = format!("cut off during {} of host {host}", planned.what);
        Some(breach(Promise::Lost, request, request.span.to, what))
    }

    /// Checks that a caller sent the executed request as the server received it, and that the
    /// server had not left long before.
    fn check_run(&self, run: &Run) -> Option<Breach> {
        let Some(request) = self.requests.get(&*run.id) else {
            let what = format!("{} executed a request that no caller sent", run.server);
            let request = Some(run.id.clone());
            return Some(Breach { promise: Promise::Unasked, request, at: run.arrived_at, what });
        };
        if (&run.path, run.body_bytes) != (&request.path, request.body_bytes) {
            let what =
                format!("{} received {} with {} bytes", run.server, run.path, run.body_bytes);
            return Some(breach(Promise::Unasked, request, run.arrived_at, what));
        }
        let leave = self.record.leaves.iter().find(|leave| leave.server == run.server)?;
        let is_late = leave.at + self.record.bounds.drain + TIMING_SLACK < run.arrived_at;
        // A departure written to the store while the store is undisturbed binds each host that is
        // in contact when it sends, whatever was disrupted in between.
        let is_bound = self.record.is_store_healthy(leave.at)
            && self.record.is_in_contact(
                request.host_run.host,
                Span { from: run.arrived_at, to: run.arrived_at },
            );
        (is_late && is_bound).then(|| {
            let late = (run.arrived_at - leave.at).as_millis();
            let what = format!(
                "host {} sent it {late} ms after {} had left",
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
                _ if holder != order.holder => format!("{holder} uses the same fencing number"),
                Some(before) if order.fence < before.fence => {
                    format!("lower fencing number than {before:?}")
                }
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

    /// Whether an unplanned fault of the order's sender, such as a freeze, had ended just before.
    /// Such an order isn't judged.
    fn is_just_resumed(&self, order: &Order) -> bool {
        let host = self.record.hosts.iter().position(|host| *host == order.holder);
        let since = order.arrived_at.saturating_sub(self.record.bounds.after_freeze);
        self.record.disruptions.iter().any(|disruption| {
            host.is_some_and(|host| disruption.component == Component::Host(host))
                && since <= disruption.span.to
                && disruption.span.to <= order.arrived_at
        })
    }

    /// Requests that hosts in contact forwarded to undisturbed servers and closed without an
    /// answer.
    ///
    /// Up to [`MAX_UNEXPLAINED`] are tolerated.
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

    /// Servers that received more than the limit they stated, from hosts that were undisturbed
    /// themselves.
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
            let what =
                format!("{server} received {requests} requests in a window that allows {allowed}");
            Some(Breach { promise: Promise::Quota, request: None, at, what })
        };
        self.record.quotas.iter().filter_map(breach).collect()
    }

    fn check_recovery(&self) -> Option<Breach> {
        let bounds = &self.record.bounds;
        let last = self.record.disruptions.iter().map(|disruption| disruption.span.to).max()?;
        let from = last + bounds.recovery;
        let after = self.record.requests.iter().filter(|request| {
            from <= request.span.from
                && request.resume.is_none()
                && !is_unauthorized(request)
                && !matches!(request.outcome, Outcome::CallerClosed | Outcome::BrokenOff(_))
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

pub use self::{poison::crashed, stream::shares};

/// Whether a request got a complete answer with a success status.
pub fn is_served(request: &Request) -> bool {
    matches!(&request.outcome, Outcome::Answered(answer) if answer.is_complete && answer.status.is_success())
}

/// Whether a request was refused for its key, which [`Promise::Identity`] judges.
fn is_unauthorized(request: &Request) -> bool {
    matches!(&request.outcome, Outcome::Answered(answer) if answer.status == StatusCode::UNAUTHORIZED)
}

/// Checks the body of a plain server, which names the request, the path and the length it received.
fn check_plain_body(request: &Request, answer: &Answer) -> Option<(Promise, String)> {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let is_own = body["request"] == *request.id
        && body["path"] == *request.path
        && body["bytes"] == request.body_bytes;
    (!is_own).then(|| (Promise::Mixed, format!("the body is {:?}", answer.body)))
}
