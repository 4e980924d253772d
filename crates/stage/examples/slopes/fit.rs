//! Rows of the table, least-squares fits, and measurement of time and allocated memory.

use std::{alloc::System, hint::black_box, time::Instant};

use cap::Cap;
use tabled::Tabled;

/// Counts the bytes that the process has allocated.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// One measured quantity: its values by size, the fitted line, and the value at the target size.
#[derive(Tabled)]
pub(crate) struct Row {
    what: String,
    unit: &'static str,
    #[tabled(rename = "of")]
    size: &'static str,
    points: String,
    fit: String,
    #[tabled(rename = "at the target")]
    target: String,
}

/// A size and the value measured at it.
pub(crate) type Point = (f64, f64);

impl Row {
    /// Fits a line to the points. The value at `target` is the measured one if there is one,
    /// otherwise that of the line.
    pub(crate) fn new(
        what: impl Into<String>,
        unit: &'static str,
        size: &'static str,
        points: Vec<Point>,
        target: f64,
    ) -> Row {
        let (base, slope, fit) = line(&points);
        let measured = points.iter().find(|(at, _)| *at == target);
        let (value, how) = match measured {
            Some((_, value)) => (*value, "measured"),
            None => (base + slope * target, "fit"),
        };
        let shown = points.iter().map(|(at, value)| format!("{at}: {}", format_value(*value)));
        Row {
            what: what.into(),
            unit,
            size,
            points: shown.collect::<Vec<_>>().join(", "),
            fit: format!("{} + {}·n, R² {fit:.3}", format_value(base), format_value(slope)),
            target: format!("{target}: {} ({how})", format_value(value)),
        }
    }
}

/// Intercept, slope and R² of the least-squares line.
fn line(points: &[Point]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let sum = |of: &dyn Fn(&Point) -> f64| points.iter().map(of).sum::<f64>();
    let xx = sum(&|p| (p.0 - x).powi(2));
    let xy = sum(&|p| (p.0 - x) * (p.1 - y));
    let yy = sum(&|p| (p.1 - y).powi(2));
    let slope = if xx == 0.0 { 0.0 } else { xy / xx };
    let fit = if yy == 0.0 { 1.0 } else { slope * xy / yy };
    (y - slope * x, slope, fit)
}

fn format_value(value: f64) -> String {
    match value.abs() {
        size if 100.0 <= size => format!("{value:.0}"),
        size if 1.0 <= size => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

/// Mean time of a call in microseconds, in the fastest of several rounds.
pub(crate) fn micros<T>(rounds: u32, calls: u32, mut call: impl FnMut() -> T) -> f64 {
    let round = |_| {
        let started = Instant::now();
        (0..calls).for_each(|_| drop(black_box(call())));
        started.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
    };
    (0..rounds).map(round).fold(f64::INFINITY, f64::min)
}

/// Mean allocated memory of one of several copies, in KiB.
pub(crate) fn kibibytes<T>(copies: usize, make: impl Fn() -> T) -> f64 {
    let mut kept: Vec<T> = Vec::with_capacity(copies);
    let before = ALLOCATOR.allocated();
    kept.extend((0..copies).map(|_| make()));
    let after = ALLOCATOR.allocated();
    drop(black_box(kept));
    after.saturating_sub(before) as f64 / 1024.0 / copies as f64
}
