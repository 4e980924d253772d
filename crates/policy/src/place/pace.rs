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

/// Pause after a round in units of its time, so that planning takes an eighth of the host's time.
const PAUSE_PER_ROUND: u32 = 7;

/// Pause after a round in units of its time if the next one is urgent: a third of the host's time.
const URGENT_PAUSE_PER_ROUND: u32 = 2;

/// Time up to which a round counts in full, even if the one before was much shorter.
const MAX_SUDDEN_ROUND: Duration = Duration::from_millis(100);

/// Factor by which a longer round may exceed the one before. What goes beyond is taken for time in
/// which the host was suspended, after which planning must go on.
const MAX_GROWTH: u32 = 2;

/// How soon a round is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoundUrgency {
    /// Something has changed.
    Normal,
    /// Requests have begun to wait for a model or adapter, or room was made for a load.
    Urgent,
}

/// The pace of rounds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// End of the last round.
    ended: Moment,
    /// Time that the last round took.
    took: Duration,
    /// Time of the last round that counts.
    counted: Duration,
}

impl Pace {
    /// Records a round that began at `began` and ended at `ended`.
    pub fn record(&mut self, began: Moment, ended: Moment) {
        let took = ended.saturating_sub(began);
        self.counted = took.min(MAX_SUDDEN_ROUND.max(self.took * MAX_GROWTH));
        (self.took, self.ended) = (took, ended);
    }

    /// Returns when a round that is requested now may start.
    pub fn next(&self, urgency: RoundUrgency) -> Moment {
        let pauses = match urgency {
            RoundUrgency::Normal => PAUSE_PER_ROUND,
            RoundUrgency::Urgent => URGENT_PAUSE_PER_ROUND,
        };
        self.ended + MIN_PAUSE.max(self.counted * pauses)
    }

    /// Returns when a round starts that nothing has requested.
    pub fn next_unrequested(&self) -> Moment {
        self.next(RoundUrgency::Normal).max(self.ended + MAX_PAUSE)
    }
}
