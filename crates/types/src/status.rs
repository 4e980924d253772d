//! What a host tells operators of itself and of what it sees.

use serde::{Deserialize, Serialize};

use crate::{backend, config, host, report};

/// A host's own standing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: host::Host,
    /// The run of its process.
    pub incarnation: host::Incarnation,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub draining: bool,
    /// Number of the configuration in force; zero before the first.
    pub configuration: config::Number,
    /// The highest number heard of.
    #[serde(rename = "heard")]
    pub newest_number: config::Number,
    /// Backend servers on the platform's list.
    pub servers: usize,
    /// Backend servers whose load reports it reads.
    pub reporting: usize,
}

/// A backend server as one host sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// What the platform's list says.
    #[serde(flatten)]
    pub entry: backend::Entry,
    /// Its last load report; none while it doesn't answer.
    pub load: Option<report::Load>,
}
