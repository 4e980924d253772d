//! Points, lines through them, and the process's memory.

use std::{alloc::System, hint::black_box, time::Instant};

use cap::Cap;
use tabled::Tabled;

/// Counts what is allocated.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// A measured growth.
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

/// One size with what was measured there.
pub(crate) type Point = (f64, f64);

impl Row {
    /// Fits a line, and reads it at `target` unless that was measured.
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

/// Base, slope and R² of the line of least squares.
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

/// Least mean time of one call in microseconds, over several rounds.
pub(crate) fn micros<T>(rounds: u32, calls: u32, mut call: impl FnMut() -> T) -> f64 {
    let round = |_| {
        let started = Instant::now();
        (0..calls).for_each(|_| drop(black_box(call())));
        started.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
    };
    (0..rounds).map(round).fold(f64::INFINITY, f64::min)
}

/// Kibibytes of allocated memory that one of several copies takes.
pub(crate) fn kibibytes<T>(copies: usize, make: impl Fn() -> T) -> f64 {
    let mut kept: Vec<T> = Vec::with_capacity(copies);
    let before = ALLOCATOR.allocated();
    kept.extend((0..copies).map(|_| make()));
    let after = ALLOCATOR.allocated();
    drop(black_box(kept));
    after.saturating_sub(before) as f64 / 1024.0 / copies as f64
}
