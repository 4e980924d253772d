//! Stand-ins for a routed deployment, for tests and examples: the platform's store, its servers,
//! callers, and sites of real host processes.
//!
//! They encode and decode with `platform::remote`, which has the codecs for the other end of each
//! of a host's connections. Tests script their behaviour; performance isn't simulated.

pub mod caller;
pub mod host;
pub mod links;
pub mod network;
pub mod server;
pub mod server_links;
pub mod site;
pub mod soak;
pub mod store;
pub mod stream;

mod wire;

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// How long [`until`] and callers wait before they fail; far more than any awaited event takes on a
/// loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `condition` until it holds.
///
/// # Panics
///
/// If it doesn't hold within [`TIMEOUT`]; the message contains `what`.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let polling = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let outcome = tokio::time::timeout(TIMEOUT, polling).await;
    assert!(outcome.is_ok(), "timed out waiting until {what}");
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
