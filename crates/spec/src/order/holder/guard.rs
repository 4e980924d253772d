//! The guards of the lease on orders, each of which can be disabled.

/// The guard that is disabled in a variant of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Omission {
    /// All guards are active.
    Nothing,
    /// The store ignores the expected revision of a write.
    ConditionalWrite,
    /// A contender does not wait for the term of the holder to end.
    TermWait,
    /// A contender does not wait for a turn after the term of the holder.
    TurnWait,
    /// An order may be sent up to the end of the term, without regard to its flight time.
    Flight,
    /// A term is counted from the answer to a write, not from its sending.
    SentTime,
    /// The clock of a host does not advance while the host is suspended.
    SuspensionClock,
    /// A write without an answer is treated as done.
    ReadBack,
    /// All runs of a host have one incarnation number, so a run takes the writes of an earlier one
    /// for its own.
    Incarnation,
    /// The fencing token is a count kept by each host, not the revision of the lease.
    RevisionFence,
    /// A prepared order is sent although the fencing token has changed since its preparation.
    Drop,
    /// A prepared order is sent without a check that the term still runs.
    Look,
    /// A released lease may be acquired without the wait that the release asks for.
    Rest,
}
