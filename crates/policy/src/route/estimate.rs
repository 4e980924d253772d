//! Load of one server as this host sees it, and the first-token time that follows from it.
//!
//! A report shows the load at an earlier time. Requests that this host sent since the report was
//! taken are added, requests that ended since are subtracted, and the prompt backlog is drained at
//! the reported rate, so that a burst between two reports is not all sent to one server. The
//! requests of peers in flight are known only as a count; where those of this host and its peers
//! together exceed the reported figure, the larger one counts.

use std::collections::VecDeque;

use types::{prelude::*, report::Load};

/// Inverse of the weight of the newest sample in the moving average of the time that a request
/// holds a slot.
const HOLD_TIME_WEIGHT: u32 = 8;

/// One request for this many slots may wait on the server, so that slots that become free between
/// two reports do not stay empty.
const SLOTS_PER_QUEUED_REQUEST: u32 = 8;

/// Time for which a request is assumed to hold a slot before any request has ended.
const INITIAL_HOLD_TIME: Duration = Duration::from_millis(500);

/// Estimated time to the first token, by parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Wait for a slot in the batch.
    pub queue: Duration,
    /// Prefill of the prompts that are ahead and of the request's own.
    pub prefill: Duration,
    /// Decode step that gives the first token.
    pub step: Duration,
}

impl Estimate {
    /// Sum of the parts: the time on the server, without the network.
    pub fn total(&self) -> Duration {
        self.queue + self.prefill + self.step
    }
}

/// Request sent to a server; passed to [`View::ended`] when the request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// When the request was sent.
    pub at: Moment,
    /// Prompt tokens that the server has to prefill.
    pub tokens: u32,
}

/// Load that other hosts put on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Number of requests in flight.
    pub requests: u32,
}

/// Figures of a load report that estimates use.
#[derive(Clone, Copy, Debug)]
struct Report {
    taken: Moment,
    in_flight: u32,
    slots: u32,
    step: Duration,
    prefill_rate: u32,
    prompt_backlog: u64,
}

impl Report {
    /// Figures assumed of a server before its first report.
    const UNKNOWN: Report = Report {
        taken: Duration::ZERO,
        in_flight: 0,
        slots: 8,
        step: Duration::from_millis(10),
        prefill_rate: 512,
        prompt_backlog: 0,
    };
}

/// Load of one server as this host sees it.
#[derive(Clone, Debug)]
pub struct View {
    report: Report,
    sent: VecDeque<Sent>,
    ended: VecDeque<Moment>,
    own_in_flight: u32,
    /// Sum of the moments at which this host's requests in flight were sent.
    own_sent_sum: Duration,
    peers: PeerLoad,
    backlog: u64,
    backlog_at: Moment,
    hold: Duration,
}

impl Default for View {
    fn default() -> View {
        View {
            report: Report::UNKNOWN,
            sent: VecDeque::new(),
            ended: VecDeque::new(),
            own_in_flight: 0,
            own_sent_sum: Duration::ZERO,
            peers: PeerLoad::default(),
            backlog: 0,
            backlog_at: Duration::ZERO,
            hold: INITIAL_HOLD_TIME,
        }
    }
}

impl View {
    /// Applies a report that was read at `now`. One that is older than the last is ignored.
    pub fn report(&mut self, load: &Load, now: Moment) {
        let taken = now.saturating_sub(load.age);
        if taken < self.report.taken {
            return;
        }
        self.report = Report {
            taken,
            in_flight: load.running.saturating_add(load.waiting),
            slots: load.slots.max(1),
            step: load.step,
            prefill_rate: load.prefill_rate,
            prompt_backlog: load.prompt_backlog,
        };
        self.sent.retain(|sent| taken < sent.at);
        self.ended.retain(|ended| taken < *ended);
        self.backlog = load.prompt_backlog;
        self.backlog_at = taken;
        for sent in std::mem::take(&mut self.sent) {
            self.add_backlog(sent);
            self.sent.push_back(sent);
        }
    }

    /// Records a request that was sent, with the number of prompt tokens to prefill.
    pub fn sent(&mut self, tokens: u32, now: Moment) -> Sent {
        let sent = Sent { at: now, tokens };
        self.add_backlog(sent);
        self.sent.push_back(sent);
        self.own_in_flight += 1;
        self.own_sent_sum += sent.at;
        sent
    }

    /// Records the end of a request, whatever its outcome.
    pub fn ended(&mut self, sent: Sent, now: Moment) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.own_sent_sum = self.own_sent_sum.saturating_sub(sent.at);
        self.hold = moving_average(self.hold, now.saturating_sub(sent.at));
        match self.sent.iter().position(|other| *other == sent) {
            Some(at) => {
                self.sent.remove(at);
                self.cap_backlog(now);
            }
            None if self.ended.len() < self.report.in_flight as usize => {
                self.ended.push_back(now);
            }
            None => {}
        }
    }

    /// Sets the load by all other hosts together.
    pub fn set_peer_load(&mut self, load: PeerLoad) {
        self.peers = load;
    }

    /// Load by all other hosts together, as last set.
    pub fn peer_load(&self) -> PeerLoad {
        self.peers
    }

    /// Number of requests of this host in flight on the server.
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Mean time for which a request holds a slot: of the requests that ended, or the mean age of
    /// those in flight once that is greater, as when a server hangs or answers are long.
    pub fn hold(&self, now: Moment) -> Duration {
        if self.own_in_flight == 0 {
            return self.hold;
        }
        self.hold.max(now.saturating_sub(self.own_sent_sum / self.own_in_flight))
    }

    /// Estimated number of requests of all hosts on the server.
    pub fn in_flight(&self) -> u32 {
        let reported = self
            .report
            .in_flight
            .saturating_add(self.sent.len() as u32)
            .saturating_sub(self.ended.len() as u32);
        reported.max(self.own_in_flight.saturating_add(self.peers.requests))
    }

    /// Number of requests that may still be sent before the server's own queue exceeds one request
    /// for [`SLOTS_PER_QUEUED_REQUEST`] slots. A request that waits on the server can no longer be
    /// refused, nor be overtaken by a request with higher priority on another host.
    pub fn spare(&self) -> u32 {
        let slots = self.report.slots;
        (slots + slots.div_ceil(SLOTS_PER_QUEUED_REQUEST)).saturating_sub(self.in_flight())
    }

    /// Estimates the first-token time at `now` for a request with this many prompt tokens to
    /// prefill.
    pub fn estimate(&self, tokens: u32, now: Moment) -> Estimate {
        let over = (self.in_flight() + 1).saturating_sub(self.report.slots);
        let step = self.report.step;
        let steps = match self.report.prefill_rate {
            0 => 0,
            rate => (self.backlog_at(now) + u64::from(tokens)).div_ceil(u64::from(rate)),
        };
        Estimate {
            queue: self.hold(now) * over / self.report.slots,
            prefill: step.saturating_mul(u32::try_from(steps).unwrap_or(u32::MAX)),
            step,
        }
    }

    /// Estimates the first-token time on an otherwise idle server for a request with this many
    /// prompt tokens.
    pub fn unloaded(&self, tokens: u32) -> Duration {
        let steps = tokens.checked_div(self.report.prefill_rate).map_or(0, |steps| steps + 1);
        self.report.step.saturating_mul(steps + 1)
    }

    fn add_backlog(&mut self, sent: Sent) {
        self.backlog = self.backlog_at(sent.at) + u64::from(sent.tokens);
        self.backlog_at = sent.at;
    }

    /// Caps the prompt backlog at the tokens that were reported, or sent since and not ended.
    fn cap_backlog(&mut self, now: Moment) {
        let sent: u64 = self.sent.iter().map(|sent| u64::from(sent.tokens)).sum();
        self.backlog = self.backlog_at(now).min(self.report.prompt_backlog + sent);
        self.backlog_at = now;
    }

    /// Returns the prompt backlog at a later moment, drained at the reported rate.
    fn backlog_at(&self, now: Moment) -> u64 {
        if self.backlog == 0 {
            return 0;
        }
        let micros = self.report.step.as_micros().max(1) as u64;
        let passed = now.saturating_sub(self.backlog_at).as_micros() as u64;
        let prefilled = (passed / micros).saturating_mul(u64::from(self.report.prefill_rate));
        self.backlog.saturating_sub(prefilled)
    }
}

fn moving_average(before: Duration, sample: Duration) -> Duration {
    (before * (HOLD_TIME_WEIGHT - 1) + sample) / HOLD_TIME_WEIGHT
}
