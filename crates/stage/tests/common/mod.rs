//! A small site for tests: stand-ins in this process, hosts as processes of their own, and, where a
//! test asks for them, a fault proxy on every link.

#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod caller;
mod http;
pub mod inside;
mod links;
mod process;
pub mod script;
mod seen;
mod site;

pub use self::{
    caller::{Ask, Chat, Crowd, Ending, Endings, Entrance},
    http::{Answer, Event, answer_text, events, get, post_chat, send, try_send},
    links::Links,
    process::Process,
    seen::{metrics, records, value},
    site::{Builder, Site},
};

use std::time::Duration;

/// How long a test waits for what must come; far more than it takes on a loaded machine.
pub const PATIENCE: Duration = Duration::from_secs(30);

const POLL: Duration = Duration::from_millis(20);

/// Polls a condition, and fails by name when patience ends.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL).await;
        }
    };
    assert!(tokio::time::timeout(PATIENCE, waiting).await.is_ok(), "never: {what}");
}
