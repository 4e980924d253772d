//! Placement: which engine holds what, and the moves towards it.
