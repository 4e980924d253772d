//! Numbered configurations: patches, conflicts, and the number in force.

pub mod check;

/// JSON pointer (RFC 6901) of names, one below the other.
pub fn pointer(names: &[&str]) -> String {
    names.iter().map(|name| format!("/{}", name.replace('~', "~0").replace('/', "~1"))).collect()
}
