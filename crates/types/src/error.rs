//! Formatting of errors as text.

/// Returns the text of an error followed by that of its sources, separated by `: `. Many libraries
/// leave the source out of an error's own text, which then lacks the cause.
pub fn chain(error: &dyn std::error::Error) -> String {
    std::iter::successors(Some(error), |e| e.source())
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
