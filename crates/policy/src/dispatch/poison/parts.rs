//! Parts of prompts that were served.
//!
//! A part that crashes servers does so when its answer begins, so an answer that goes on beyond its
//! beginning shows that no part of its prompt does. Requests that share a server with one that
//! crashes it lose their answers too; what was served of their other parts tells them apart.

use types::prelude::*;

use super::{Poison, Subject, recent::RecentSet};

/// Length of a generation of parts that are being served. A crash within two generations after a
/// part was served is not caused by the part.
const SERVING_LIFE: Duration = Duration::from_millis(1_500);

/// Length of a generation of parts that were served. A crash within two generations is rather caused
/// by a part that wasn't served.
const SERVED_LIFE: Duration = Duration::from_secs(60);

/// Most parts remembered in each generation.
const MAX_PARTS: usize = 4096;

/// Parts of prompts that this host has served.
#[derive(Clone, Debug)]
pub(super) struct ServedParts {
    serving: RecentSet<u64>,
    served: RecentSet<u64>,
}

impl Default for ServedParts {
    fn default() -> ServedParts {
        ServedParts {
            serving: RecentSet::new(SERVING_LIFE, MAX_PARTS),
            served: RecentSet::new(SERVED_LIFE, MAX_PARTS),
        }
    }
}

impl ServedParts {
    fn add(&mut self, part: u64, now: Moment) {
        self.serving.add(part, now);
        self.served.add(part, now);
    }

    /// Whether the part was served within the last seconds.
    pub(super) fn is_being_served(&self, part: u64, now: Moment) -> bool {
        self.serving.has(&part, now)
    }

    /// Whether the part was served within the last minutes.
    pub(super) fn was_served(&self, part: u64, now: Moment) -> bool {
        self.served.has(&part, now)
    }
}

impl Poison {
    /// Records that the answer to a prompt with these parts went on beyond its beginning, so that
    /// none of them has crashed a server.
    pub fn parts_served(&mut self, parts: impl Iterator<Item = u64>, now: Moment) {
        for part in parts {
            self.parts.add(part, now);
            let subject = Subject::Part(part);
            self.void(subject, now, |_, _| true);
            self.trials.retain(|trial| trial.subject != subject);
        }
    }
}
