//! Bearer token that a listener requires from other hosts and from operators.
//!
//! Tokens are compared by their hashes in constant time, so that the time of a refusal reveals
//! neither their length nor how much of a guess is right.

use http::{
    HeaderMap, HeaderValue,
    header::{AUTHORIZATION, InvalidHeaderValue},
};
use subtle::ConstantTimeEq;

const SCHEME: &str = "Bearer ";

/// Token that callers of a listener must send; the default requires none.
#[derive(Clone, Default)]
pub struct Token(Option<Expected>);

#[derive(Clone)]
struct Expected {
    header: HeaderValue,
    hash: blake3::Hash,
}

impl Token {
    /// Creates a token; `None` admits every caller, which is for loopback only.
    ///
    /// # Errors
    ///
    /// If the token has characters that a header can't carry.
    pub fn new(token: Option<&str>) -> Result<Token, InvalidHeaderValue> {
        Ok(Token(token.map(Expected::new).transpose()?))
    }

    /// Returns the headers that carry the token; no headers if there is none.
    pub(crate) fn headers(&self) -> HeaderMap {
        self.0.iter().map(|expected| (AUTHORIZATION, expected.header.clone())).collect()
    }

    /// Whether the headers carry the token, or none is required. The time that this takes depends
    /// only on the headers.
    pub fn authorizes(&self, headers: &HeaderMap) -> bool {
        let Some(expected) = &self.0 else { return true };
        let sent = headers.get(AUTHORIZATION).map_or(&[][..], HeaderValue::as_bytes);
        expected.hash.as_bytes().ct_eq(blake3::hash(sent).as_bytes()).into()
    }
}

impl Expected {
    fn new(token: &str) -> Result<Expected, InvalidHeaderValue> {
        let mut header = HeaderValue::from_str(&format!("{SCHEME}{token}"))?;
        header.set_sensitive(true);
        let hash = blake3::hash(header.as_bytes());
        Ok(Expected { header, hash })
    }
}

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Token(hidden)" } else { "Token(none)" })
    }
}
