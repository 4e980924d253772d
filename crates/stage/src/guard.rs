//! The token that operators and other hosts must show.
//!
//! The comparison is [`peer::Token`]'s. Without a token in the settings a listener only starts on a
//! loopback address; with one that no header can carry it doesn't start at all.

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

/// Why a listener can't be guarded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It would be open to strangers.
    #[error("the listener for {} at {address} needs a token, since it isn't on loopback", label(*listener))]
    Unprotected {
        /// Whom it is for.
        listener: Listener,
        /// The address in the settings.
        address: SocketAddr,
    },
    /// Nobody could show its token.
    #[error("the token of the listener for {} can't be sent: {cause}", label(*listener))]
    Unsendable {
        /// Whom it is for.
        listener: Listener,
        /// Why.
        cause: InvalidHeaderValue,
    },
}

impl Guard {
    /// Takes the token of a listener.
    ///
    /// # Errors
    ///
    /// There is no token, and the address isn't on loopback; or no header can carry the token.
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

    /// The token.
    pub fn token(&self) -> &Token {
        &self.token
    }

    /// Whether a request may pass.
    pub fn admits(&self, headers: &HeaderMap) -> bool {
        self.token.is_shown_in(headers)
    }

    /// Notes a refusal.
    pub fn record_refusal(&self, context: &Context, path: &str) {
        context.metrics.denied(self.listener);
        log::warn!(listener = label(self.listener), path = path; "wrong or missing token");
    }
}

/// A guard, and where it notes refusals.
#[derive(Clone)]
pub struct Gate {
    /// The guard.
    pub guard: Guard,
    /// What the host shares.
    pub context: Arc<Context>,
}

/// Refuses requests that don't show the token.
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
