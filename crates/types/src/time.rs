//! Points in time, and serde formats for durations.
//!
//! `policy` reads no clock: callers pass the time in. A [`Moment`] is the time since an origin that
//! the process chooses once, so that a test can start at zero and advance the time freely.

use std::time::Duration;

/// Point in time, as the time since an origin that the process chooses at its start.
pub type Moment = Duration;

/// Serde format of a duration as whole milliseconds.
pub mod millis {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// Serializes whole milliseconds, rounded down.
    pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        u64::try_from(value.as_millis()).unwrap_or(u64::MAX).serialize(serializer)
    }

    /// Deserializes whole milliseconds.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}

/// Serde format of a duration as seconds with a fraction.
pub mod seconds {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

    /// Serializes seconds as a floating-point number.
    pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        value.as_secs_f64().serialize(serializer)
    }

    /// Deserializes seconds; negative values are an error.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let seconds = f64::deserialize(deserializer)?;
        Duration::try_from_secs_f64(seconds).map_err(D::Error::custom)
    }
}
