//! A small site for tests: stand-ins in this process, hosts as processes of their own, and, where a
//! test asks for them, a fault proxy on every link.

#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod caller;
mod http;
pub mod in_process;
mod links;
mod observability;
mod process;
pub mod script;
mod site;

pub use self::{
    caller::{Chat, Ending, Endings, HostAddresses, LoadGenerator, Workload},
    http::{Answer, Event, answer_text, events, get, post_chat, send, try_send},
    links::Links,
    observability::{metrics, records, value},
    process::Process,
    site::{Builder, Site},
};

use std::time::Duration;

/// How long a test waits for what must come; far more than it takes on a loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a condition, and fails by name when patience ends.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let polling = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, polling).await.is_ok(), "never: {what}");
}
