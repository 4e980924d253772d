//! The unit of accelerator memory.

/// An amount of accelerator memory, in MiB.
pub type Mebibytes = u64;
