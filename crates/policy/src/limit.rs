//! Adaptive limits on work in flight for each server and model.
