//! What may crash servers: a request, or a part of prompts.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{Error, Visitor},
};

use super::Fingerprint;

/// Prefix of the name of a part.
const PART_PREFIX: &str = "part-";

/// What may crash the servers that run it.
///
/// The name of a request is its fingerprint in 16 hexadecimal digits, that of a part begins with
/// `part-`. In formats that are read by people, a request is a number and a part is its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A request, by its fingerprint.
    Request(Fingerprint),
    /// A part of prompts, by its id. The last part of a prompt belongs to its request alone and is
    /// never a subject.
    Part(u64),
}

impl From<Fingerprint> for Subject {
    fn from(request: Fingerprint) -> Subject {
        Subject::Request(request)
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Request(fingerprint) => write!(f, "{fingerprint:016x}"),
            Subject::Part(id) => write!(f, "{PART_PREFIX}{id:016x}"),
        }
    }
}

impl FromStr for Subject {
    type Err = ParseIntError;

    fn from_str(name: &str) -> Result<Subject, ParseIntError> {
        let parse = |digits| u64::from_str_radix(digits, 16);
        match name.strip_prefix(PART_PREFIX) {
            Some(digits) => parse(digits).map(Subject::Part),
            None => parse(name).map(Subject::Request),
        }
    }
}

impl Serialize for Subject {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match (serializer.is_human_readable(), self) {
            (true, Subject::Request(fingerprint)) => fingerprint.serialize(serializer),
            (true, Subject::Part(_)) => serializer.collect_str(self),
            (false, Subject::Request(fingerprint)) => (false, fingerprint).serialize(serializer),
            (false, Subject::Part(id)) => (true, id).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Subject {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Subject, D::Error> {
        if deserializer.is_human_readable() {
            return deserializer.deserialize_any(Readable);
        }
        let (is_part, id) = <(bool, u64)>::deserialize(deserializer)?;
        Ok(if is_part { Subject::Part(id) } else { Subject::Request(id) })
    }
}

/// Reads a subject from a format that is read by people.
struct Readable;

impl Visitor<'_> for Readable {
    type Value = Subject;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the fingerprint of a request, or the name of a part")
    }

    fn visit_u64<E: Error>(self, fingerprint: u64) -> Result<Subject, E> {
        Ok(Subject::Request(fingerprint))
    }

    fn visit_str<E: Error>(self, name: &str) -> Result<Subject, E> {
        name.parse().map_err(E::custom)
    }
}
