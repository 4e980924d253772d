//! Errors as text.

/// An error with its sources, since many libraries' own text names none.
pub fn chain(error: &dyn std::error::Error) -> String {
    std::iter::successors(Some(error), |e| e.source())
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
