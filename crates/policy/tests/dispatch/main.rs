//! Dispatch of routed requests.

mod budget;
mod choice;
mod crowd;
mod doubt;
mod fixture;
mod limits;
mod loans;
mod play;
mod poison;
mod queue;
mod reading;
mod repeat;
mod retries;
mod routes;
mod rule;
mod watch;
