//! Stand-ins of a routed deployment: the store, its servers, callers, and a site of real hosts.
//!
//! They speak through the remote ends' codecs, are scripted by tests, and simulate no performance.

pub mod caller;
pub mod host;
pub mod links;
pub mod network;
pub mod server;
pub mod site;
pub mod soak;
pub mod store;

mod wire;

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// How long a test waits for what must come; far more than it takes on a loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

const POLL: Duration = Duration::from_millis(10);

/// Polls a condition.
///
/// # Panics
///
/// By its name, when patience ends.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, waiting).await.is_ok(), "never: {what}");
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
