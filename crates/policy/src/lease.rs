//! Leases on duties: they save work, and no safety rests on them.
