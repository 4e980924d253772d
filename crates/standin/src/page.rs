//! Helper for tests that run the console examples of documentation pages.

/// Whether a line of output matches a line of a page, in which `...` stands for any text. Runs of
/// blanks count as one blank.
pub fn is_shown(output: &str, pattern: &str) -> bool {
    let squeeze = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
    let output = squeeze(output);
    let pattern = squeeze(pattern);
    let mut rest = output.as_str();
    for (index, piece) in pattern.split("...").enumerate() {
        match rest.find(piece) {
            Some(0) => rest = &rest[piece.len()..],
            Some(offset) if index != 0 => rest = &rest[offset + piece.len()..],
            _ => return false,
        }
    }
    rest.is_empty() || pattern.ends_with("...")
}
