//! A routed deployment with real hosts, before stand-ins of the store, the servers and callers.

mod declared;
mod faults;
mod ingress;
mod limits;
mod orders;
mod pages;
mod poison;
mod restarts;
mod serving;
mod silence;
mod site;
mod stops;
mod store;
mod stories;
mod streams;
