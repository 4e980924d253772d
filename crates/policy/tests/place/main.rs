//! Tests of placement by conditional orders.

mod adapters;
mod effort;
mod machine;
mod models;
mod pace;
mod random;
mod server_view;
mod speeds;
mod unplaced;
mod world;
