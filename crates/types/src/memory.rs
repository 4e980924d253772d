//! Accelerator memory.

/// Accelerator memory in MiB.
pub type Mebibytes = u64;
