//! The token that operators and other hosts must show.
//!
//! Tokens are compared by their hashes in constant time, so that neither their length nor how much
//! of a guess is right can be read from the time of a refusal. Without a token in the settings a
//! listener only starts on a loopback address.

use std::{net::SocketAddr, sync::Arc};

use axum::{
    extract::{Request, State},
    http::{HeaderMap, StatusCode, header},
    middleware::Next,
    response::{IntoResponse, Response},
};
use observe::metrics::Listener;
use subtle::ConstantTimeEq;

use crate::context::Context;

const SCHEME: &str = "Bearer ";

/// A listener's token, if its settings have one.
#[derive(Clone)]
pub struct Guard {
    listener: Listener,
    token: Option<Arc<blake3::Hash>>,
}

/// A listener would be open to strangers.
#[derive(Debug, thiserror::Error)]
#[error("the listener for {} at {address} needs a token, since it isn't on loopback", word(*listener))]
pub struct Open {
    listener: Listener,
    address: SocketAddr,
}

impl Guard {
    /// Takes the token of a listener.
    ///
    /// # Errors
    ///
    /// There is no token, and the address isn't on loopback.
    pub fn new(
        listener: Listener,
        token: Option<&str>,
        address: SocketAddr,
    ) -> Result<Guard, Open> {
        if token.is_none() && !address.ip().is_loopback() {
            return Err(Open { listener, address });
        }
        let token = token.map(|token| Arc::new(blake3::hash(token.as_bytes())));
        Ok(Guard { listener, token })
    }

    /// Whether a request may pass.
    pub fn admits(&self, headers: &HeaderMap) -> bool {
        let Some(token) = &self.token else { return true };
        let shown = headers.get(header::AUTHORIZATION).map_or(&b""[..], |value| value.as_bytes());
        let shown = shown.strip_prefix(SCHEME.as_bytes()).unwrap_or_default();
        blake3::hash(shown).as_bytes().ct_eq(token.as_bytes()).into()
    }

    /// Notes a refusal.
    pub fn refused(&self, context: &Context, path: &str) {
        context.metrics.denied(self.listener);
        log::warn!(listener = word(self.listener), path = path; "wrong or missing token");
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
    gate.guard.refused(&gate.context, request.uri().path());
    (StatusCode::UNAUTHORIZED, [(header::WWW_AUTHENTICATE, SCHEME.trim_end())]).into_response()
}

fn word(listener: Listener) -> &'static str {
    match listener {
        Listener::Callers => "callers",
        Listener::Peers => "peers",
        Listener::Operators => "operators",
    }
}
