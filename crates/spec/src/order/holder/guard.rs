//! The guards, each of which can be switched off.

/// The guard that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Omission {
    /// All guards are there.
    Nothing,
    /// The store writes whatever the revision is.
    ConditionalWrite,
    /// A contender waits no term.
    TermWait,
    /// A contender waits no turn.
    TurnWait,
    /// An order may leave at the very end of the term.
    Flight,
    /// A term counts from the answer.
    SentTime,
    /// The clock stands still while its host is suspended.
    SuspensionClock,
    /// A write without an answer counts as done.
    ReadBack,
    /// A run of a host takes the writes of an earlier one for its own.
    Incarnation,
    /// The fence is a count that each host keeps.
    RevisionFence,
    /// An order in hand leaves under a later fence than it was prepared under.
    Drop,
    /// An order in hand leaves without a look at the term.
    Look,
    /// A released lease may be taken at once.
    Rest,
}
