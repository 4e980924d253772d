//! Bearer token that a listener requires from other hosts and from operators.
//!
//! Tokens are compared by their hashes in constant time, so that the time that a refusal
//! takes reveals neither the length of the token nor how much of a guess is right.

use http::{
    HeaderMap, HeaderValue,
    header::{AUTHORIZATION, InvalidHeaderValue},
};
use subtle::ConstantTimeEq;

const SCHEME: &str = "Bearer ";

/// Token that callers of a listener must send; the default requires none.
#[derive(Clone, Default)]
pub struct Token(Option<Credential>);

#[derive(Clone)]
struct Credential {
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
        Ok(Token(token.map(Credential::new).transpose()?))
    }

    /// Returns the headers that carry the token; no headers if there is none.
    pub(crate) fn headers(&self) -> HeaderMap {
        self.0.iter().map(|credential| (AUTHORIZATION, credential.header.clone())).collect()
    }

    /// Whether the headers carry the token, or none is required. The time that this takes depends
    /// only on the headers.
    pub fn authorizes(&self, headers: &HeaderMap) -> bool {
        let Some(credential) = &self.0 else { return true };
        let sent = headers.get(AUTHORIZATION).map_or(&[][..], HeaderValue::as_bytes);
        credential.hash.as_bytes().ct_eq(blake3::hash(sent).as_bytes()).into()
    }
}

impl Credential {
    fn new(token: &str) -> Result<Credential, InvalidHeaderValue> {
        let mut header = HeaderValue::from_str(&format!("{SCHEME}{token}"))?;
        header.set_sensitive(true);
        let hash = blake3::hash(header.as_bytes());
        Ok(Credential { header, hash })
    }
}

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Token(hidden)" } else { "Token(none)" })
    }
}
