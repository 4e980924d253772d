//! Guards of the ledger, each of which can be switched off to show what it is for.

use std::fmt;

/// A guard of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A ledger is written only if it has not changed since it was read.
    ConditionalUpdate,
    /// An order is sent only once its reservation is known to stand.
    ReadBack,
    /// An engine that ignores fencing numbers is known as such.
    Unfenced,
    /// Orders that fencing has put out of date still count for a restarted engine.
    RestartSum,
    /// An unload frees memory when a report shows it, not when it is ordered.
    UnloadByReport,
    /// An acknowledgement does not settle an order before a report shows the effect.
    EffectByReport,
    /// A unit that a report lacks does not settle the order to load it.
    AbsenceIsNoEvidence,
    /// A report older than the last one applied is dropped.
    ReportOrder,
    /// A sender's time-out does not settle its order while a message may be on its way.
    Linger,
    /// A sender names a report that was taken after its word, not one taken before.
    FreshReport,
    /// A planner that is silent is not taken for gone.
    PauseIsNotDeath,
    /// The messages of a dead planner are waited for.
    DeadLinger,
}

impl fmt::Display for Guard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Guard::ConditionalUpdate => "conditional update",
            Guard::ReadBack => "reservation read back before the order is sent",
            Guard::Unfenced => "engine known to ignore fencing numbers",
            Guard::RestartSum => "superseded orders counted for a restarted engine",
            Guard::UnloadByReport => "unload frees by report",
            Guard::EffectByReport => "order settled by report, not by acknowledgement",
            Guard::AbsenceIsNoEvidence => "absence from a report is no evidence",
            Guard::ReportOrder => "older reports dropped",
            Guard::Linger => "time-out is no evidence",
            Guard::FreshReport => "report taken after the word",
            Guard::PauseIsNotDeath => "a silent planner is not gone",
            Guard::DeadLinger => "messages of the dead waited for",
        })
    }
}
