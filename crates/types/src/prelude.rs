//! Commonly used types, for a glob import.

pub use std::{sync::Arc, time::Duration};

pub use crate::{
    adapter, availability, backend, config, customer, customer::Customer, host, host::Host, memory,
    memory::Mebibytes, model, order, priority::Priority, report, request, resident, resident::Unit,
    service, target::Target, time::Moment,
};
