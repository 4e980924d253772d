//! What identifies a request, however often it is sent and whichever host it reaches.
//!
//! Each attempt has its own id, deadline and connection, so none of these is included. All that a
//! server may depend on is: a request that crashes servers must not be taken for one that differs in
//! its method, its query or its caller only.

use types::customer::KeyDigest;

/// Identifies a request: the digest of its [`Content`], the same on every host.
pub type Fingerprint = u64;

/// Domain of the digests, so that they differ from digests of the same bytes that are made for
/// another purpose.
const CONTEXT: &str = "cyclamenstage 2026-12-06 request fingerprint";

/// The caller of a request, as far as servers can tell it from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller<'a> {
    /// The request names no caller.
    Unnamed,
    /// A declared customer, by its name: its keys may change.
    Customer(&'a str),
    /// Whoever holds this key, where no customers are declared.
    Key(KeyDigest),
}

/// The properties that all attempts of a request have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Content<'a> {
    /// Host that the request names.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The caller.
    pub caller: Caller<'a>,
    /// Body.
    pub body: &'a [u8],
}

impl Content<'_> {
    /// Returns the digest by which the request is known.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        let (kind, caller) = match self.caller {
            Caller::Unnamed => ("unnamed", String::new()),
            Caller::Customer(name) => ("customer", name.to_owned()),
            Caller::Key(key) => ("key", key.into()),
        };
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        for field in [self.host, self.method, self.target, kind, &caller] {
            update(&mut hasher, field.as_bytes());
        }
        update(&mut hasher, self.body);
        let mut digest = [0; size_of::<Fingerprint>()];
        hasher.finalize_xof().fill(&mut digest);
        Fingerprint::from_le_bytes(digest)
    }
}

/// Adds a field with its length, so that no two lists of fields have the same bytes.
fn update(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes()).update(field);
}
