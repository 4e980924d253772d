//! Records of the versions that began streams, in bounded memory.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use types::time::Moment;

use super::{SoftwareId, StreamId};

/// What is recorded of the begin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Origin {
    /// The stream began at this version.
    Software(#[serde(with = "postcard::fixint::le")] SoftwareId),
    /// Streams of several versions began under the same id.
    Ambiguous,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    origin: Origin,
    /// The version under which the record is listed; 0 for ambiguous streams.
    list: SoftwareId,
    used_at: Moment,
}

/// Records of the versions that began streams.
///
/// A record expires some time after it was last used. If there are too many, the oldest one of the
/// version that has the most is dropped, so that no service drives out the records of others.
#[derive(Clone, Debug)]
pub struct Records {
    capacity: usize,
    life: Duration,
    streams: BTreeMap<StreamId, Record>,
    /// Streams by version, in the order of their last use.
    lists: BTreeMap<SoftwareId, BTreeSet<(Moment, StreamId)>>,
}

impl Records {
    /// Creates an empty set of records, of this capacity and life.
    pub fn new(capacity: usize, life: Duration) -> Records {
        Records { capacity, life, streams: BTreeMap::new(), lists: BTreeMap::new() }
    }

    /// Records that a stream began at a version. If another version is recorded, the stream becomes
    /// ambiguous.
    pub fn insert(&mut self, stream: StreamId, software: SoftwareId, now: Moment) {
        let origin = match self.get(stream, now) {
            None => Origin::Software(software),
            Some(known) if known == Origin::Software(software) => known,
            Some(_) => Origin::Ambiguous,
        };
        self.put(stream, origin, now);
    }

    /// Records that streams of several versions began under the same id.
    pub fn insert_ambiguous(&mut self, stream: StreamId, now: Moment) {
        self.put(stream, Origin::Ambiguous, now);
    }

    /// Returns what is recorded of a stream, and extends the life of the record.
    pub fn get(&mut self, stream: StreamId, now: Moment) -> Option<Origin> {
        let record = *self.streams.get(&stream)?;
        self.remove(stream);
        if record.used_at + self.life <= now {
            return None;
        }
        self.put(stream, record.origin, now);
        Some(record.origin)
    }

    /// Number of records, expired ones included.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn put(&mut self, stream: StreamId, origin: Origin, now: Moment) {
        self.remove(stream);
        self.expire(now);
        if self.capacity <= self.streams.len() {
            let longest = self.lists.values().max_by_key(|list| list.len());
            if let Some((_, oldest)) = longest.and_then(|list| list.first().copied()) {
                self.remove(oldest);
            }
        }
        let list = match origin {
            Origin::Software(software) => software,
            Origin::Ambiguous => 0,
        };
        self.streams.insert(stream, Record { origin, list, used_at: now });
        self.lists.entry(list).or_default().insert((now, stream));
    }

    fn remove(&mut self, stream: StreamId) {
        let Some(record) = self.streams.remove(&stream) else { return };
        let Some(list) = self.lists.get_mut(&record.list) else { return };
        list.remove(&(record.used_at, stream));
        if list.is_empty() {
            self.lists.remove(&record.list);
        }
    }

    fn expire(&mut self, now: Moment) {
        let life = self.life;
        let expired: Vec<StreamId> = self
            .lists
            .values()
            .flat_map(|list| list.iter().take_while(|(used_at, _)| *used_at + life <= now))
            .map(|(_, stream)| *stream)
            .collect();
        expired.into_iter().for_each(|stream| self.remove(stream));
    }
}
