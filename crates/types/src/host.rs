//! Entry hosts of the system's own.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::availability;

/// Name of a host.
pub type Id = Arc<str>;

/// Number of one run of a host's process; greater after each start.
pub type Incarnation = u64;

/// An entry host and its three listeners.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub id: Id,
    /// The availability zone it stands in.
    pub zone: availability::Id,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for other hosts.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
}

/// What the platform's list says of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Listed {
    /// In service.
    Live,
    /// About to go; to get nothing new.
    Leaving,
}

/// One line of the platform's list of entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The host.
    #[serde(flatten)]
    pub host: Host,
    /// What the platform says of it.
    pub state: Listed,
}

/// The platform's list; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Entry hosts.
    #[serde(default)]
    pub hosts: Vec<Entry>,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<crate::backend::Entry>,
}
