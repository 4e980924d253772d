//! Datagrams.
//!
//! Everything is written by `postcard`. A digest never names a thing twice to a host that has
//! acknowledged its name: later lines carry a small slot number and the new figures only.

use serde::{Deserialize, Serialize};

use super::{
    fact::{Fact, Member},
    notice::Notice,
};

/// Most bytes of a datagram.
pub const DATAGRAM_BYTES: usize = 1_200;

/// Bytes of a datagram that are kept for its head.
pub(super) const HEAD_BYTES: usize = 100;

/// First byte of each datagram.
const FORMAT: u8 = 0xC1;

/// A run of a host's process; differs between hosts, too, should two have the same incarnation.
pub(super) type Run = u64;

/// Number of a change within a table; rises.
pub(super) type Edition = u64;

/// Place of a fact within a table.
pub(super) type Slot = u32;

/// Number of a notice, unique within its sender's run.
pub(super) type Number = u64;

/// What a host sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Packet {
    /// The sender's run.
    #[serde(with = "postcard::fixint::le")]
    pub(super) run: Run,
    /// Packets that this run has sent, this one among them.
    pub(super) count: u32,
    pub(super) body: Body,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Body {
    Digest(Digest),
    /// A digest of a host that answers one and wants no answer itself.
    Answer(Digest),
    /// Nothing but that the sender is there.
    Keepalive,
    Hello(Hello),
    Notices(Vec<Item>),
    Acks(Vec<(Run, Number)>),
    Bye,
    /// A notice that is neither acknowledged nor sent again, to one run of a host.
    OneShot(Notice),
}

/// Who the sender is, and whom it knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) member: Member,
    pub(super) reply: Reply,
    pub(super) known: Vec<Member>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) enum Reply {
    Nothing,
    /// The receiver is to say who it is.
    Identity,
    /// The receiver is to say whom it knows, too.
    Members,
}

/// What changed since the receiver last said what it has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Digest {
    /// The end of the run that it is meant for; others ignore it.
    #[serde(with = "postcard::fixint::le")]
    pub(super) to: u32,
    /// What the sender has of the receiver's tables.
    pub(super) marks: Vec<(Scope, Mark)>,
    pub(super) deltas: Vec<Delta>,
}

/// The end of a run's number, enough to tell one run from the next.
pub(super) fn tail(run: Run) -> u32 {
    run as u32
}

/// Whose facts a table holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) enum Scope {
    /// The sender's own.
    Own,
    /// The sums of the sender's group.
    Group,
    /// The sums of all other groups.
    Rest,
}

impl Scope {
    pub(super) const ALL: [Scope; 3] = [Scope::Own, Scope::Group, Scope::Rest];
}

/// How far the sender has read a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Mark {
    /// Up to here.
    Read(Edition),
    /// Up to here, and what came later does not join up.
    Gap(Edition),
}

/// The changes of a table after one edition, up to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Delta {
    pub(super) scope: Scope,
    /// Drops up to here are no longer told.
    pub(super) floor: Edition,
    pub(super) from: Edition,
    /// Editions that this goes on for.
    pub(super) span: Edition,
    pub(super) extent: Extent,
    pub(super) lines: Vec<Line>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Extent {
    /// All changes so far.
    Complete,
    /// More follow.
    Partial,
}

/// A changed fact.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Line {
    /// Editions since the line before it, or since the table's start.
    pub(super) step: Edition,
    pub(super) slot: Slot,
    pub(super) change: Change,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Change {
    /// Another first number.
    One(u64),
    /// Other numbers.
    Two(u64, u64),
    /// The whole fact.
    Fact(Fact),
    /// No longer told.
    Removed,
}

/// A notice on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Item {
    /// The run that first sent it.
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
    // Writing into memory can't fail for these types; an empty datagram is ignored by readers.
    postcard::to_extend(packet, vec![FORMAT]).unwrap_or_default()
}

/// A packet, if the bytes are one.
pub(super) fn decode(bytes: &[u8]) -> Option<Packet> {
    let (&FORMAT, rest) = bytes.split_first()? else { return None };
    match postcard::take_from_bytes(rest) {
        Ok((packet, [])) => Some(packet),
        _ => None,
    }
}
