//! Callers' requests, as the policies receive them.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{model, priority::Priority, service, target::Target};

/// Id of a request; never reused.
pub type Id = Arc<str>;

/// Value of a caller's `Idempotency-Key` header.
pub type Key = Arc<str>;

/// Digest of a request's content, the same for each time that the caller sends it.
pub type Digest = [u8; 32];

/// Number of an attempt to run a request, counted from zero.
pub type Attempt = u32;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// May be executed again, with the same effect.
    Idempotent,
    /// May be executed at most once.
    Once,
}

/// Whether a refused request was executed. The variants are ordered so that `max` gives the most
/// that can have happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// No byte of it can have reached a backend server.
    DidNotRun,
    /// A backend server may have executed it.
    MayHaveRun,
    /// A backend server executed it.
    Ran,
}

/// A request whose service, and model if any, have been identified.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's id.
    pub id: Id,
    /// The service that is called.
    pub service: service::Id,
    /// The model or adapter; `None` for a plain service.
    pub model: Option<model::Name>,
    /// Priority in queues.
    pub priority: Priority,
    /// The service's latency target, tightened by the caller's deadline.
    pub target: Target,
    /// Whether it may be executed more than once.
    pub repeat: Repeat,
    /// The caller's idempotency key, if one was sent.
    pub key: Option<Key>,
    /// Digest of the content, which tells whether a key is reused for another request.
    pub digest: Digest,
    /// Digests of the prompt's prefixes, one for each block, the shortest first.
    pub prefix: Vec<u64>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Time allowed for the whole request.
    pub deadline: Duration,
}
