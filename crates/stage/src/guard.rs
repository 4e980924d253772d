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
use subtle::ConstantTimeEq;

const SCHEME: &str = "Bearer ";

/// Which listener a token guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The listener for operators.
    Operators,
    /// The listener for other hosts.
    Peers,
}

impl Role {
    /// Stable word for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Role::Operators => "operators",
            Role::Peers => "peers",
        }
    }
}

/// A listener's token, if its settings have one.
#[derive(Clone)]
pub struct Guard {
    role: Role,
    token: Option<Arc<blake3::Hash>>,
}

/// A listener would be open to strangers.
#[derive(Debug, thiserror::Error)]
#[error("the listener for {} at {address} needs a token, since it isn't on loopback", role.word())]
pub struct Open {
    role: Role,
    address: SocketAddr,
}

impl Guard {
    /// Takes the token of a listener.
    ///
    /// # Errors
    ///
    /// There is no token, and the address isn't on loopback.
    pub fn new(role: Role, token: Option<&str>, address: SocketAddr) -> Result<Guard, Open> {
        if token.is_none() && !address.ip().is_loopback() {
            return Err(Open { role, address });
        }
        let token = token.map(|token| Arc::new(blake3::hash(token.as_bytes())));
        Ok(Guard { role, token })
    }

    /// Whether a request may pass.
    pub fn admits(&self, headers: &HeaderMap) -> bool {
        let Some(token) = &self.token else { return true };
        let shown = headers.get(header::AUTHORIZATION).map_or(&b""[..], |value| value.as_bytes());
        let shown = shown.strip_prefix(SCHEME.as_bytes()).unwrap_or_default();
        blake3::hash(shown).as_bytes().ct_eq(token.as_bytes()).into()
    }

    /// The listener it guards.
    pub fn role(&self) -> Role {
        self.role
    }
}

/// Refuses requests that don't show the token.
pub async fn filter(State(guard): State<Guard>, request: Request, next: Next) -> Response {
    if guard.admits(request.headers()) {
        return next.run(request).await;
    }
    log::warn!(listener = guard.role.word(), path = request.uri().path(); "wrong or missing token");
    (StatusCode::UNAUTHORIZED, [(header::WWW_AUTHENTICATE, SCHEME.trim_end())]).into_response()
}
