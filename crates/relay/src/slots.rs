//! Slots of servers: messages between hosts, and metrics.

use std::sync::Arc;

use exchange::fleet::Notice;
use observe::metrics::routed::Grants;
use policy::slots::{Counts, Message};
use tokio::time::sleep;
use types::prelude::*;

use crate::{host::Shared, run::PUMP_INTERVAL};

/// Interval at which the use of granted slots is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Logs the use of granted slots until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut before = Counts::default();
    loop {
        sleep(LOG_INTERVAL).await;
        let counts = shared.dispatcher().slot_counts();
        if counts != before {
            let waits = (counts.waits - before.waits).max(1);
            let wait = (counts.waited - before.waited).as_secs_f64() / waits as f64;
            log::info!(
                granted = counts.granted - before.granted, used = counts.used - before.used,
                returned = counts.returned - before.returned,
                unanswered = counts.unanswered - before.unanswered,
                rejected = counts.rejected - before.rejected, mean_wait_ms = wait * 1e3;
                "slots"
            );
            before = counts;
        }
    }
}

impl Shared {
    /// Applies another host's use of slots, or its grant of them.
    pub(crate) fn slots_received(&self, from: &host::Id, message: &Message) {
        self.dispatcher().slots_received(from, message, self.now());
        self.dispatch_wakeup.notify_one();
    }

    /// Sends what this host uses and wants, and its grants.
    pub(crate) fn send_slots(&self, messages: Vec<(host::Id, Message)>) {
        self.send_once(messages.into_iter().map(|(to, message)| (to, Notice::Slots(message))));
    }

    /// Time until the dispatcher's queues are to advance although nothing happens.
    pub(crate) fn until_pump(&self) -> Duration {
        let due = self.dispatcher().slots_due();
        due.map_or(PUMP_INTERVAL, |due| due.saturating_sub(self.now()).min(PUMP_INTERVAL))
    }

    /// Updates the metrics of granted slots.
    pub(crate) fn update_slot_metrics(&self) {
        let counts = self.dispatcher().slot_counts();
        self.meters.grants(Grants::Granted, counts.granted);
        self.meters.grants(Grants::Used, counts.used);
        self.meters.grants(Grants::Returned, counts.returned);
        self.meters.grants(Grants::Unanswered, counts.unanswered);
        self.meters.grants(Grants::Rejected, counts.rejected);
        self.meters.grant_waits(counts.waits, counts.waited);
    }
}
