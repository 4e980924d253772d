//! Counts of what a host sends to the others, by content.

use std::collections::BTreeMap;

use super::{
    notice::Notice,
    wire::{self, Body, Run},
};

/// What a message is about: a notice, or a datagram that carries none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Content {
    /// Changes of tables, and how far other hosts' tables were read.
    Digest,
    /// A sign of life.
    Keepalive,
    /// A greeting.
    Greeting,
    /// Acknowledgements of notices.
    Acknowledgements,
    /// The end of a host.
    Goodbye,
    /// [`Notice::LoadRequested`].
    LoadRequested,
    /// [`Notice::Loaded`].
    Loaded,
    /// [`Notice::Unloaded`].
    Unloaded,
    /// [`Notice::ServerLeaving`].
    ServerLeaving,
    /// [`Notice::DeclarationInForce`].
    Declaration,
    /// [`Notice::LimitChanged`].
    Limit,
    /// [`Notice::Quota`].
    Quota,
    /// [`Notice::CustomerQuota`].
    CustomerQuota,
    /// [`Notice::Loan`].
    Loan,
    /// [`Notice::Demand`].
    Demand,
    /// [`Notice::LeaseAcquired`].
    Lease,
    /// [`Notice::Crash`].
    Crash,
    /// [`Notice::Streams`].
    Streams,
    /// [`Notice::Slots`].
    Slots,
}

impl Content {
    /// Returns the stable identifier.
    pub fn as_str(self) -> &'static str {
        match self {
            Content::Digest => "digest",
            Content::Keepalive => "keepalive",
            Content::Greeting => "greeting",
            Content::Acknowledgements => "acknowledgements",
            Content::Goodbye => "goodbye",
            Content::LoadRequested => "load-requested",
            Content::Loaded => "loaded",
            Content::Unloaded => "unloaded",
            Content::ServerLeaving => "departure",
            Content::Declaration => "declaration",
            Content::Limit => "limit",
            Content::Quota => "quota",
            Content::CustomerQuota => "customer-quota",
            Content::Loan => "loan",
            Content::Demand => "demand",
            Content::Lease => "lease",
            Content::Crash => "crash",
            Content::Streams => "streams",
            Content::Slots => "slots",
        }
    }

    fn of(notice: &Notice) -> Content {
        match notice {
            Notice::LoadRequested { .. } => Content::LoadRequested,
            Notice::Loaded { .. } => Content::Loaded,
            Notice::Unloaded { .. } => Content::Unloaded,
            Notice::ServerLeaving { .. } => Content::ServerLeaving,
            Notice::DeclarationInForce { .. } => Content::Declaration,
            Notice::LimitChanged { .. } => Content::Limit,
            Notice::Quota(_) => Content::Quota,
            Notice::CustomerQuota(_) => Content::CustomerQuota,
            Notice::Loan(_) => Content::Loan,
            Notice::Demand(_) => Content::Demand,
            Notice::LeaseAcquired { .. } => Content::Lease,
            Notice::Crash(_) => Content::Crash,
            Notice::Streams(_) => Content::Streams,
            Notice::Slots(_) => Content::Slots,
        }
    }
}

/// Host whose change a message reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Origin {
    /// The sender.
    Own,
    /// Another host, for which the sender forwards the message.
    Forwarded,
}

impl Origin {
    /// Returns the stable identifier.
    pub fn as_str(self) -> &'static str {
        match self {
            Origin::Own => "own",
            Origin::Forwarded => "forwarded",
        }
    }
}

/// Messages of one content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Volume {
    /// Messages sent, each one once for each receiver and each sending.
    pub messages: u64,
    /// Their bytes: of datagrams without the network's headers, and of notices without those of
    /// the datagram around them.
    pub bytes: u64,
}

impl Volume {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// What a host has sent since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Traffic(BTreeMap<(Content, Origin), Volume>);

impl Traffic {
    /// Returns what was sent of each content and origin; those of which nothing was sent are left
    /// out.
    pub fn iter(&self) -> impl Iterator<Item = (Content, Origin, Volume)> {
        self.0.iter().map(|((content, origin), volume)| (*content, *origin, *volume))
    }

    /// Returns what was sent of one content and origin.
    pub fn of(&self, content: Content, origin: Origin) -> Volume {
        self.0.get(&(content, origin)).copied().unwrap_or_default()
    }

    /// Counts a datagram of `bytes` that the run `own` sends.
    pub(super) fn record(&mut self, own: Run, body: &Body, bytes: usize) {
        let content = match body {
            Body::Digest(_) | Body::Answer(_) => Content::Digest,
            Body::Keepalive => Content::Keepalive,
            Body::Hello(_) => Content::Greeting,
            Body::Acks(_) => Content::Acknowledgements,
            Body::Bye => Content::Goodbye,
            Body::OneShot(notice) => Content::of(notice),
            Body::Notices(items) => {
                for item in items {
                    let origin = if item.origin == own { Origin::Own } else { Origin::Forwarded };
                    let volume = self.0.entry((Content::of(&item.notice), origin)).or_default();
                    volume.add(wire::size(item));
                }
                return;
            }
        };
        self.0.entry((content, Origin::Own)).or_default().add(bytes);
    }
}
