//! State that a host reports to operators: its own, and what it knows of backend servers.

use serde::{Deserialize, Serialize};

use crate::{backend, config, host, report};

/// A host's own state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host that reports.
    pub host: host::Host,
    /// The run of the host's process.
    pub incarnation: host::Incarnation,
    /// Whether the host accepts new work.
    pub ready: bool,
    /// Whether a planned stop is in progress.
    pub draining: bool,
    /// Number of the configuration in force; zero before the first one.
    pub configuration: config::Number,
    /// Highest configuration number that the host knows of, in force or not.
    #[serde(rename = "heard")]
    pub newest_number: config::Number,
    /// Number of backend servers on the platform's list.
    pub servers: usize,
    /// Number of backend servers whose load reports the host can read.
    pub reporting: usize,
}

/// A backend server as one host sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// The server's entry in the platform's list.
    #[serde(flatten)]
    pub entry: backend::Entry,
    /// The latest load report; `None` while the server does not respond.
    pub load: Option<report::Load>,
}
