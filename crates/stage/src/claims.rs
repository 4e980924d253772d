//! Claims of idempotency keys on this host: one [`once::Range`] for each range of keys in use.
//!
//! Filters claim keys and report outcomes here; `duties::once` makes the object API calls.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard},
    time::{SystemTime, UNIX_EPOCH},
};

use policy::once::{
    self, Answer, Call, Change, Claim, HostRun, Now, Range, Read, Verdict, Written,
};
use tokio::sync::{Notify, oneshot};
use types::prelude::*;

/// Claims of idempotency keys on this host, shared by filters and the background duty.
pub struct Claims {
    me: HostRun,
    settings: Arc<once::Settings>,
    inner: Mutex<Inner>,
    wake: Notify,
}

#[derive(Default)]
struct Inner {
    ranges: BTreeMap<once::Number, Range>,
    waiting: HashMap<request::Id, oneshot::Sender<Verdict>>,
}

/// An object API call that a range needs next.
#[derive(Debug)]
pub struct PendingCall {
    /// Range whose object is read or written.
    pub range: once::Number,
    /// Read or write to make.
    pub call: Call,
}

impl Claims {
    /// Creates an empty set of claims for this run of the host.
    pub fn new(me: HostRun, settings: once::Settings) -> Claims {
        Claims { me, settings: Arc::new(settings), inner: Mutex::default(), wake: Notify::new() }
    }

    /// Returns the host run under which keys are claimed.
    pub fn me(&self) -> &HostRun {
        &self.me
    }

    /// Claims a key and waits for the verdict; `None` if the sender of the verdict is dropped.
    ///
    /// Dropping the future doesn't withdraw the claim: a grant that is decided later is released.
    pub async fn claim(&self, claim: Claim) -> Option<Verdict> {
        let (reply, verdict) = oneshot::channel();
        {
            let mut inner = self.inner();
            inner.waiting.insert(claim.id.clone(), reply);
            self.range(&mut inner, claim.key.key).claim(claim);
        }
        self.wake.notify_one();
        verdict.await.ok()
    }

    /// Reports how the request of a granted claim ended.
    pub fn end(&self, moment: Moment, change: Change) {
        let mut inner = self.inner();
        self.range(&mut inner, change.key).end(now(moment), change);
        drop(inner);
        self.wake.notify_one();
    }

    /// Decides pending claims; returns the calls to make and when to call `step` again.
    pub fn step(&self, moment: Moment) -> (Vec<PendingCall>, Option<Moment>) {
        let now = now(moment);
        let mut inner = self.inner();
        let mut answers = Vec::new();
        let mut calls = Vec::new();
        for (number, range) in &mut inner.ranges {
            let step = range.step(now);
            answers.extend(step.answers);
            calls.extend(step.call.map(|call| PendingCall { range: *number, call }));
        }
        self.deliver(&mut inner, now, answers);
        let due = inner.ranges.values().filter_map(Range::due).min();
        (calls, due)
    }

    /// Applies the outcome of a read.
    pub fn read(&self, moment: Moment, range: once::Number, read: Read) {
        self.apply(moment, range, |range, now| range.read(now, read));
    }

    /// Applies the outcome of a write.
    pub fn wrote(&self, moment: Moment, range: once::Number, written: Written) {
        self.apply(moment, range, |range, now| range.wrote(now, written));
    }

    /// Waits until a claim is made or an outcome is reported.
    pub async fn changed(&self) {
        self.wake.notified().await;
    }

    /// Whether all reported outcomes are written.
    pub fn is_flushed(&self) -> bool {
        !self.inner().ranges.values().any(Range::is_busy)
    }

    fn apply(
        &self,
        moment: Moment,
        range: once::Number,
        update: impl FnOnce(&mut Range, Now) -> Vec<Answer>,
    ) {
        let now = now(moment);
        let mut inner = self.inner();
        let Some(range) = inner.ranges.get_mut(&range) else { return };
        let answers = update(range, now);
        self.deliver(&mut inner, now, answers);
    }

    /// Sends verdicts to the waiting callers. Releases a grant whose caller is gone: its request
    /// was not dispatched and never will be.
    fn deliver(&self, inner: &mut Inner, now: Now, answers: Vec<Answer>) {
        for Answer { id, key, verdict } in answers {
            let Some(reply) = inner.waiting.remove(&id) else { continue };
            let is_undelivered_grant =
                reply.send(verdict).is_err_and(|v| matches!(v, Verdict::Granted { .. }));
            if is_undelivered_grant {
                let change = Change { id, key, end: once::End::Released };
                self.range(inner, key).end(now, change);
            }
        }
    }

    fn range<'a>(&self, inner: &'a mut Inner, key: once::Key) -> &'a mut Range {
        let number = key.range(self.settings.ranges);
        inner
            .ranges
            .entry(number)
            .or_insert_with(|| Range::new(self.me.clone(), self.settings.clone()))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Returns both clocks. The wall clock is read here, after the caller has read `moment`.
fn now(moment: Moment) -> Now {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Now { wall: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX), moment }
}
