//! Logs, metrics, the event ring and its merge
