//! Which failures are tried again, and the budget for it.
