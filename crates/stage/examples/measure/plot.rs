//! Plots the share of requests within their target over the time of a run, as SVG.

use std::{
    error::Error,
    path::{Path, PathBuf},
};

use plotters::prelude::*;

use crate::{Strategy, report::Report};

const SIZE: (u32, u32) = (900, 420);

/// Draws all runs of the first seed into one file, and returns its path.
pub(crate) fn draw(folder: &Path, reports: &[Report]) -> Result<PathBuf, Box<dyn Error>> {
    let first = reports.first().ok_or("no run")?;
    let title = format!("{:?}, {:?}, faults {:?}", first.deployment, first.demand, first.faults);
    let path = folder.join(file_name(&title));
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = first.seconds.len() as f64;
    let mut chart = ChartBuilder::on(&area)
        .caption(&title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..seconds, 0.0..1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc("share within target").draw()?;
    for report in reports.iter().filter(|report| report.seed == first.seed) {
        let colour = colour(report.strategy);
        let points = report
            .seconds
            .iter()
            .enumerate()
            .map(|(at, second)| (at as f64, second.met as f64 / second.requests.max(1) as f64));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(format!("{:?}, {} moves", report.strategy, report.moves))
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    drop(chart);
    drop(area);
    Ok(path)
}

fn colour(strategy: Strategy) -> RGBColor {
    match strategy {
        Strategy::Ours => RGBColor(0, 110, 60),
        Strategy::Hosts => RGBColor(140, 150, 40),
        Strategy::Static => RGBColor(190, 60, 40),
        Strategy::LastMinute => RGBColor(50, 80, 180),
    }
}

fn file_name(title: &str) -> String {
    let name = title.to_lowercase().replace(|c: char| !c.is_ascii_alphanumeric(), "-");
    format!("{}.svg", name.replace("--", "-"))
}
