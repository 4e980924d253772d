//! Requests that crash the servers which run them.
