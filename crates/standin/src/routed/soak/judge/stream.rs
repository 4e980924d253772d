//! Checks the events of streams.

use std::time::Duration;

use super::{Breach, Judge, MIN_SAMPLES, Promise};
use crate::routed::{
    server::quota::Quota,
    soak::record::{Answer, Record, Request, Span},
    stream::{
        Attempt, Event, Stream,
        judge::{self as streams, Shares},
    },
};

/// How many streams began, and how many went on when they were taken up, at hosts in contact while
/// two servers of their version served.
pub fn shares(record: &Record) -> Shares {
    Judge::new(record).shares()
}

impl Judge<'_> {
    /// Checks that a stream holds consecutive events after those that the caller had, all of one software
    /// version and of servers that executed the request, and all of them if it ended as complete.
    pub(super) fn check_stream(
        &self,
        request: &Request,
        answer: &Answer,
    ) -> Option<(Promise, String)> {
        let text = String::from_utf8_lossy(&answer.body);
        let disordered = || Some((Promise::Order, format!("the stream is {text:?}")));
        let Some(events) = Event::parse_all(&text) else { return disordered() };
        let before = request.resume.unwrap_or_default();
        let number = before + events.len() as u64;
        let is_ordered = (before + 1..).zip(&events).all(|(number, event)| event.number == number);
        let is_joined = events.iter().any(|event| event.software != events[0].software);
        if !is_ordered || is_joined || !is_end_sound(number, &text, answer) {
            return disordered();
        }
        let runs = self.runs(request);
        let is_foreign = |event: &&Event| runs.iter().all(|run| *run.server != *event.run);
        if let Some(event) = events.iter().find(is_foreign) {
            return Some((Promise::Mixed, format!("{} did not execute it", event.run)));
        }
        let last = self.record.bounds.stream_events;
        (answer.is_complete && number != last || last < number)
            .then(|| (Promise::Order, format!("{number} events instead of {last}")))
    }

    /// Streams that hold events of two versions or are out of order over all attempts, and whether
    /// too few went on when they were taken up.
    pub(super) fn check_streams(&self) -> Vec<Breach> {
        let streams = &self.record.streams;
        let to_breach = |stream: &Stream| {
            let found = streams::check(stream)?;
            let request = stream.attempts.last().map(|attempt| attempt.id.to_string());
            let at = self.span_of(stream.attempts.last()?)?.to;
            Some(Breach { promise: Promise::Order, request, at, what: format!("{found:?}") })
        };
        let mut breaches: Vec<Breach> = streams.iter().filter_map(to_breach).collect();
        let shares = self.shares();
        if MIN_SAMPLES <= shares.resumed.all && !shares.are_fair() {
            let ends = self.record.requests.iter().map(|request| request.span.to);
            let (promise, request) = (Promise::Lost, None);
            let at = ends.max().unwrap_or_default();
            let what = format!("too few streams go on when they are taken up: {shares:?}");
            breaches.push(Breach { promise, request, at, what });
        }
        breaches
    }

    /// How many streams began and went on where they had to.
    fn shares(&self) -> Shares {
        Shares::of(&self.record.streams, |stream, attempt| self.counts(stream, attempt))
    }

    fn span_of(&self, attempt: &Attempt) -> Option<Span> {
        self.requests.get(&*attempt.id).map(|request| request.span)
    }

    /// Whether an attempt was made at a host in contact, while at least two servers of the stream's
    /// version served and no server stated a limit.
    fn counts(&self, stream: &Stream, attempt: &Attempt) -> bool {
        let Some(sent) = self.span_of(attempt) else { return false };
        let span = Span { from: sent.from.saturating_sub(self.record.bounds.contact), ..sent };
        let software = stream.events().next().map(|event| &*event.software);
        let is_serving = |(id, version, life): &&(String, String, Span)| {
            software.is_none_or(|software| *version == *software)
                && life.from <= span.from
                && span.to <= life.to
                && self.record.is_server_healthy(id, span)
        };
        self.record.is_in_contact(attempt.host, sent)
            && !self.record.is_partitioned(attempt.host, span)
            && 2 <= self.record.software.iter().filter(is_serving).count()
            && !self.is_any_limited(span)
    }

    /// Whether a server with a known version stated a limit in a span.
    fn is_any_limited(&self, span: Span) -> bool {
        let servers = &self.record.software;
        let known = |id: &String| servers.iter().any(|(known, ..)| known == id);
        let quotas = self.record.quotas.iter().filter(|(id, _)| known(id));
        quotas.flat_map(|(_, quota)| stated_spans(quota)).any(|stated| stated.overlaps(span))
    }
}

/// The spans in which a server stated a limit.
pub(super) fn stated_spans(quota: &Quota) -> impl Iterator<Item = Span> {
    let ends = quota.limits.iter().skip(1).map(|(at, _)| *at).chain([Duration::MAX]);
    let stated = quota.limits.iter().zip(ends).filter(|((_, limit), _)| limit.is_some());
    stated.map(|((from, _), to)| Span { from: *from, to })
}

/// Whether nothing but the beginning of the next event follows the complete ones, and nothing
/// at all if the stream ended as complete.
fn is_end_sound(last: u64, text: &str, answer: &Answer) -> bool {
    let rest = text.rsplit_once("\n\n").map_or(text, |(_, rest)| rest);
    let next = format!("id: {0}\ndata: token {0} of ", last + 1);
    rest.is_empty() || !answer.is_complete && (next.starts_with(rest) || rest.starts_with(&next))
}
