//! Tests of a routed deployment: real host processes with simulated callers, servers and store.

mod back_off;
mod declared;
mod drain_notices;
mod endless;
mod faults;
mod ingress;
mod limits;
mod orders;
mod organisations;
mod pages;
mod partition;
mod pauses;
mod poison;
mod poison_parts;
mod relays;
mod restarts;
mod resumptions;
mod serving;
mod silence;
mod site;
mod skew;
mod stops;
mod store;
mod stories;
mod streams;
mod versions;
