//! At most one run of each non-idempotent request.
