//! Backend servers, which run the work.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{availability, host::Listed};

/// Name of a backend server.
pub type Id = Arc<str>;

/// Name of a group of like backend servers, such as `portal-lm`.
pub type Group = Arc<str>;

/// Number of one run of a server's process; greater after each start.
pub type Incarnation = u64;

/// What a backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine on accelerators.
    Engine,
    /// A plain service.
    Plain,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Server {
    /// Its name.
    pub id: Id,
    /// The group it belongs to.
    pub group: Group,
    /// What it runs.
    pub kind: Kind,
    /// The availability zone it stands in.
    pub zone: availability::Id,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One line of the platform's list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The server.
    #[serde(flatten)]
    pub server: Server,
    /// What the platform says of it.
    pub state: Listed,
}
