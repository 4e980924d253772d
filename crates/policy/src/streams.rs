//! Which version of the server software began a stream.
//!
//! Servers of several versions may serve side by side in one service, and a stream goes on only at
//! the version that began it. A caller that takes a stream up again at another host names the
//! request that brought the stream's first event. So a host that passes the first event of a stream
//! on keeps a [record](records::Records) of the stream's version, and sends it to a few other hosts,
//! drawn by rendezvous hashing from the stream's id. A host that lacks the record of a stream asks
//! the hosts that it would have drawn. If none of them has it, and hosts that had it may be lost, the
//! list of [versions](versions::Versions) may still prove which one it was. Otherwise the version is
//! unknown, and the stream can't go on here.
//!
//! [`Streams`] does no I/O: it takes messages and the current time, and returns messages to send.
//! Messages may be lost, late or duplicated.

mod draw;
mod query;
pub mod records;
pub mod versions;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use types::{backend, host, service, time::Moment};

pub use self::{draw::Peer, records::Origin};
use self::{
    draw::draw,
    query::{Query, Step},
    records::Records,
};
use crate::member::rendezvous;

/// Digest of a stream's service and of the id of the request that brought its first event.
pub type StreamId = u64;

/// Digest of a service and of the version of the software that a server of it runs.
pub type SoftwareId = u64;

/// Time for which a record is kept after it was last used.
pub const RECORD_LIFE: Duration = Duration::from_secs(60);

/// Interval at which the record of a stream that is still running is sent again.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// Prefix of what stands for the software of a run whose registration was not read yet.
const UNREAD_PREFIX: &str = "unread/";

/// Most records that a host keeps.
const MAX_RECORDS: usize = 100_000;

/// Most streams whose version this host asks other hosts for at the same time.
const MAX_QUERIES: usize = 4_096;

/// Most records in one message, so that it fits into a datagram.
const MAX_BATCH: usize = 48;

/// Number of other hosts that get each record, up to and beyond [`MANY_HOSTS`].
const COPIES: usize = 3;
const COPIES_AMONG_MANY: usize = 2;
const MANY_HOSTS: usize = 64;

/// Returns the id of a stream of a service, by the id of the request that brought its first event.
pub fn stream_id(service: &service::Id, request: &str) -> StreamId {
    rendezvous::score(format!("stream/{service}").as_bytes(), request)
}

/// Returns the id of a version of a service's servers.
pub fn software_id(service: &service::Id, software: &str) -> SoftwareId {
    rendezvous::score(format!("software/{service}").as_bytes(), software)
}

/// Returns what stands for the software of a run whose registration was not read yet: a version that
/// no other server has.
pub fn unread_software(run: &backend::Id) -> Arc<str> {
    format!("{UNREAD_PREFIX}{run}").into()
}

/// Returns whether this stands for the software of a run whose registration was not read yet.
pub fn is_unread(software: &str) -> bool {
    software.starts_with(UNREAD_PREFIX)
}

/// A message between hosts about the versions of streams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Streams have begun, or are still running, at the sender.
    Began(Vec<Began>),
    /// The sender asks for the version of a stream.
    Query(StreamId),
    /// Answer to a query.
    Reply {
        /// The stream that was asked for.
        stream: StreamId,
        /// What the sender's records say about it.
        origin: Option<Origin>,
    },
}

/// A stream with the version that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Began {
    /// The stream.
    #[serde(with = "postcard::fixint::le")]
    pub stream: StreamId,
    /// The version that began it.
    #[serde(with = "postcard::fixint::le")]
    pub software: SoftwareId,
}

/// Result of looking up the version of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The version that began the stream, and the host that has answered this host's query; no
    /// host if the record was here.
    Found(SoftwareId, Option<host::Id>),
    /// Streams of several versions began under the same id.
    Ambiguous,
    /// No record of the stream was found.
    Unknown,
    /// Other hosts were asked. The lookup is to be repeated at this time, or when a reply arrives.
    Pending(Moment),
}

/// Records of a host, and its queries to other hosts.
#[derive(Clone, Debug)]
pub struct Streams {
    peers: Vec<Peer>,
    /// When a host with records was last lost; the start of this host counts, as it may have replaced
    /// another.
    lost_at: Moment,
    records: Records,
    queries: BTreeMap<StreamId, Query>,
    began: BTreeMap<host::Id, Vec<Began>>,
    outgoing: Vec<(host::Id, Message)>,
}

impl Default for Streams {
    fn default() -> Streams {
        Streams {
            peers: Vec::new(),
            lost_at: Moment::ZERO,
            records: Records::new(MAX_RECORDS, RECORD_LIFE),
            queries: BTreeMap::new(),
            began: BTreeMap::new(),
            outgoing: Vec::new(),
        }
    }
}

impl Streams {
    /// Sets the other hosts from which packets arrive.
    pub fn set_peers(&mut self, peers: Vec<Peer>, now: Moment) {
        if self.peers == peers {
            return;
        }
        let is_there = |before: &Peer| {
            peers
                .iter()
                .any(|peer| (&peer.id, peer.incarnation) == (&before.id, before.incarnation))
        };
        if !self.peers.iter().all(is_there) {
            self.lost_at = now;
        }
        self.peers = peers;
    }

    /// Returns whether hosts that had the record of a stream may have been lost since the stream was
    /// last in use.
    #[must_use]
    pub fn may_have_lost_records(&self, now: Moment) -> bool {
        now < self.lost_at + RECORD_LIFE
    }

    /// Records that the first event of a stream was passed on, or that the stream is still running,
    /// and sends the record to other hosts.
    pub fn announce(&mut self, stream: StreamId, software: SoftwareId, now: Moment) {
        self.records.insert(stream, software, now);
        let live = self.peers.iter().filter(|peer| peer.is_live);
        for host in draw(stream, live, self.copies()) {
            self.began.entry(host).or_default().push(Began { stream, software });
        }
    }

    /// Looks up the version of a stream, here and then at other hosts.
    pub fn look_up(&mut self, stream: StreamId, now: Moment) -> Lookup {
        if let Some(origin) = self.records.get(stream, now) {
            let query = self.queries.remove(&stream);
            return match origin {
                Origin::Software(software) => {
                    Lookup::Found(software, query.and_then(|query| query.answered_by))
                }
                Origin::Ambiguous => Lookup::Ambiguous,
            };
        }
        if !self.queries.contains_key(&stream) {
            self.queries.retain(|_, query| !query.is_over(now));
            if MAX_QUERIES <= self.queries.len() {
                return Lookup::Unknown;
            }
            let near = draw(stream, self.peers.iter(), self.copies());
            let wide = draw(stream, self.peers.iter(), self.copies() * 2 + 1);
            self.queries.insert(stream, Query::new(near, wide, now));
        }
        let Some(query) = self.queries.get_mut(&stream) else { return Lookup::Unknown };
        match query.step(now) {
            Step::Ask(hosts, next) => {
                let messages = hosts.into_iter().map(|host| (host, Message::Query(stream)));
                self.outgoing.extend(messages);
                Lookup::Pending(next)
            }
            Step::Wait(next) => Lookup::Pending(next),
            Step::GiveUp => {
                self.queries.remove(&stream);
                Lookup::Unknown
            }
        }
    }

    /// Applies another host's message.
    pub fn receive(&mut self, from: &host::Id, message: Message, now: Moment) {
        match message {
            Message::Began(streams) => {
                for Began { stream, software } in streams {
                    self.records.insert(stream, software, now);
                }
            }
            Message::Query(stream) => {
                let origin = self.records.get(stream, now);
                self.outgoing.push((from.clone(), Message::Reply { stream, origin }));
            }
            Message::Reply { stream, origin } => {
                let Some(query) = self.queries.get_mut(&stream) else { return };
                if !query.answered(from, origin.is_some()) {
                    return;
                }
                match origin {
                    Some(Origin::Software(software)) => {
                        self.records.insert(stream, software, now);
                    }
                    Some(Origin::Ambiguous) => self.records.insert_ambiguous(stream, now),
                    None => {}
                }
            }
        }
    }

    /// Returns the messages to send.
    pub fn outgoing(&mut self) -> Vec<(host::Id, Message)> {
        let began = std::mem::take(&mut self.began);
        let began = began.into_iter().flat_map(|(host, streams)| {
            let batches: Vec<_> = streams.chunks(MAX_BATCH).map(<[Began]>::to_vec).collect();
            batches.into_iter().map(move |batch| (host.clone(), Message::Began(batch)))
        });
        let mut messages = std::mem::take(&mut self.outgoing);
        messages.extend(began);
        messages
    }

    /// Number of records that this host keeps.
    pub fn records(&self) -> usize {
        self.records.len()
    }

    /// Number of other hosts that get each record.
    fn copies(&self) -> usize {
        if MANY_HOSTS <= self.peers.len() { COPIES_AMONG_MANY } else { COPIES }
    }
}
