//! Guards of the ledger, each of which can be disabled to show which failure it prevents.

use std::fmt;

/// A rule of the ledger protocol without which memory is overcommitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A ledger is written only if it has not changed since it was read.
    ConditionalUpdate,
    /// After a lost answer, an order is sent only if its reservation is found in the ledger.
    ReadBack,
    /// The ledger does not rely on fencing by an engine that ignores fencing tokens.
    Unfenced,
    /// Orders that fencing has superseded still count, since a restarted engine may accept them.
    RestartSum,
    /// An unload frees memory once a report shows its effect, not when it is ordered.
    UnloadByReport,
    /// An acknowledgement does not settle an order; a report that shows the effect does.
    EffectByReport,
    /// The absence of a unit from a report does not settle the order to load it.
    AbsenceIsNoEvidence,
    /// A report older than the last applied one is ignored.
    ReportOrder,
    /// A time-out at the sender does not settle an order while its message may be in transit.
    Linger,
    /// A sender combines its evidence only with a report that was read after it had the evidence.
    FreshReport,
    /// A silent planner is not treated as dead.
    PauseIsNotDeath,
    /// A dead planner counts as gone only once none of its messages can be in transit.
    DeadLinger,
}

impl fmt::Display for Guard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Guard::ConditionalUpdate => "conditional update",
            Guard::ReadBack => "reservation read back before order is sent",
            Guard::Unfenced => "no reliance on an engine that ignores fencing tokens",
            Guard::RestartSum => "superseded orders counted for a restarted engine",
            Guard::UnloadByReport => "unload frees memory by report, not by order",
            Guard::EffectByReport => "order settled by report, not by acknowledgement",
            Guard::AbsenceIsNoEvidence => "absence from a report is no evidence",
            Guard::ReportOrder => "older reports ignored",
            Guard::Linger => "time-out is no evidence",
            Guard::FreshReport => "report read after the sender's evidence",
            Guard::PauseIsNotDeath => "silence is no evidence of death",
            Guard::DeadLinger => "linger time of a dead planner's messages",
        })
    }
}
