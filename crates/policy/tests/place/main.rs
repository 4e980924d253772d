//! Placement by conditional orders.

mod adapters;
mod book;
mod machine;
mod models;
mod random;
mod wishes;
mod world;
