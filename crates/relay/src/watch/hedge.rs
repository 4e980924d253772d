//! Hedged watches: a watch that may be stalled is duplicated.
//!
//! A watch that the store has lost looks like one that waits for a change, until its timeout, which
//! is far longer than the time in which changes must be known. A second watch is therefore started
//! on a connection of its own as soon as there is a reason to suspect that the first has stalled.
//! The first one is kept: a store that is merely slow still responds to it, and if watches were
//! cancelled again and again, no response would ever arrive.
//!
//! Without hedging, the watches of all hosts stayed stalled for up to 5 s after a store that had
//! not responded for a time recovered: in four soak tests of 60 s with one such outage, 2, 16, 32
//! and 0 requests were handled by an outdated declaration; with hedging, none were.

use std::{pin::Pin, time::Duration};

use policy::follow::{SHORTEST_WAIT, WatchTimes};
use tokio::{
    select,
    sync::watch::Receiver,
    time::{Instant, sleep_until},
};
use types::time::Moment;

use crate::{
    connect::Connection,
    edge::{ObjectKind, Revision, StoreReply},
    host::Shared,
};

type Watch<'a> = Pin<Box<dyn Future<Output = (StoreReply, Option<Connection>)> + Send + 'a>>;

/// When a watch was sent, and how long it waits for a change.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent {
    pub(super) at: Moment,
    pub(super) wait: Duration,
}

/// A watch in flight.
struct Pending<'a> {
    sent: Sent,
    watch: Watch<'a>,
}

/// Why a watch may have stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The store responds again after an outage, in which earlier watches may have been lost.
    Outage,
    /// The watch has had no response for too long.
    Silence,
}

/// The watches of one kind of objects. At most two are in flight: the oldest, which runs until its
/// timeout, and the newest.
pub(super) struct Hedge<'a> {
    shared: &'a Shared,
    kind: ObjectKind,
    /// Number of ended outages of the store; changes when one ends.
    outages: Receiver<u64>,
    /// The connection of the last response, for reuse.
    idle: Option<Connection>,
}

impl<'a> Hedge<'a> {
    pub(super) fn new(shared: &'a Shared, kind: ObjectKind) -> Hedge<'a> {
        Hedge { shared, kind, outages: shared.store.outages(), idle: None }
    }

    /// Returns the first response to a watch from this revision, or the failure of the last watch
    /// in flight, and when that watch was sent.
    ///
    /// A watch that may have stalled counts as a failure of the store, during which entries of
    /// healthy servers may have expired.
    pub(super) async fn next(&mut self, since: Revision, watch: WatchTimes) -> (StoreReply, Sent) {
        let mut oldest = self.start(since, watch.wait);
        let mut newest: Option<Pending<'a>> = None;
        let mut trusted_until = Instant::now() + watch.trust;
        loop {
            // After a time in which this host did not run, answers are read before a watch is suspected.
            select! {
                biased;
                (reply, connection) = &mut oldest.watch => match newest.take() {
                    Some(other) if !is_answer(&reply) => {
                        self.log_failure(&reply);
                        oldest = other;
                    }
                    _ => return (self.finish(reply, connection), oldest.sent),
                },
                Some((reply, connection, sent)) = response(&mut newest) => {
                    if is_answer(&reply) {
                        return (self.finish(reply, connection), sent);
                    }
                    self.log_failure(&reply);
                    newest = None;
                }
                cause = self.suspicion(trusted_until) => {
                    if cause == Cause::Silence {
                        self.shared.store.report_silent_watch(self.kind, watch.trust);
                    }
                    self.shared.store.record_failure();
                    newest = Some(self.start(since, self.hedge_wait(watch)));
                    trusted_until = Instant::now() + watch.trust;
                }
            }
        }
    }

    /// Completes with the first reason to suspect that the watches in flight have stalled.
    async fn suspicion(&mut self, trusted_until: Instant) -> Cause {
        select! {
            _ = self.outages.changed() => Cause::Outage,
            () = sleep_until(trusted_until) => Cause::Silence,
        }
    }

    fn finish(&mut self, reply: StoreReply, connection: Option<Connection>) -> StoreReply {
        if !is_answer(&reply) {
            self.log_failure(&reply);
        }
        self.idle = connection;
        reply
    }

    /// Returns how long a second watch waits for a change. One of the servers returns at once, as the
    /// age of what this host knows is used up by the first one.
    fn hedge_wait(&self, watch: WatchTimes) -> Duration {
        match self.kind {
            ObjectKind::Server => SHORTEST_WAIT,
            _ => watch.wait,
        }
    }

    fn start(&mut self, since: Revision, wait: Duration) -> Pending<'a> {
        self.outages.mark_unchanged();
        let sent = Sent { at: self.shared.now(), wait };
        let watch = self.shared.store.watch(self.idle.take(), self.kind, since, wait);
        Pending { sent, watch: Box::pin(watch) }
    }

    fn log_failure(&self, reply: &StoreReply) {
        log::debug!(told:? = reply; "a watch failed");
    }
}

fn is_answer(reply: &StoreReply) -> bool {
    matches!(reply, StoreReply::Seen(_) | StoreReply::Compacted)
}

/// Waits for a watch's response, and returns it with when the watch was sent; returns `None` at once
/// if there is no watch.
async fn response(
    pending: &mut Option<Pending<'_>>,
) -> Option<(StoreReply, Option<Connection>, Sent)> {
    let pending = pending.as_mut()?;
    let (reply, connection) = (&mut pending.watch).await;
    Some((reply, connection, pending.sent))
}
