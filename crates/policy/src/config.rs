//! Numbered configurations: patches, conflicts, and the number in force.
