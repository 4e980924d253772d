//! Tests of how requests of different urgency and of different customers share servers.

mod city;
mod deferrable;
#[path = "../dispatch/fixture.rs"]
#[allow(dead_code)]
mod fixture;
mod shares;
