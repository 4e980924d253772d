//! The token that hosts show each other.

use http::{HeaderMap, HeaderValue, header::AUTHORIZATION};
use subtle::ConstantTimeEq;

const SCHEME: &str = "Bearer ";

/// The token that hosts show each other, or none.
#[derive(Clone, Default)]
pub struct Token(Option<HeaderValue>);

impl Token {
    /// A token; none lets everyone in, which is for loopback only.
    ///
    /// # Errors
    ///
    /// If it holds characters that a header can't carry.
    pub fn new(token: Option<&str>) -> Result<Token, http::header::InvalidHeaderValue> {
        let value = token.map(|token| HeaderValue::from_str(&format!("{SCHEME}{token}")));
        let mut value = value.transpose()?;
        value.iter_mut().for_each(|value| value.set_sensitive(true));
        Ok(Token(value))
    }

    /// The headers that show it.
    pub(crate) fn headers(&self) -> HeaderMap {
        self.0.iter().map(|value| (AUTHORIZATION, value.clone())).collect()
    }

    /// Whether these headers show it; takes the same time for every wrong token of its length.
    pub(crate) fn is_shown_in(&self, headers: &HeaderMap) -> bool {
        let Some(wanted) = &self.0 else { return true };
        let shown = headers.get(AUTHORIZATION).map_or(&[][..], HeaderValue::as_bytes);
        wanted.as_bytes().ct_eq(shown).into()
    }
}

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Token(hidden)" } else { "Token(none)" })
    }
}
