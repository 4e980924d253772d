//! Admission: what to take, what to make wait, what to refuse early as not run.
