//! Load reports of backend servers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{backend, memory::Mebibytes, order, resident::Resident};

/// Load report of a backend server, which may be out of date by its [`age`](Load::age).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The server that reports.
    pub server: backend::Id,
    /// The run of the server's process.
    pub incarnation: backend::Incarnation,
    /// Sequence number of the report, increasing within the run.
    pub sequence: u64,
    /// Age of the values when the report is read; milliseconds in JSON.
    #[serde(rename = "age_ms", with = "crate::time::millis")]
    pub age: Duration,
    /// Whether the server is about to stop and must not be sent new work.
    pub leaving: bool,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for a slot in the batch.
    pub waiting: u32,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Duration of one step of the batch; milliseconds in JSON.
    #[serde(rename = "step_ms", with = "crate::time::millis")]
    pub step: Duration,
    /// Prompt tokens that one step prefills.
    pub prefill_rate: u32,
    /// Prompt tokens that have not been prefilled yet.
    pub prompt_backlog: u64,
    /// Total accelerator memory, in MiB; zero for a plain server.
    pub capacity: Mebibytes,
    /// Contents of that memory; omitted on the wire if the reader's request has the tag of the same
    /// list.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub residents: Vec<Resident>,
    /// Highest fencing number that the server has seen.
    pub fence: order::Fence,
    /// Whether the server refuses orders with a lower fencing number.
    pub fenced: bool,
    /// Orders accepted in this run, the latest last; the length is bounded.
    pub orders: Vec<order::Id>,
    /// The engine's current role.
    pub role: order::Role,
}
