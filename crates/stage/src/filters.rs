//! The filters that a call passes through, each a tower layer with one job.
//!
//! A call passes through them in this order: account, configuration in force, identify, admit, at
//! most once, route, attempt. The answer is delivered on the way back, and the account is closed
//! after its last byte. Admission reserves capacity before the slower filters run. Filters are
//! independent of each other: they communicate only by the extensions they add to the request.

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
use types::{config::NumberedConfig, prelude::*, request::Request};

use crate::{
    context::Context,
    problem::{self, Problem},
};

/// An identified call, passed from filter to filter.
#[derive(Clone, Debug)]
pub struct Call {
    /// Properties of the request that decisions use.
    pub request: Arc<Request>,
    /// Configuration under which the call runs from start to end.
    pub numbered: Arc<NumberedConfig>,
    /// When the host identified the call; a model's request body has been read by then.
    pub received: Moment,
    /// Target of the call: a model or a plain service.
    pub kind: Kind,
}

impl Call {
    /// Returns the time left until the call's deadline.
    pub fn time_left(&self, context: &Context) -> Duration {
        (self.received + self.request.deadline).saturating_sub(context.now())
    }
}

/// Target of a call.
#[derive(Clone, Debug)]
pub enum Kind {
    /// Completion by a model.
    Model(Arc<ModelRequest>),
    /// Request to a plain service.
    Plain {
        /// Group of the servers that offer the service.
        group: backend::Group,
        /// Path and query passed on to the server.
        path: Arc<str>,
    },
}

/// A request to a model.
#[derive(Debug)]
pub struct ModelRequest {
    /// Whether the answer consists of chat messages or plain text.
    pub shape: Shape,
    /// Whether the caller wants a stream.
    pub delivery: Delivery,
    /// Body sent to the engine, which always requests a stream.
    pub body: Bytes,
}

/// Format of a model's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Chat messages.
    Chat,
    /// Plain text.
    Text,
}

impl Shape {
    /// Returns the engine's path for this format.
    pub fn path(self) -> &'static str {
        match self {
            Shape::Chat => "/v1/chat/completions",
            Shape::Text => "/v1/completions",
        }
    }
}

/// How the answer is delivered to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Token by token, as server-sent events.
    Streamed,
    /// In one response body.
    Buffered,
}

/// Wraps a router in the filters between identification and the attempt.
///
/// The layer added last is the first that a call passes through: correction of `ran`, admit, at
/// most once, route.
pub fn stack(router: Router<Arc<Context>>, context: &Arc<Context>) -> Router<Arc<Context>> {
    router
        .layer(from_fn_with_state(context.clone(), route::filter))
        .layer(from_fn_with_state(context.clone(), once::filter))
        .layer(from_fn_with_state(context.clone(), admit::filter))
        .layer(from_fn(once::correct_ran))
}

/// Returns the extension that an earlier filter has added to the request.
///
/// # Errors
///
/// Fails if the filters are stacked in the wrong order.
pub fn extension<T: Clone + Send + Sync + 'static>(extensions: &Extensions) -> Result<T, Problem> {
    extensions
        .get::<T>()
        .cloned()
        .ok_or_else(|| Problem::new(problem::Kind::Internal, "an earlier filter is missing"))
}
