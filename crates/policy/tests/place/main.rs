//! Tests of placement by conditional orders.

mod adapters;
mod effort;
mod machine;
mod models;
mod random;
mod server_view;
mod speeds;
mod unplaced;
mod world;
