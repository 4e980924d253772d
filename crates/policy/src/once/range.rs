//! One host's view of one range of keys: claims go in, calls of the object API come out.
//!
//! At most one call is in flight. Claims that arrive meanwhile go into the next write. A write
//! whose answer is lost is followed by a read: an entry with the claim's own id shows that the
//! write took effect. A call that times out may still take effect later; the conditional write
//! keeps it from undoing anything, and an entry of this host that was never granted counts as free.

mod build;
mod memory;
mod timeout;

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::Arc,
    time::Duration,
};

use types::{request, time::Moment};

use super::{
    Answer, Change, Claim, Document, End, Entry, HostRun, Key, Now, Refusal, Settings, State,
    Verdict,
};

/// Version of an object in the object API.
pub type Version = u64;

/// Longest pause after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Call of the object API on the object of the range.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Reads the object.
    Read,
    /// Creates the object, which must not exist.
    Create(Document),
    /// Writes the object if it still has this version.
    Update(Version, Document),
}

/// Outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Read {
    /// Object with its version.
    Found(Version, Document),
    /// The object does not exist.
    Absent,
    /// No answer, or a temporary refusal.
    Failed,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Written {
    /// The write took effect; the object has this version now.
    Done(Version),
    /// The write took no effect: the object has another version.
    Conflict,
    /// The write may have taken effect, or may still do so.
    Failed,
}

/// Answers of a [`Range::step`], and the call to make next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Step {
    /// Answers to the claims that were decided.
    pub answers: Vec<Answer>,
    /// Call to make; its outcome is passed to [`Range::read`] or [`Range::wrote`].
    pub call: Option<Call>,
}

/// One host's view of one range of keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Range {
    me: HostRun,
    settings: Arc<Settings>,
    known: Option<Known>,
    in_flight: Option<InFlight>,
    waiting: Vec<Waiting>,
    /// Number of claims that have arrived so far.
    claim_count: u64,
    changes: Vec<Change>,
    /// Start of the time [`Settings::settle`] after which changes are written even without a claim:
    /// set by the first unwritten change, by a renewal of the right to grant from memory, or by the
    /// end of a write that did not contain all changes.
    changed_at: Option<Moment>,
    /// Granted claims of this host whose end has not been reported.
    granted: BTreeSet<request::Id>,
    /// Waiting claims whose write may have taken effect, or may still do so.
    unconfirmed: BTreeSet<request::Id>,
    /// Entries that were granted while the object API was down.
    memory_grants: BTreeMap<Key, Entry>,
    /// When the right to grant from memory ends.
    hold_until: Option<Moment>,
    /// Runs of hosts' processes that ended for good.
    gone: BTreeSet<HostRun>,
    leaving: bool,
    failures: u32,
    next_call_at: Moment,
}

/// Object as last read or written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Known {
    version: Option<Version>,
    document: Document,
    /// Number of claims that had arrived when the call was made that showed this state.
    claim_count: u64,
    /// Whether a later write may have changed the object.
    stale: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum InFlight {
    Read { claim_count: u64 },
    Write { sent: Moment, claim_count: u64, document: Document, changes: usize },
}

/// Claim that waits, with its number in order of arrival.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    number: u64,
    claim: Claim,
}

impl Known {
    /// Whether this is the object as of the claim's arrival or later.
    fn covers(&self, waiting: &Waiting) -> bool {
        waiting.number <= self.claim_count
    }
}

impl Range {
    /// Returns a range whose object has not been read.
    pub fn new(me: HostRun, settings: Arc<Settings>) -> Range {
        Range {
            me,
            settings,
            known: None,
            in_flight: None,
            waiting: Vec::new(),
            claim_count: 0,
            changes: Vec::new(),
            changed_at: None,
            granted: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            memory_grants: BTreeMap::new(),
            hold_until: None,
            gone: BTreeSet::new(),
            leaving: false,
            failures: 0,
            next_call_at: Moment::ZERO,
        }
    }

    /// Adds a claim; its answer is returned by a later [`Range::step`], [`Range::read`] or
    /// [`Range::wrote`].
    pub fn claim(&mut self, claim: Claim) {
        self.claim_count += 1;
        self.waiting.push(Waiting { number: self.claim_count, claim });
    }

    /// Reports the end of a granted claim; must be called on the host that claimed the key.
    pub fn end(&mut self, now: Now, change: Change) {
        self.granted.remove(&change.id);
        change.apply(&mut self.memory_grants);
        let since = match change.end {
            // The caller may send the request again at once.
            End::Released => now.moment.saturating_sub(self.settings.settle),
            End::Ran(_) | End::Lost => now.moment,
        };
        self.changed_at = Some(self.changed_at.map_or(since, |changed_at| changed_at.min(since)));
        self.changes.push(change);
    }

    /// Records that a run of a host's process ended for good.
    pub fn gone(&mut self, run: HostRun) {
        self.gone.insert(run);
    }

    /// Renews the right to grant from memory, as any write does.
    pub fn renew(&mut self, now: Now) {
        self.changed_at.get_or_insert(now.moment);
    }

    /// Gives up the right to grant from memory, for a planned stop.
    pub fn leave(&mut self, now: Now) {
        self.leaving = true;
        self.hold_until = None;
        self.changed_at.get_or_insert(now.moment);
    }

    /// Whether a change or claim waits to be written or answered, or a call is in flight.
    pub fn is_busy(&self) -> bool {
        self.in_flight.is_some() || !self.waiting.is_empty() || self.changed_at.is_some()
    }

    /// Returns when the next [`Range::step`] may have something to do, unless something is reported
    /// before.
    pub fn due(&self) -> Option<Moment> {
        let timeout =
            self.waiting.iter().map(|w| w.claim.made_at + self.settings.claim_timeout).min();
        let call = match (&self.in_flight, self.waiting.is_empty(), self.changed_at) {
            (Some(_), _, _) | (None, true, None) => None,
            (None, false, _) => Some(self.next_call_at),
            (None, true, Some(at)) => Some(self.next_call_at.max(at + self.settings.settle)),
        };
        timeout.into_iter().chain(call).min()
    }

    /// Decides the claims that can be decided and returns the next call.
    pub fn step(&mut self, now: Now) -> Step {
        let mut answers = match self.failures {
            0 => Vec::new(),
            _ => self.grant_from_memory(now),
        };
        answers.extend(self.expire_claims(now));
        let may_call = self.in_flight.is_none() && self.next_call_at <= now.moment;
        let call = if may_call { self.next_call(now, &mut answers) } else { None };
        Step { answers, call }
    }

    /// Processes the outcome of a read. Ignored if no read is in flight.
    pub fn read(&mut self, now: Now, read: Read) -> Vec<Answer> {
        let Some(InFlight::Read { claim_count }) = self.in_flight.take() else { return Vec::new() };
        let (version, document) = match read {
            Read::Found(version, document) => (Some(version), document),
            Read::Absent => (None, Document::default()),
            Read::Failed => return self.failed(now),
        };
        if document.hold.as_ref().is_none_or(|hold| hold.holder != self.me) {
            self.hold_until = None;
        }
        self.failures = 0;
        self.known = Some(Known { version, document, claim_count, stale: false });
        self.grant_written(now)
    }

    /// Processes the outcome of a write. Ignored if no write is in flight.
    pub fn wrote(&mut self, now: Now, written: Written) -> Vec<Answer> {
        let Some(InFlight::Write { sent, claim_count, document, changes }) = self.in_flight.take()
        else {
            return Vec::new();
        };
        match written {
            Written::Done(version) => {
                self.failures = 0;
                self.next_call_at = sent + self.settings.window;
                self.forget_changes(now, changes);
                self.memory_grants.retain(|key, _| !document.entries.contains_key(key));
                self.hold_until = document.hold.is_some().then_some(sent + self.settings.hold);
                self.known =
                    Some(Known { version: Some(version), document, claim_count, stale: false });
                self.grant_written(now)
            }
            Written::Conflict => {
                self.mark_stale();
                Vec::new()
            }
            Written::Failed => {
                self.mark_stale();
                self.mark_unconfirmed(&document);
                self.failed(now)
            }
        }
    }

    fn next_call(&mut self, now: Now, answers: &mut Vec<Answer>) -> Option<Call> {
        let settling = self.changed_at.is_some_and(|at| at + self.settings.settle <= now.moment);
        if self.waiting.is_empty() && !settling {
            return None;
        }
        let known = self.known.as_ref().filter(|known| !known.stale && !self.needs_read(known));
        let Some(known) = known else {
            return Some(self.start_read());
        };
        let mut decided = Vec::new();
        let document = self.build(now, &known.document, &mut decided);
        if self.needs_newer_read(known, &decided) {
            return Some(self.start_read());
        }
        let version = known.version;
        let changes = self.changes.len();
        let other_holder = known.document.hold.as_ref().is_some_and(|hold| hold.holder != self.me);
        self.forget_answered(&decided);
        answers.append(&mut decided);
        let idle = self.waiting.is_empty() && !settling && !other_holder;
        if idle {
            return None;
        }
        self.in_flight = Some(InFlight::Write {
            sent: now.moment,
            claim_count: self.claim_count,
            document: document.clone(),
            changes,
        });
        Some(match version {
            Some(version) => Call::Update(version, document),
            None => Call::Create(document),
        })
    }

    fn start_read(&mut self) -> Call {
        self.in_flight = Some(InFlight::Read { claim_count: self.claim_count });
        Call::Read
    }

    /// Whether another host has claimed the key of a waiting claim, by a claim that may have ended
    /// since the last read.
    fn needs_read(&self, known: &Known) -> bool {
        self.waiting.iter().filter(|waiting| !known.covers(waiting)).any(|waiting| {
            let entry = known.document.entries.get(&waiting.claim.key.key);
            entry.is_some_and(|e| e.state == State::Claimed && e.claimant != self.me)
        })
    }

    /// Whether a decision of "did not run" rests on a read that is older than the request.
    fn needs_newer_read(&self, known: &Known, decided: &[Answer]) -> bool {
        self.waiting.iter().filter(|waiting| !known.covers(waiting)).any(|waiting| {
            decided
                .iter()
                .filter(|answer| answer.id == waiting.claim.id)
                .any(|answer| matches!(answer.verdict, Verdict::Refused(r) if r.needs_fresh_read()))
        })
    }

    /// Grants the waiting claims that the object shows as made. A claim whose grant could not be
    /// used any more is left to time out.
    fn grant_written(&mut self, now: Now) -> Vec<Answer> {
        let Some(known) = &self.known else { return Vec::new() };
        let grant = self.settings.grant;
        let mut granted = Vec::new();
        for waiting in mem::take(&mut self.waiting) {
            match known.document.is_claimed_by(&waiting.claim) {
                true if now.moment < waiting.claim.made_at + grant => granted.push(waiting.claim),
                true => {
                    self.unconfirmed.insert(waiting.claim.id.clone());
                    self.waiting.push(waiting);
                }
                false => self.waiting.push(waiting),
            }
        }
        granted.into_iter().map(|claim| self.grant(claim)).collect()
    }

    fn grant(&mut self, claim: Claim) -> Answer {
        let until = claim.made_at + self.settings.grant;
        self.unconfirmed.remove(&claim.id);
        self.granted.insert(claim.id.clone());
        Answer { id: claim.id, key: claim.key.key, verdict: Verdict::Granted { until } }
    }

    fn failed(&mut self, now: Now) -> Vec<Answer> {
        let backoff = self.settings.window.saturating_mul(1 << self.failures.min(10));
        self.failures = self.failures.saturating_add(1);
        self.next_call_at = now.moment + backoff.min(MAX_BACKOFF);
        self.grant_from_memory(now)
    }

    fn mark_stale(&mut self) {
        if let Some(known) = &mut self.known {
            known.stale = true;
        }
    }

    fn forget_changes(&mut self, now: Now, written: usize) {
        self.changes.drain(..written);
        self.changed_at = (!self.changes.is_empty()).then_some(now.moment);
    }

    fn forget_answered(&mut self, answers: &[Answer]) {
        self.waiting.retain(|waiting| answers.iter().all(|answer| answer.id != waiting.claim.id));
    }
}

fn entry(claim: &Claim, now: Now) -> Entry {
    Entry {
        id: claim.id.clone(),
        digest: claim.digest,
        claimant: claim.claimant.clone(),
        at: now.wall,
        state: State::Claimed,
    }
}

fn answer(claim: &Claim, verdict: Verdict) -> Answer {
    Answer { id: claim.id.clone(), key: claim.key.key, verdict }
}

fn refuse(claim: &Claim, refusal: Refusal) -> Answer {
    answer(claim, Verdict::Refused(refusal))
}

impl Change {
    /// Applies the end of a claim, if the key still belongs to that claim.
    fn apply(&self, entries: &mut BTreeMap<Key, Entry>) {
        let Some(entry) = entries.get_mut(&self.key) else { return };
        if entry.id != self.id {
            return;
        }
        match &self.end {
            End::Ran(outcome) => entry.state = State::Done(outcome.clone()),
            End::Lost => entry.state = State::Lost,
            End::Released => {
                entries.remove(&self.key);
            }
        }
    }
}
