//! Backend servers, which execute requests.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{availability, host::ListState};

/// Name of a backend server.
pub type Id = Arc<str>;

/// Name of a group of interchangeable backend servers, such as `portal-lm`.
pub type Group = Arc<str>;

/// Number of one run of a server's process; it increases with each start.
pub type Incarnation = u64;

/// What a backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine on accelerators.
    Engine,
    /// A service without models.
    Plain,
}

/// A backend server as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Server {
    /// The server's name.
    pub id: Id,
    /// The group that it belongs to.
    pub group: Group,
    /// Whether it runs models.
    pub kind: Kind,
    /// The availability zone that it runs in.
    pub zone: availability::Id,
    /// The address that it listens on.
    pub address: SocketAddr,
}

/// One entry of the platform's list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The listed server.
    #[serde(flatten)]
    pub server: Server,
    /// Whether the platform keeps it in service.
    pub state: ListState,
}
