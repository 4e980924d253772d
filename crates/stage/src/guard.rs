//! Checks the bearer token of operators and other hosts.
//!
//! [`peer::Token`] does the comparison. Without a token in the settings a listener starts only on a
//! loopback address; with a token that is not a valid header value it doesn't start at all.

use std::{net::SocketAddr, sync::Arc};

use axum::{
    extract::{Request, State},
    http::{HeaderMap, StatusCode, header, header::InvalidHeaderValue},
    middleware::Next,
    response::{IntoResponse, Response},
};
use observe::metrics::Listener;
use peer::Token;

use crate::context::Context;

const SCHEME: &str = "Bearer";

/// A listener's token, if its settings have one.
#[derive(Clone)]
pub struct Guard {
    listener: Listener,
    token: Token,
}

/// Why a listener can't be protected by a token.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The listener has no token and would be open to other machines.
    #[error("the listener for {} at {address} needs a token, since it isn't on loopback", label(*listener))]
    Unprotected {
        /// The listener's users.
        listener: Listener,
        /// Address in the settings.
        address: SocketAddr,
    },
    /// The token is not a valid header value.
    #[error("the token of the listener for {} can't be sent: {cause}", label(*listener))]
    Unsendable {
        /// The listener's users.
        listener: Listener,
        /// Why the header value is invalid.
        cause: InvalidHeaderValue,
    },
}

impl Guard {
    /// Creates the guard of a listener from the token in its settings.
    ///
    /// # Errors
    ///
    /// Fails if there is no token and the address isn't on loopback, or if the token is not a valid
    /// header value.
    pub fn new(
        listener: Listener,
        token: Option<&str>,
        address: SocketAddr,
    ) -> Result<Guard, Error> {
        if token.is_none() && !address.ip().is_loopback() {
            return Err(Error::Unprotected { listener, address });
        }
        let token = Token::new(token).map_err(|cause| Error::Unsendable { listener, cause })?;
        Ok(Guard { listener, token })
    }

    /// Returns the token; if the settings have none, it matches every request.
    pub fn token(&self) -> &Token {
        &self.token
    }

    /// Whether the headers carry the token; always true without one.
    pub fn admits(&self, headers: &HeaderMap) -> bool {
        self.token.authorizes(headers)
    }

    /// Logs and counts a request rejected because of its token.
    pub fn record_refusal(&self, context: &Context, path: &str) {
        context.metrics.denied(self.listener);
        log::warn!(listener = label(self.listener), path = path; "wrong or missing token");
    }
}

/// State of the token filter.
#[derive(Clone)]
pub struct Gate {
    /// Guard of the listener.
    pub guard: Guard,
    /// Shared state, with the metrics that count rejections.
    pub context: Arc<Context>,
}

/// Rejects requests without the token.
pub async fn filter(State(gate): State<Gate>, request: Request, next: Next) -> Response {
    if gate.guard.admits(request.headers()) {
        return next.run(request).await;
    }
    gate.guard.record_refusal(&gate.context, request.uri().path());
    (StatusCode::UNAUTHORIZED, [(header::WWW_AUTHENTICATE, SCHEME)]).into_response()
}

fn label(listener: Listener) -> &'static str {
    match listener {
        Listener::Callers => "callers",
        Listener::Peers => "peers",
        Listener::Operators => "operators",
    }
}
