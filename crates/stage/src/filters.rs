//! The row of filters that a call goes through, each a tower layer with one job.
//!
//! account → in force → identify → route → attempt, with the answer delivered on the way back.

pub mod account;
pub mod attempt;
pub mod identify;
pub mod in_force;
pub mod route;

use std::sync::Arc;

use axum::Router;
use bytes::Bytes;
use types::{
    config::Numbered,
    prelude::*,
    request::{Ran, Request},
};

use crate::context::Context;

/// A call that has been identified, as it moves along the row.
#[derive(Clone, Debug)]
pub struct Call {
    /// What the decisions need to know of it.
    pub request: Arc<Request>,
    /// The configuration that it runs under from start to end.
    pub numbered: Arc<Numbered>,
    /// When it came.
    pub received: Moment,
    /// What it asks for.
    pub kind: Kind,
}

/// What a call asks for.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A model's answer.
    Model(Arc<Question>),
    /// A plain service's answer.
    Plain {
        /// The group of servers that offers it.
        group: backend::Group,
        /// Path and query to pass on.
        path: Arc<str>,
    },
}

/// A question to a model.
#[derive(Debug)]
pub struct Question {
    /// Shape of the answer.
    pub shape: Shape,
    /// Whether the caller wants a stream.
    pub delivery: Delivery,
    /// The body for the engine, which always streams.
    pub body: Bytes,
}

/// Shape of a model's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Chat messages.
    Chat,
    /// Plain text.
    Text,
}

impl Shape {
    /// Path of the engine that gives it.
    pub fn path(self) -> &'static str {
        match self {
            Shape::Chat => "/v1/chat/completions",
            Shape::Text => "/v1/completions",
        }
    }
}

/// How the caller wants the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Token by token.
    Streamed,
    /// In one piece.
    Whole,
}

/// What is known of a call when it has ended, for the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Whether it ran.
    pub ran: Ran,
}

/// Lays the filters between identification and the attempt around a router.
pub fn row(router: Router<Arc<Context>>, context: &Arc<Context>) -> Router<Arc<Context>> {
    router.layer(axum::middleware::from_fn_with_state(context.clone(), route::filter))
}
