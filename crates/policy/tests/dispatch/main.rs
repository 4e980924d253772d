//! Tests of the dispatcher of routed requests.

mod back_off;
mod breaker;
mod brittle;
mod budget;
mod choice;
mod crowd;
mod fingerprint;
mod fixture;
mod lateness;
mod limits;
mod loans;
mod odd_values;
mod partition;
mod play;
mod poison;
mod poison_parts;
mod queue;
mod reading;
mod repeat;
mod retries;
mod routes;
mod rule;
mod software;
mod speed;
mod uneven;
mod watch;
