//! Format of durations in lines: whole milliseconds.

pub use types::time::millis;

/// Serde format of an optional duration as whole milliseconds.
pub mod maybe {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::millis;

    /// Serializes whole milliseconds, rounded down.
    pub fn serialize<S: Serializer>(value: &Option<Duration>, to: S) -> Result<S::Ok, S::Error> {
        match value {
            Some(time) => millis::serialize(time, to),
            None => to.serialize_none(),
        }
    }

    /// Deserializes whole milliseconds.
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<u64>::deserialize(from)?.map(Duration::from_millis))
    }
}
