//! Test site: stand-in platform and backend servers in the test's process, hosts as child processes
//! and, where a test enables them, a fault proxy on every connection.

#![allow(dead_code, unused_imports, reason = "each test file uses only some of the helpers")]

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
    observability::{metric_value, metrics, records},
    process::Process,
    site::{Builder, Site},
};

use std::time::Duration;

/// Time limit of each wait; far longer than any awaited condition takes on a loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a condition every [`POLL_INTERVAL`]; panics with its description after [`TIMEOUT`].
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let polling = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(tokio::time::timeout(TIMEOUT, polling).await.is_ok(), "timed out waiting until {what}");
}
