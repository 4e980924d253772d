//! Reads and writes the servers' ledgers, and finds out whether a write without a response was
//! applied.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use objects::{Error, Version};
use policy::ledger::Ledger;
use types::prelude::*;

use crate::context::Context;

/// Target of this module's log records, which operators may filter on.
const LOG_TARGET: &str = "stage::duties::plan::book";

const PREFIX: &str = "ledger/";

/// Maximum number of attempts at a write. The ledger is read back after each that conflicts or
/// whose response is lost.
const MAX_ATTEMPTS: u32 = 4;

/// Delay before the second attempt; doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A ledger with the object version at which it was read or written.
#[derive(Clone, Debug)]
pub(super) struct StoredLedger {
    pub(super) version: Version,
    /// The ledger, including evidence gathered since, if that was not worth a write. The next write
    /// of the ledger is conditional on `version`, so the two are stored together.
    pub(super) ledger: Ledger,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The object has the new value.
    Applied,
    /// The write was not applied and never will be.
    NotApplied,
    /// The write may have been applied, or may be applied later.
    Unknown,
}

/// The ledgers as last read or written.
pub(super) struct Ledgers {
    context: Arc<Context>,
    stored: BTreeMap<backend::Id, StoredLedger>,
    listed_at: Option<Moment>,
}

impl Ledgers {
    pub(super) fn new(context: Arc<Context>) -> Ledgers {
        Ledgers { context, stored: BTreeMap::new(), listed_at: None }
    }

    pub(super) fn get(&self, server: &backend::Id) -> Option<&StoredLedger> {
        self.stored.get(server)
    }

    /// Stores evidence that is not worth a write, unless the ledger has another version by now.
    pub(super) fn set_unwritten(&mut self, version: Version, ledger: Ledger) {
        let stored = self.stored.get_mut(&ledger.server);
        if let Some(stored) = stored.filter(|stored| stored.version == version) {
            stored.ledger = ledger;
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Ledger> {
        self.stored.values().map(|stored| &stored.ledger)
    }

    /// Returns when all ledgers were last read. `None` means that they must be read now: they were
    /// never read, or the outcome of a later write is unknown.
    pub(super) fn listed_at(&self) -> Option<Moment> {
        self.listed_at
    }

    /// Reads all ledgers; skips those that can't be parsed.
    pub(super) async fn list(&mut self) -> Result<(), Error> {
        let requested = self.context.now();
        let listing = self.context.store.list(PREFIX).await?;
        self.stored.clear();
        for object in &listing.objects {
            self.insert(object.version, &object.value, &object.key);
        }
        self.listed_at = Some(requested);
        Ok(())
    }

    /// Reads one ledger; `None` if it doesn't exist or can't be parsed.
    pub(super) async fn read(
        &mut self,
        server: &backend::Id,
    ) -> Result<Option<&StoredLedger>, Error> {
        let key = Ledger::key(server);
        let object = self.context.store.get(&key).await?;
        self.stored.remove(server);
        if let Some(object) = object {
            self.insert(object.version, &object.value, &key);
        }
        Ok(self.get(server))
    }

    /// Writes a ledger with a new order, conditional on version `base`.
    pub(super) async fn reserve(
        &mut self,
        base: Version,
        next: &Ledger,
        id: &order::Id,
    ) -> WriteOutcome {
        let is_applied = |read: &Ledger| read.orders.iter().any(|entry| entry.order.id == *id);
        self.write(Some(base), next, is_applied).await
    }

    /// Writes a ledger with evidence applied, conditional on version `base`.
    pub(super) async fn settle(&mut self, base: Version, next: &Ledger) -> WriteOutcome {
        self.write(Some(base), next, |read| read == next).await
    }

    /// Creates the ledger of a server.
    pub(super) async fn create(&mut self, first: &Ledger) -> WriteOutcome {
        self.write(None, first, |read| read == first).await
    }

    /// Writes a ledger if the object still has version `base`.
    ///
    /// After a conflict or a lost response the ledger is read back. As long as the object has the
    /// version that the write is conditional on, the write may still be in transit; it is then
    /// repeated, up to [`MAX_ATTEMPTS`], until the version shows whether it was applied.
    async fn write(
        &mut self,
        base: Option<Version>,
        next: &Ledger,
        is_applied: impl Fn(&Ledger) -> bool,
    ) -> WriteOutcome {
        let server = &next.server;
        let mut may_be_pending = false;
        for attempt in 0..MAX_ATTEMPTS {
            if 0 < attempt {
                tokio::time::sleep(FIRST_RETRY_DELAY * 2_u32.pow(attempt - 1)).await;
            }
            match self.put(base, next).await {
                Ok(version) => {
                    let stored = StoredLedger { version, ledger: next.clone() };
                    self.stored.insert(server.clone(), stored);
                    return WriteOutcome::Applied;
                }
                Err(error) if error.is_conflict() || error.is_ambiguous() => may_be_pending = true,
                Err(error) => {
                    log::warn!(
                        target: LOG_TARGET, server = &**server; "ledger not written: {error}"
                    );
                    if !may_be_pending {
                        return WriteOutcome::NotApplied;
                    }
                }
            }
            match self.read(server).await {
                Ok(Some(stored)) if is_applied(&stored.ledger) => return WriteOutcome::Applied,
                Ok(stored) if stored.map(|stored| stored.version) != base => {
                    return WriteOutcome::NotApplied;
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!(
                        target: LOG_TARGET, server = &**server; "ledger not read back: {error}"
                    )
                }
            }
        }
        self.stored.remove(server);
        self.listed_at = None;
        WriteOutcome::Unknown
    }

    async fn put(&self, base: Option<Version>, next: &Ledger) -> Result<Version, Error> {
        let key = Ledger::key(&next.server);
        let value = serde_json::to_vec(next).map(Bytes::from).unwrap_or_default();
        match base {
            Some(version) => self.context.store.update(&key, version, value).await,
            None => self.context.store.create(&key, value).await,
        }
    }

    fn insert(&mut self, version: Version, value: &[u8], key: &str) {
        match serde_json::from_slice::<Ledger>(value) {
            Ok(ledger) => {
                self.stored.insert(ledger.server.clone(), StoredLedger { version, ledger });
            }
            Err(error) => log::error!(target: LOG_TARGET, key = key; "ledger unreadable: {error}"),
        }
    }
}
