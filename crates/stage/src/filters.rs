//! The row of filters that a call goes through, each a tower layer with one job.
//!
//! In the order that a call meets them: account, in force, identify, admit, at most once,
//! quarantine, route, attempt; the answer is delivered on the way back, and the account is closed
//! when its last byte has gone. Admission holds a place before the slower filters run, and none of
//! them knows of the others but by what they add to the request's extensions.

pub mod account;
pub mod admit;
pub mod attempt;
pub mod deliver;
pub mod identify;
pub mod in_force;
pub mod once;
pub mod route;

use std::sync::Arc;

use axum::{
    Router,
    http::Extensions,
    middleware::{from_fn, from_fn_with_state},
};
use bytes::Bytes;
use types::{config::Numbered, prelude::*, request::Request};

use crate::{
    context::Context,
    problem::{self, Problem},
};

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

impl Call {
    /// Time left until its deadline.
    pub fn time_left(&self, context: &Context) -> Duration {
        (self.received + self.request.deadline).saturating_sub(context.now())
    }
}

/// What a call asks for.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A model's answer.
    Model(Arc<ModelRequest>),
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
pub struct ModelRequest {
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
    Buffered,
}

/// Lays the filters between identification and the attempt around a router.
///
/// The last layer is the first that a call meets: admit, at most once, quarantine, route.
pub fn stack(router: Router<Arc<Context>>, context: &Arc<Context>) -> Router<Arc<Context>> {
    router
        .layer(from_fn_with_state(context.clone(), route::filter))
        .layer(from_fn_with_state(context.clone(), once::filter))
        .layer(from_fn_with_state(context.clone(), admit::filter))
        .layer(from_fn(once::correct_ran))
}

/// The extension that an earlier filter of the row has added.
///
/// # Errors
///
/// If the row was put together wrongly.
pub fn extension<T: Clone + Send + Sync + 'static>(extensions: &Extensions) -> Result<T, Problem> {
    extensions
        .get::<T>()
        .cloned()
        .ok_or_else(|| Problem::new(problem::Kind::Internal, "a filter is missing in the row"))
}
