//! Load reports of backend servers; they lag.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{backend, memory::Mebibytes, order, resident::Resident};

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: backend::Id,
    /// The run of its process.
    pub incarnation: backend::Incarnation,
    /// Number of this report within the run; rises.
    pub sequence: u64,
    /// How old the figures are when the report is read; milliseconds in JSON.
    #[serde(rename = "age_ms", with = "crate::time::millis")]
    pub age: Duration,
    /// Whether it is leaving and wants nothing new.
    pub leaving: bool,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Most requests that run at once.
    pub slots: u32,
    /// Time of one step of the batch; milliseconds in JSON.
    #[serde(rename = "step_ms", with = "crate::time::millis")]
    pub step: Duration,
    /// Prompt tokens read in one step.
    pub prefill_rate: u32,
    /// Prompt tokens that wait to be read.
    pub prompt_backlog: u64,
    /// Accelerator memory, in MiB; zero for a plain server.
    pub capacity: Mebibytes,
    /// What is in that memory; left out on the wire when the reader named the same list.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub residents: Vec<Resident>,
    /// Highest fencing number seen.
    pub fence: order::Fence,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// Orders that it took in this run, the latest last; bounded.
    pub orders: Vec<order::Id>,
    /// Role it plays.
    pub role: order::Role,
}
