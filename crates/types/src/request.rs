//! A caller's request, as the decisions see it.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{model, priority::Priority, service, target::Target};

/// Name of a request, unique for all time.
pub type Id = Arc<str>;

/// A caller's `Idempotency-Key`.
pub type Key = Arc<str>;

/// Digest of what a request asks, the same for each re-send.
pub type Digest = [u8; 32];

/// Number of one try at a request, from zero.
pub type Attempt = u32;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// May run again; the effect is the same.
    Idempotent,
    /// At most once.
    Once,
}

/// What is known of a request's run when it is refused, so that `max` is the most that can have
/// happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// No byte of it can have reached a backend server.
    DidNotRun,
    /// A backend server may have run it.
    MayHaveRun,
    /// A backend server ran it.
    Ran,
}

/// A request that has been identified.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its name.
    pub id: Id,
    /// The service it calls.
    pub service: service::Id,
    /// The model or adapter, for calls to models.
    pub model: Option<model::Name>,
    /// Its priority.
    pub priority: Priority,
    /// Its latency target, tightened by the caller's deadline.
    pub target: Target,
    /// How often it may run.
    pub repeat: Repeat,
    /// The caller's key.
    pub key: Option<Key>,
    /// Digest of what it asks.
    pub digest: Digest,
    /// Digests of the prompt's prefixes, a block at a time, the shortest first.
    pub prefix: Vec<u64>,
    /// Prompt length, in tokens (estimated).
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Time allowed for the whole of it.
    pub deadline: Duration,
}
