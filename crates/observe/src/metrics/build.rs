//! Construction of instruments, and their limits on the number of series.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use opentelemetry_sdk::metrics::{Instrument, Stream};

/// Maximum number of series of an instrument that is labeled by server.
const LARGE_CARDINALITY: usize = 16 * 1024;

/// Name prefix of the routed path's instruments.
const ROUTED: &str = "routed_";

/// Maximum number of series of an instrument of the routed path; memory for all of them is reserved
/// at the start.
const ROUTED_CARDINALITY: usize = 256;

/// Names of the instruments that are labeled by server.
const PER_SERVER: [&str; 2] = ["limit", "memory"];

pub(super) fn cardinality(instrument: &Instrument) -> Option<Stream> {
    let limit = match instrument.name() {
        name if PER_SERVER.contains(&name) => LARGE_CARDINALITY,
        name if name.starts_with(ROUTED) => ROUTED_CARDINALITY,
        _ => return None,
    };
    Stream::builder().with_cardinality_limit(limit).build().ok()
}

pub(super) fn counter(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

pub(super) fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

pub(super) fn seconds(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    bounds: &[f64],
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(bounds.to_vec())
        .build()
}
