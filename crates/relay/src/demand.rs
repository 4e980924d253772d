//! Shows what the planner is given of the demand at all hosts.
//!
//! The planner places models by the demand that it is given. Where that is less than what callers
//! ask for, it believes that all is well, so the host that plans shows the difference: compare the
//! sum over its line and metric with the requests of all hosts.

use std::sync::{Mutex, PoisonError};

use observe::metrics::routed::Origin;
use types::prelude::*;

use crate::host::Shared;

/// Time between two lines.
const PAUSE: Duration = Duration::from_secs(5);

/// Requests that the planner was given since the last line.
#[derive(Debug, Default)]
pub(crate) struct Given(Mutex<Since>);

#[derive(Debug, Default)]
struct Since {
    began: Option<Moment>,
    own: u64,
    others: u64,
}

impl Shared {
    /// Counts requests that the planner is given, if this host plans.
    pub(crate) fn demand_given(&self, origin: Origin, requests: u64) {
        if self.term().fence(self.now()).is_none() {
            return;
        }
        self.meters.demand(origin, requests);
        let mut since = self.given.lock();
        match origin {
            Origin::Own => since.own += requests,
            Origin::Others => since.others += requests,
        }
    }

    /// Writes how many requests the planner was given, if a line is due.
    pub(crate) fn show_demand(&self, now: Moment) {
        let mut since = self.given.lock();
        let began = *since.began.get_or_insert(now);
        if now < began + PAUSE {
            return;
        }
        let took = now.saturating_sub(began).as_millis();
        let given = std::mem::replace(&mut *since, Since { began: Some(now), ..Since::default() });
        drop(since);
        log::info!(own = given.own, others = given.others, ms = took as u64; "demand given to the planner");
    }

    /// This host plans no longer.
    pub(crate) fn hide_demand(&self) {
        *self.given.lock() = Since::default();
    }
}

impl Given {
    fn lock(&self) -> std::sync::MutexGuard<'_, Since> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
