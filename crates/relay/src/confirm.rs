//! Whether the declaration in force is the newest one.
//!
//! A host may lag behind the store without noticing, for example when its link or processor has a
//! backlog. It goes on serving by the declaration in force. But before it refuses a request for good
//! by a declaration that may be outdated, it asks the store. If the store doesn't answer in time, the
//! request is refused as not run, so that the caller may retry.

use std::{sync::PoisonError, time::Duration};

use tokio::time::timeout;
use types::time::Moment;

use crate::{
    edge::{ObjectKind, Revision, StoreCall, StoreReply},
    host::Shared,
    watch,
};

/// Timeout of a confirmation, for which requests wait.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);

/// Wait of a watch that is to return at once; zero need not be a valid wait.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// What the store last said of the declaration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Confirmation {
    /// Revision of the store up to which all changes are known.
    revision: Revision,
    /// Time up to which all changes are known.
    at: Moment,
}

impl Shared {
    /// Records that all changes of the declaration up to a revision and a time are known.
    pub(crate) fn confirm_declaration(&self, revision: Revision, at: Moment) {
        let mut confirmed =
            self.declaration_confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        confirmed.revision = confirmed.revision.max(revision);
        confirmed.at = confirmed.at.max(at);
    }

    /// Returns the time up to which all changes of the declaration are known.
    pub(crate) fn declaration_confirmed_at(&self) -> Moment {
        self.declaration_confirmation().at
    }

    fn declaration_confirmation(&self) -> Confirmation {
        *self.declaration_confirmed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether each declaration is known that must be in force for a request received at
    /// this time.
    fn is_declaration_known(&self, received: Moment) -> bool {
        received <= self.declaration_confirmed_at() + self.routed.apply
    }

    /// Returns whether each declaration is known that must be in force for a request received at
    /// this time. Asks the store if this host can't tell; a later declaration is in force after
    /// that.
    pub(crate) async fn confirm_for(&self, received: Moment) -> bool {
        if !self.is_declaration_known(received) {
            // Without an answer in time, the declaration stays unconfirmed.
            let _ = timeout(CONFIRMATION_TIMEOUT, self.ask_store(received)).await;
        }
        self.is_declaration_known(received)
    }

    /// Fetches changes of the declaration from the store, unless another request has done so by the
    /// time that it is this one's turn.
    async fn ask_store(&self, received: Moment) {
        let _turn = self.confirming.lock().await;
        if self.is_declaration_known(received) {
            return;
        }
        let (began, since) = (self.now(), self.declaration_confirmation().revision);
        let kind = ObjectKind::Declaration;
        let call = StoreCall::Watch { kind, since, wait: SHORTEST_WAIT };
        if let StoreReply::Seen(batch) = self.store.call(&call).await {
            watch::apply_declarations(self, &batch, began);
        }
    }
}
