//! When the next round of planning may start.
//!
//! A host that plans also serves callers and grants slots to other hosts, with one thread and maybe a
//! tenth of a core. So the time between two rounds follows what a round takes: planning takes at most a
//! fixed part of the host's time, whatever the size of the fleet and of the host. What is urgent, such
//! as a model without a replica that requests wait for, may take a larger part.

use types::prelude::*;

/// Minimum time between two rounds.
const MIN_PAUSE: Duration = Duration::from_millis(3);

/// Maximum time between two rounds while a round is cheap.
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a round, in units of the time that the round took.
const PAUSE_PER_ROUND: u32 = 7;

/// Like `PAUSE_PER_ROUND`, if an urgent round was requested.
const URGENT_PAUSE_PER_ROUND: u32 = 2;

/// Longest time of a round that is taken into account: a host that was suspended meanwhile must not
/// stop planning.
const MAX_ROUND: Duration = Duration::from_millis(100);

/// How soon a round is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Something has changed.
    Normal,
    /// Requests wait for a model or adapter that no server holds.
    Urgent,
}

/// The pace of rounds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// End of the last round.
    ended: Moment,
    /// Time that the last round took.
    took: Duration,
}

impl Pace {
    /// Records a round that began at `began` and ended at `ended`.
    pub fn record(&mut self, began: Moment, ended: Moment) {
        self.took = ended.saturating_sub(began).min(MAX_ROUND);
        self.ended = ended;
    }

    /// Returns when a round that is requested now may start.
    pub fn next(&self, urgency: Urgency) -> Moment {
        let pauses = match urgency {
            Urgency::Normal => PAUSE_PER_ROUND,
            Urgency::Urgent => URGENT_PAUSE_PER_ROUND,
        };
        self.ended + MIN_PAUSE.max(self.took * pauses)
    }

    /// Returns when a round starts that nothing has requested.
    pub fn next_unrequested(&self) -> Moment {
        self.next(Urgency::Normal).max(self.ended + MAX_PAUSE)
    }
}
