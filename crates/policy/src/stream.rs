//! Token streams: each token once, in order, resumed by offset.
