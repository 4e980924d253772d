//! The datagrams' format.
//!
//! Everything is written by `postcard`, by position. A digest does not repeat a fact's key to a
//! reader that has acknowledged it: later lines carry a small slot number and the new numbers only.

use serde::{Deserialize, Serialize};

use super::{
    fact::{Fact, Member},
    notice::Notice,
};

/// Most payload bytes of a datagram.
pub const DATAGRAM_BYTES: usize = 1_200;

/// Payload bytes that are reserved for the packet's head.
pub(super) const HEAD_BYTES: usize = 100;

/// First byte of each datagram.
const FORMAT: u8 = 0xC1;

/// Number of one run of a host's process. It differs between hosts even if two use the same
/// incarnation.
pub(super) type Run = u64;

/// Number of a change within a table; later changes have higher ones.
pub(super) type Edition = u64;

/// Number of a fact within a table.
pub(super) type Slot = u32;

/// Number of a notice, unique within its sender's run.
pub(super) type Number = u64;

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Packet {
    /// The sender's run.
    #[serde(with = "postcard::fixint::le")]
    pub(super) run: Run,
    /// Number of packets that this run has sent, this one included.
    pub(super) count: u32,
    pub(super) body: Body,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Body {
    Digest(Digest),
    /// A digest that answers another one and is not answered itself.
    Answer(Digest),
    /// Only shows that the sender is running.
    Keepalive,
    Hello(Hello),
    Notices(Vec<Item>),
    Acks(Vec<(Run, Number)>),
    /// The sender's process ends.
    Bye,
    /// A notice that is neither acknowledged nor sent again, addressed to one run of a host.
    OneShot(Notice),
}

/// Greeting: the sender's identity, and hosts that it knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) member: Member,
    pub(super) reply: Reply,
    pub(super) known: Vec<Member>,
}

/// What the sender of a greeting asks its receiver for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) enum Reply {
    Nothing,
    /// The receiver is asked for its identity.
    Identity,
    /// The receiver is asked for its identity and for all hosts that it knows.
    Members,
}

/// Changes that the receiver has not acknowledged, and acknowledgements of its own tables.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Digest {
    /// Low bits of the receiving run; other runs ignore the digest.
    #[serde(with = "postcard::fixint::le")]
    pub(super) to: u32,
    /// How far the sender has read the receiver's tables.
    pub(super) marks: Vec<(Scope, Mark)>,
    pub(super) deltas: Vec<Delta>,
}

/// Low bits of a run's number, enough to distinguish it from the run before it.
pub(super) fn tail(run: Run) -> u32 {
    run as u32
}

/// Whose facts a table contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) enum Scope {
    /// The sender's own facts.
    Own,
    /// The aggregated facts of the sender's group.
    Group,
    /// The aggregated facts of all other groups.
    Rest,
}

impl Scope {
    pub(super) const ALL: [Scope; 3] = [Scope::Own, Scope::Group, Scope::Rest];
}

/// How far the sender has read a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Mark {
    /// Everything up to this edition.
    Read(Edition),
    /// Everything up to this edition; a later delta arrived that does not continue there.
    Gap(Edition),
}

/// The changes of a table after one edition, up to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Delta {
    pub(super) scope: Scope,
    /// Removals up to this edition are no longer advertised; a reader behind it has to start over.
    pub(super) floor: Edition,
    pub(super) from: Edition,
    /// Number of editions that the delta covers.
    pub(super) span: Edition,
    pub(super) extent: Extent,
    pub(super) lines: Vec<Line>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Extent {
    /// The delta contains all changes up to the newest edition.
    Complete,
    /// More changes follow in later digests.
    Partial,
}

/// A changed fact.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Line {
    /// Editions since the line before it, or since the delta's start.
    pub(super) step: Edition,
    pub(super) slot: Slot,
    pub(super) change: Change,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Change {
    /// A new first number; the second one is 0.
    One(u64),
    /// New numbers.
    Two(u64, u64),
    /// The fact in full, with its key.
    Fact(Fact),
    /// The fact was removed.
    Removed,
}

/// A notice in transit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Item {
    /// The run that first sent the notice.
    #[serde(with = "postcard::fixint::le")]
    pub(super) origin: Run,
    pub(super) number: Number,
    pub(super) notice: Notice,
}

/// Bytes that a value takes in a datagram.
pub(super) fn size(value: &impl Serialize) -> usize {
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default())
        .unwrap_or(usize::MAX)
}

pub(super) fn encode(packet: &Packet) -> Vec<u8> {
    // Writing into memory can't fail for these types; readers ignore an empty datagram.
    postcard::to_extend(packet, vec![FORMAT]).unwrap_or_default()
}

/// Decodes a packet; none if the bytes are not exactly one.
pub(super) fn decode(bytes: &[u8]) -> Option<Packet> {
    let (&FORMAT, rest) = bytes.split_first()? else { return None };
    match postcard::take_from_bytes(rest) {
        Ok((packet, [])) => Some(packet),
        _ => None,
    }
}
