//! Acquires, renews and releases the planning lease.

use std::sync::Arc;

use bytes::Bytes;
use objects::{Error, Version};
use observe::{Event, event};
use policy::lease::{Lease, Observer, Step};
use types::prelude::*;

use crate::context::Context;

/// Target of this module's log records, which operators may filter on.
const LOG_TARGET: &str = "stage::duties::plan::held";

const DUTY: &str = "plan";

/// Number of reads per lease term while another host holds the lease.
const READS_PER_TERM: u32 = 3;

/// The planning lease, as seen by this host.
pub(super) struct PlanningLease {
    context: Arc<Context>,
    observer: Observer,
    /// Lease as last read or written, with its object version.
    known: Option<(Version, Lease)>,
    last_read: Option<Moment>,
    was_held: bool,
}

impl PlanningLease {
    pub(super) fn new(context: Arc<Context>) -> PlanningLease {
        let term = context.settings.planning.lease;
        let observer = Observer::new(context.host().id.clone(), context.incarnation, term);
        PlanningLease { context, observer, known: None, last_read: None, was_held: false }
    }

    /// Acquires or renews the lease if that is due; returns whether this host may plan.
    pub(super) async fn acquire_or_renew(&mut self) -> bool {
        if let Err(error) = self.step().await {
            log::warn!(target: LOG_TARGET, "planning lease not read or written: {error}");
            self.last_read = None;
        }
        let is_held = self.observer.is_held(self.context.now());
        if is_held != self.was_held {
            self.was_held = is_held;
            let lease = if is_held { event::LeaseState::Taken } else { event::LeaseState::Lost };
            log::info!(target: LOG_TARGET, holds = is_held; "planning lease acquired or lost");
            self.record(lease);
        }
        is_held
    }

    /// Releases the lease, so that another host need not wait for its expiry.
    pub(super) async fn release(&mut self) {
        if !self.observer.is_held(self.context.now()) {
            return;
        }
        if let Some((version, _)) = self.known.take() {
            let key = Observer::key(DUTY);
            if let Err(error) = self.context.store.delete(&key, version).await {
                log::warn!(target: LOG_TARGET, "planning lease not released: {error}");
            }
        }
        self.observer.observe(self.context.now(), None);
        self.was_held = false;
        self.record(event::LeaseState::Released);
    }

    fn record(&self, lease: event::LeaseState) {
        let kind = event::Kind::Lease { duty: DUTY.into(), lease };
        self.context.events.record(Event::new(kind));
    }

    async fn step(&mut self) -> Result<(), Error> {
        let now = self.context.now();
        if !self.observer.is_held(now) {
            let pause = self.context.settings.planning.lease / READS_PER_TERM;
            if self.last_read.is_some_and(|read| now < read + pause) {
                return Ok(());
            }
            self.read().await?;
            self.last_read = Some(now);
        }
        let known = self.known.as_ref().map(|(_, lease)| lease);
        match self.observer.observe(now, known) {
            Step::Hold | Step::Wait => Ok(()),
            Step::Renew(lease) | Step::Take(lease) => self.write(now, lease).await,
        }
    }

    async fn read(&mut self) -> Result<(), Error> {
        let object = self.context.store.get(&Observer::key(DUTY)).await?;
        self.known = object.and_then(|object| {
            let lease = serde_json::from_slice(&object.value).ok()?;
            Some((object.version, lease))
        });
        Ok(())
    }

    async fn write(&mut self, now: Moment, lease: Lease) -> Result<(), Error> {
        let key = Observer::key(DUTY);
        let value = serde_json::to_vec(&lease).map(Bytes::from).unwrap_or_default();
        let written = match &self.known {
            Some((version, _)) => self.context.store.update(&key, *version, value).await,
            None => self.context.store.create(&key, value).await,
        };
        match written {
            Ok(version) => {
                self.observer.observe(now, Some(&lease));
                self.known = Some((version, lease));
                Ok(())
            }
            Err(error) if error.is_conflict() => {
                // Another host wrote first, or an earlier write of this host was applied.
                self.read().await?;
                let known = self.known.as_ref().map(|(_, lease)| lease);
                self.observer.observe(now, known);
                Ok(())
            }
            Err(error) => Err(error),
        }
    }
}
