//! The reporting host's side: counts arrivals and sends totals.

use std::collections::{BTreeMap, VecDeque};

use types::{order::Fence, prelude::*};

use super::{Arrival, Line, Report, Span, Subject};
use crate::place::Work;

/// Upper ages of the periods before a session.
const SPAN_ENDS: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(4), Duration::from_secs(15)];

/// Most arrivals that are remembered for the next session.
const MAX_RECENT: usize = 4_096;

/// Times that a total is sent after a change, as any datagram may be lost.
const SENDS_PER_CHANGE: u8 = 3;

/// Most unchanged totals that a report repeats.
const MAX_REPEATS: usize = 1;

/// Least time before an unchanged total is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Approximate bytes of all lines of a report.
const REPORT_LINES_BYTES: usize = 1_000;

/// Most bytes of a line without the names.
const LINE_OVERHEAD_BYTES: usize = 24;

/// Counts the requests that arrive at a host, and reports them to the holder of the planner's
/// lease.
#[derive(Debug)]
pub struct Reporter {
    run: host::Incarnation,
    fence: Option<Fence>,
    totals: BTreeMap<(Subject, Span), Total>,
    /// Arrivals of the last 15 s, at most [`MAX_RECENT`], the oldest first.
    recent: VecDeque<Arrival>,
}

#[derive(Debug)]
struct Total {
    work: Work,
    /// Mean arrival time; only for arrivals before the session.
    at: Option<Moment>,
    /// When the total last changed or was last sent.
    touched_at: Moment,
    /// Times that the total was sent since its last change.
    sends: u8,
}

impl Reporter {
    /// Starts without arrivals, in this run of the host's process.
    pub fn new(run: host::Incarnation) -> Reporter {
        Reporter { run, fence: None, totals: BTreeMap::new(), recent: VecDeque::new() }
    }

    /// Counts a request that arrived.
    pub fn arrive(&mut self, subject: Subject, work: Work, now: Moment) {
        if self.fence.is_some() {
            let total = self.totals.entry((subject.clone(), Span::Session));
            let total = total.or_insert_with(|| Total::new(now));
            total.work = total.work.plus(work);
            // An unsent total keeps its position in the queue, however often it rises.
            total.touched_at = if total.sends == 0 { total.touched_at } else { now };
            total.sends = 0;
        }
        self.recent.push_back(Arrival { subject, work, at: now });
        let is_old = |first: &Arrival| first.at + SPAN_ENDS[SPAN_ENDS.len() - 1] < now;
        while self.recent.len() > MAX_RECENT || self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
    }

    /// Starts a session with the holder of this fencing token. Does nothing if this token or a
    /// higher one is known.
    pub fn begin(&mut self, fence: Fence, now: Moment) {
        if self.fence.is_some_and(|known| fence <= known) {
            return;
        }
        self.fence = Some(fence);
        self.totals.clear();
        let mut ages: BTreeMap<(Subject, Span), f64> = BTreeMap::new();
        for arrival in &self.recent {
            let age = now.saturating_sub(arrival.at);
            let Some(span) = SPAN_ENDS.iter().position(|end| age <= *end) else { continue };
            let key = (arrival.subject.clone(), Span::Before(span as u8));
            let total = self.totals.entry(key.clone()).or_insert_with(|| Total::new(now));
            total.work = total.work.plus(arrival.work);
            *ages.entry(key).or_default() += age.as_secs_f64() * f64::from(arrival.work.requests);
        }
        for (key, total) in &mut self.totals {
            let age = ages.get(key).map_or(0.0, |age| age / f64::from(total.work.requests.max(1)));
            total.at = Some(now.saturating_sub(Duration::from_secs_f64(age)));
        }
    }

    /// Returns the next report; none if nothing is due or no holder is known. To be called again
    /// while [`Reporter::has_unsent`] holds.
    pub fn report(&mut self, now: Moment) -> Option<Report> {
        let fence = self.fence?;
        let is_due = |total: &Total| {
            total.sends == 0
                || total.sends < SENDS_PER_CHANGE && total.touched_at + REPEAT_INTERVAL <= now
        };
        let mut due: Vec<_> = self.totals.iter_mut().filter(|(_, one)| is_due(one)).collect();
        due.sort_by_key(|((_, span), total)| (total.sends, *span, total.touched_at));
        let (mut room, mut repeats) = (REPORT_LINES_BYTES, MAX_REPEATS);
        let mut lines = Vec::new();
        for ((subject, span), total) in due {
            if 0 < total.sends {
                if repeats == 0 {
                    break;
                }
                repeats -= 1;
            }
            let size = LINE_OVERHEAD_BYTES
                + subject.model.len()
                + subject.adapter.as_ref().map_or(0, |a| a.len());
            if room < size && !lines.is_empty() {
                break;
            }
            room = room.saturating_sub(size);
            lines.push(total.line(subject, *span, now));
            total.sends += 1;
            total.touched_at = now;
        }
        (!lines.is_empty()).then_some(Report { run: self.run, fence, lines })
    }

    /// Whether a total has changed since it was last sent.
    pub fn has_unsent(&self) -> bool {
        self.totals.values().any(|total| total.sends == 0)
    }
}

impl Total {
    fn new(now: Moment) -> Total {
        Total { work: Work::default(), at: None, touched_at: now, sends: 0 }
    }

    fn line(&self, subject: &Subject, span: Span, now: Moment) -> Line {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let age_ms = u16::try_from(age.as_millis()).unwrap_or(u16::MAX);
        Line { subject: subject.clone(), span, age_ms, total: self.work }
    }
}
