//! The small specification and its exhaustive exploration
