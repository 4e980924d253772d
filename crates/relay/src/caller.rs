//! The caller of a request in progress, and what a change of customers means for it.
//!
//! A request is checked against the customers in force when it arrives, while it waits for a server,
//! and before each attempt. Where `routed.revocation.strict` is set, it is also checked whenever the
//! customers change, and ends if its key has been removed.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::Duration,
};

use policy::{customer, dispatch::poison::fingerprint};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;
use types::{customer::KeyDigest, routed::Route};

use crate::{
    attempt::AttemptEnd,
    call::Call,
    edge::{Credential, Identity, Problem},
    host::Shared,
};

/// Time in which a stream of a removed key may end regularly, before its connection is closed. A
/// stream is only polled while its caller reads.
const FLUSH_TIME: Duration = Duration::from_millis(500);

/// The caller of a request, identified anew before each attempt.
pub(crate) struct Caller {
    key: Option<KeyDigest>,
    current: Mutex<customer::Caller>,
}

impl Caller {
    /// Identifies the caller of a request on a route.
    ///
    /// # Errors
    ///
    /// The route is not public, and the key is missing, malformed or unknown.
    pub(crate) fn identify(
        shared: &Shared,
        route: &Route,
        credential: Credential,
    ) -> Result<Caller, Problem> {
        let key = match credential {
            Credential::Key(key) => Some(key),
            Credential::Missing | Credential::Malformed => None,
        };
        let customers = shared.customers();
        let caller = customer::Caller::identify(customers.as_deref(), route, key);
        let current = Mutex::new(caller.ok_or(Problem::Unauthorized)?);
        Ok(Caller { key, current })
    }

    /// Returns the caller as it was identified last.
    pub(crate) fn current(&self) -> customer::Caller {
        self.lock().clone()
    }

    /// Returns what servers can tell this caller from others by, given the caller as it was identified
    /// last.
    pub(crate) fn named<'a>(&self, current: &'a customer::Caller) -> fingerprint::Caller<'a> {
        match (current, self.key) {
            (customer::Caller::Customer(customer), _) => {
                fingerprint::Caller::Customer(&customer.name)
            }
            // The key is passed on to servers.
            (customer::Caller::Unmanaged, Some(key)) => fingerprint::Caller::Key(key),
            (customer::Caller::Unmanaged, None) | (customer::Caller::Anonymous, _) => {
                fingerprint::Caller::Unnamed
            }
        }
    }

    /// Identifies the caller by the customers in force; `None` if its key has been removed.
    fn renew(&self, shared: &Shared, route: &Route) -> Option<customer::Caller> {
        let customers = shared.customers();
        let mut current = self.lock();
        let caller = current.renew(customers.as_deref(), route, self.key)?;
        *current = caller.clone();
        Some(caller)
    }

    fn lock(&self) -> MutexGuard<'_, customer::Caller> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns what servers are told of a caller.
pub(crate) fn identity(caller: &customer::Caller) -> Identity<'_> {
    match caller {
        customer::Caller::Unmanaged => Identity::Unmanaged,
        customer::Caller::Anonymous => Identity::Anonymous,
        customer::Caller::Customer(customer) => Identity::Customer(&customer.name),
    }
}

impl Call {
    /// Identifies the caller by the customers in force; `None` if its key has been removed.
    pub(crate) fn renew_caller(&self, shared: &Shared) -> Option<customer::Caller> {
        self.caller.renew(shared, &self.route)
    }

    /// Ends the request if the caller's key has been removed.
    ///
    /// # Errors
    ///
    /// The key has been removed.
    pub(crate) fn authorize(&self, shared: &Shared) -> Result<(), Problem> {
        match self.renew_caller(shared) {
            Some(_) => Ok(()),
            None => Err(self.end_revoked()),
        }
    }

    /// Ends a request whose key has been removed.
    pub(crate) fn end_revoked(&self) -> Problem {
        let may_have_run = 0 < self.handle.may_run.load(Ordering::Relaxed);
        self.handle.end(AttemptEnd::Cancelled);
        self.trace.cancelled();
        if may_have_run { Problem::Unclear } else { Problem::Unauthorized }
    }

    /// Waits until the caller's key has been removed.
    pub(crate) async fn revoked(&self, shared: &Shared) {
        loop {
            let changed = shared.customers_changed.notified();
            if self.renew_caller(shared).is_none() {
                return;
            }
            changed.await;
        }
    }

    /// Closes the caller's connection if the caller's key has been removed and the stream has not
    /// ended a little later, as when the caller has stopped reading; does nothing if running requests
    /// outlive their keys. Dropping the handle ends the task.
    pub(crate) fn close_once_revoked(self: &Arc<Call>) -> Option<AbortOnDropHandle<()>> {
        let strict = self.handle.shared().routed.revocation.strict;
        let (call, closer) = (self.clone(), self.request.closer.clone());
        let closing = async move {
            call.revoked_strictly().await;
            sleep(FLUSH_TIME).await;
            closer.close();
        };
        strict.then(|| AbortOnDropHandle::new(tokio::spawn(closing)))
    }

    /// Waits until the request is to end because the caller's key has been removed; without end if
    /// running requests outlive their keys.
    pub(crate) async fn revoked_strictly(self: Arc<Call>) {
        let shared = self.handle.shared();
        if !shared.routed.revocation.strict {
            return std::future::pending().await;
        }
        self.revoked(shared).await;
    }
}
