//! Hedged watches: one that may be deaf gets another asked beside it.
//!
//! A watch that the store has forgotten looks like one that waits for a change, until its time
//! limit, which is far beyond the time in which changes must be known. So it is asked once more, on a
//! connection of its own, as soon as there is a reason to doubt it. The older one stays: a store
//! that is merely slow still answers it, and giving it up again and again would mean that no
//! answer ever comes.

use std::{pin::Pin, time::Duration};

use policy::follow::Watch;
use tokio::{select, sync::watch::Receiver, time::Instant};

use crate::{
    connect::Connection,
    edge::{Kind, Revision, Told},
    host::Shared,
};

type Asked<'a> = Pin<Box<dyn Future<Output = (Told, Option<Connection>)> + Send + 'a>>;

/// The watches of one kind: the oldest that is under way, up to its limit, and the newest.
pub(super) struct Hedge<'a> {
    shared: &'a Shared,
    kind: Kind,
    /// Outages of the store that have ended.
    outages: Receiver<u64>,
    /// The connection of the last answer.
    kept: Option<Connection>,
}

impl<'a> Hedge<'a> {
    pub(super) fn new(shared: &'a Shared, kind: Kind) -> Hedge<'a> {
        Hedge { shared, kind, outages: shared.store.outages(), kept: None }
    }

    /// The first answer to a watch from this revision, or how the last one under way failed.
    pub(super) async fn next(&mut self, since: Revision, watch: Watch) -> Told {
        let mut oldest = self.ask(since, watch.wait);
        let mut newest: Option<Asked<'a>> = None;
        let mut trusted = Instant::now() + watch.trust;
        loop {
            let (told, connection) = select! {
                done = &mut oldest => match newest.take() {
                    Some(other) if !is_answer(&done.0) => {
                        self.failed(&done.0);
                        oldest = other;
                        continue;
                    }
                    _ => done,
                },
                Some(done) = poll(&mut newest) => {
                    newest = None;
                    if !is_answer(&done.0) {
                        self.failed(&done.0);
                        continue;
                    }
                    done
                }
                // What was asked before the outage's end may have been lost in it.
                _ = self.outages.changed() => {
                    newest = Some(self.ask(since, watch.wait));
                    trusted = Instant::now() + watch.trust;
                    continue;
                }
                () = tokio::time::sleep_until(trusted) => {
                    self.shared.store.doubt(self.kind, watch.trust);
                    newest = Some(self.ask(since, watch.wait));
                    trusted = Instant::now() + watch.trust;
                    continue;
                }
            };
            if !is_answer(&told) {
                self.failed(&told);
            }
            self.kept = connection;
            return told;
        }
    }

    fn ask(&mut self, since: Revision, wait: Duration) -> Asked<'a> {
        self.outages.mark_unchanged();
        Box::pin(self.shared.store.watch(self.kept.take(), self.kind, since, wait))
    }

    fn failed(&self, told: &Told) {
        log::debug!(told:? = told; "a watch failed");
        self.shared.store_failed();
    }
}

fn is_answer(told: &Told) -> bool {
    matches!(told, Told::Seen(_) | Told::Compacted)
}

async fn poll(asked: &mut Option<Asked<'_>>) -> Option<(Told, Option<Connection>)> {
    match asked {
        Some(asked) => Some(asked.await),
        None => None,
    }
}
