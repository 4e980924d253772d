//! Label values of the host's metrics.

/// Whether a request met its latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Attainment {
    /// The target was met.
    Met,
    /// The target was missed, or the request was refused.
    Missed,
}

impl Attainment {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Attainment::Met => "met",
            Attainment::Missed => "missed",
        }
    }
}

/// Kind of remote endpoint that control traffic is exchanged with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    /// Other hosts.
    Peers,
    /// The platform's object API and host list.
    Platform,
    /// Backend servers: their load reports, and orders to them.
    Servers,
    /// Operators.
    Operators,
}

impl Link {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Link::Peers => "peers",
            Link::Platform => "platform",
            Link::Servers => "servers",
            Link::Operators => "operators",
        }
    }
}

/// Direction of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// Received by this host.
    In,
    /// Sent by this host.
    Out,
}

impl Direction {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Direction::In => "in",
            Direction::Out => "out",
        }
    }
}

/// State of a part of a server's accelerator memory, according to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Memory {
    /// Reserved for units that are resident or ordered.
    Promised,
    /// Reserved for an order whose effect is not proven yet.
    InDoubt,
    /// Available for reservations.
    Free,
}

impl Memory {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Memory::Promised => "promised",
            Memory::InDoubt => "in-doubt",
            Memory::Free => "free",
        }
    }
}

/// Kind of member of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Member {
    /// An entry host.
    Host,
    /// A backend server.
    Server,
}

impl Member {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Member::Host => "host",
            Member::Server => "server",
        }
    }
}

/// A host's listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Listener {
    /// For callers.
    Callers,
    /// For other hosts.
    Peers,
    /// For operators.
    Operators,
}

impl Listener {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Listener::Callers => "callers",
            Listener::Peers => "peers",
            Listener::Operators => "operators",
        }
    }
}
