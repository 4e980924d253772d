//! Metrics of what hosts send each other.

use opentelemetry::{
    KeyValue,
    metrics::{BoundGauge, Gauge, Meter},
};

use super::{
    Routed, each,
    labels::{Direction, Label},
};
use crate::metrics::build::gauge;

/// The instruments, all of which count since the start of the process.
#[derive(Debug)]
pub(super) struct Exchange {
    panics: BoundGauge<u64>,
    datagrams: Box<[BoundGauge<u64>]>,
    bytes: Box<[BoundGauge<u64>]>,
    messages: Gauge<u64>,
    message_bytes: Gauge<u64>,
    lost: BoundGauge<u64>,
    refused: BoundGauge<u64>,
}

impl Exchange {
    pub(super) fn new(meter: &Meter) -> Exchange {
        let datagrams = gauge(
            meter,
            "routed_exchange_datagrams",
            "Datagrams exchanged with other hosts since the start of the host",
        );
        let bytes = gauge(
            meter,
            "routed_exchange_bytes",
            "Payload bytes of datagrams exchanged with other hosts since the start of the host",
        );
        Exchange {
            panics: gauge(
                meter,
                "routed_exchange_panics",
                "Panics in the exchange with the other hosts since the start of the host",
            )
            .bind(&[]),
            datagrams: each(|direction: Direction| datagrams.bind(&[direction.key_value()])),
            bytes: each(|direction: Direction| bytes.bind(&[direction.key_value()])),
            messages: gauge(
                meter,
                "routed_exchange_messages",
                "Messages sent to other hosts since the start of the host, by content and origin",
            ),
            message_bytes: gauge(
                meter,
                "routed_exchange_message_bytes",
                "Bytes of messages sent to other hosts since the start of the host, by content and \
                 origin",
            ),
            lost: gauge(
                meter,
                "routed_exchange_lost",
                "Notices that were not acknowledged, or not queued because the outbox was full",
            )
            .bind(&[]),
            refused: gauge(
                meter,
                "routed_exchange_refused",
                "Notices refused because the inbox was full",
            )
            .bind(&[]),
        }
    }
}

impl Routed {
    /// Sets the number of panics in the exchange with the other hosts since the start of the process.
    pub fn exchange_panics(&self, panics: u64) {
        self.0.exchange.panics.record(panics);
    }

    /// Sets the number of datagrams of a direction since the start of the process, and of their
    /// payload bytes.
    pub fn exchange(&self, direction: Direction, datagrams: u64, bytes: u64) {
        self.0.exchange.datagrams[direction.index()].record(datagrams);
        self.0.exchange.bytes[direction.index()].record(bytes);
    }

    /// Sets the number of messages of a content and origin that were sent to other hosts since the
    /// start of the process, and of their bytes.
    pub fn exchange_messages(
        &self,
        content: &'static str,
        origin: &'static str,
        messages: u64,
        bytes: u64,
    ) {
        let labels = [KeyValue::new("content", content), KeyValue::new("origin", origin)];
        self.0.exchange.messages.record(messages, &labels);
        self.0.exchange.message_bytes.record(bytes, &labels);
    }

    /// Sets the number of notices that were given up since the start of the process.
    pub fn exchange_lost(&self, notices: u64) {
        self.0.exchange.lost.record(notices);
    }

    /// Sets the number of notices that were refused since the start of the process because the inbox
    /// was full; one that is sent again and refused again counts each time.
    pub fn exchange_refused(&self, notices: u64) {
        self.0.exchange.refused.record(notices);
    }
}
