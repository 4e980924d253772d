//! Entry hosts: the processes of this system that accept callers' requests.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::availability;

/// Name of a host.
pub type Id = Arc<str>;

/// Number of one run of a host's process; it increases with each start.
pub type Incarnation = u64;

/// An entry host and its three listeners.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub id: Id,
    /// The availability zone that it runs in.
    pub zone: availability::Id,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for other hosts.
    pub peers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
}

/// State of a machine in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListState {
    /// In service.
    Live,
    /// About to be removed; no new work may be sent to it.
    Leaving,
}

/// One entry of the platform's list of entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The listed host.
    #[serde(flatten)]
    pub host: Host,
    /// Whether the platform keeps it in service.
    pub state: ListState,
}

/// The platform's list of machines, which may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Listed entry hosts.
    #[serde(default)]
    pub hosts: Vec<Entry>,
    /// Listed backend servers.
    #[serde(default)]
    pub servers: Vec<crate::backend::Entry>,
}
