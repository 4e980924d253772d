//! Error responses as problem documents (RFC 9457).
//!
//! Each states in `ran` whether the request did not run, may have run, or ran. "Did not run" is
//! stated only if no byte of the request can have reached a backend server.

use std::time::Duration;

use axum::{
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use serde_json::json;
use types::request::Ran;

const TYPE_PREFIX: &str = "urn:cyclamenstage:problem:";

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// The body exceeds its size limit.
    BodyTooLarge,
    /// No such model or adapter is declared.
    UnknownModel,
    /// No such service is declared, or the service doesn't offer the model or path.
    UnknownService,
    /// No route has this path.
    UnknownPath,
    /// No backend server can accept the request now.
    NoServer,
    /// The request can't meet its latency target under the current load.
    Overloaded,
    /// No configuration is in force on this host yet.
    NotReady,
    /// A backend server failed after it may have received the request.
    BackendFailed,
    /// The request's deadline has passed.
    Timeout,
    /// The key was claimed before, and no outcome is known.
    KeyInUse,
    /// The key was used for a request with different content.
    KeyReused,
    /// The timestamp in the key is older than the retention of keys.
    KeyExpired,
    /// The timestamp in the key is ahead of the host's clock.
    KeyAhead,
    /// The request ran before, and its answer was not stored.
    AlreadyRan,
    /// Keys can't be claimed now.
    ClaimsUnavailable,
    /// An internal error of the host.
    Internal,
}

impl Kind {
    /// Returns the stable name, with which the document's `type` ends; also a label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::BadRequest => "bad-request",
            Kind::BodyTooLarge => "body-too-large",
            Kind::UnknownModel => "unknown-model",
            Kind::UnknownService => "unknown-service",
            Kind::UnknownPath => "unknown-path",
            Kind::NoServer => "no-server",
            Kind::Overloaded => "overloaded",
            Kind::NotReady => "not-ready",
            Kind::BackendFailed => "backend-failed",
            Kind::Timeout => "timeout",
            Kind::KeyInUse => "key-in-use",
            Kind::KeyReused => "key-reused",
            Kind::KeyExpired => "key-expired",
            Kind::KeyAhead => "key-ahead",
            Kind::AlreadyRan => "already-ran",
            Kind::ClaimsUnavailable => "claims-unavailable",
            Kind::Internal => "internal",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Kind::BadRequest => StatusCode::BAD_REQUEST,
            Kind::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Kind::UnknownModel | Kind::UnknownService | Kind::UnknownPath => StatusCode::NOT_FOUND,
            Kind::NoServer | Kind::Overloaded | Kind::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Kind::BackendFailed => StatusCode::BAD_GATEWAY,
            Kind::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Kind::KeyInUse | Kind::AlreadyRan => StatusCode::CONFLICT,
            Kind::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Kind::KeyExpired => StatusCode::GONE,
            Kind::KeyAhead => StatusCode::BAD_REQUEST,
            Kind::ClaimsUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            Kind::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    fn title(self) -> &'static str {
        match self {
            Kind::BadRequest => "The request can't be understood",
            Kind::BodyTooLarge => "The body is over its limit",
            Kind::UnknownModel => "No such model",
            Kind::UnknownService => "No such service",
            Kind::UnknownPath => "No such path",
            Kind::NoServer => "No backend server can take the request now",
            Kind::Overloaded => "The request can't meet its target now",
            Kind::NotReady => "The host is not ready",
            Kind::BackendFailed => "A backend server failed the request",
            Kind::Timeout => "The request's time is over",
            Kind::KeyInUse => "The key is in use, or its outcome is not known",
            Kind::KeyReused => "The key was used for another request",
            Kind::KeyExpired => "The key is too old",
            Kind::KeyAhead => "The key's time lies ahead",
            Kind::AlreadyRan => "The request ran before",
            Kind::ClaimsUnavailable => "Keys can't be claimed now",
            Kind::Internal => "The host is at fault",
        }
    }
}

/// A failed request, returned to the caller as a problem document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Type of the problem.
    pub kind: Kind,
    /// Explanation for the caller.
    pub detail: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Value of `Retry-After`, if waiting helps.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates a problem for a request that did not run.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Problem {
        Problem { kind, detail: detail.into(), ran: Ran::DidNotRun, retry_after: None }
    }

    /// Sets whether the request ran.
    pub fn ran(mut self, ran: Ran) -> Problem {
        self.ran = ran;
        self
    }

    /// Sets `Retry-After`.
    pub fn retry_after(mut self, wait: Duration) -> Problem {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the problem document.
    pub fn body(&self) -> serde_json::Value {
        json!({
            "type": format!("{TYPE_PREFIX}{}", self.kind.name()),
            "title": self.kind.title(),
            "status": self.kind.status().as_u16(),
            "detail": self.detail,
            "ran": self.ran,
        })
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let mut response = (self.kind.status(), self.body().to_string()).into_response();
        let headers = response.headers_mut();
        let problem = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, problem);
        if let Some(wait) = self.retry_after {
            headers.insert(header::RETRY_AFTER, seconds(wait).into());
        }
        response.extensions_mut().insert(self);
        response
    }
}

/// Whole seconds, rounded up, since the header has no fractions.
fn seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(0 < wait.subsec_nanos())
}
