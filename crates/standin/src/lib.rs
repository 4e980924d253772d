//! Stand-ins of the systems that hosts meet, the fault proxy, the load generator

pub mod fault;
