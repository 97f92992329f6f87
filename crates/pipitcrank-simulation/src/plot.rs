//! Figures over time as a picture (SVG).

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

/// A line: its name and its points, by seconds.
pub type Line = (String, Vec<(f64, f64)>);

const SIZE: (u32, u32) = (960, 640);
const COLOURS: [RGBColor; 6] = [BLUE, RED, GREEN, MAGENTA, CYAN, BLACK];

/// Two pictures one over the other, each with its title and lines.
pub fn draw(path: &Path, upper: (&str, &[Line]), lower: (&str, &[Line])) -> Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let wrong = |e: &dyn std::fmt::Display| anyhow!("{}: {e}", path.display());
    area.fill(&WHITE).map_err(|e| wrong(&e))?;
    let (above, below) = area.split_vertically(SIZE.1 / 2);
    for (area, (title, lines)) in [(above, upper), (below, lower)] {
        let points = || lines.iter().flat_map(|l| &l.1);
        let end = points().map(|p| p.0).fold(0.0, f64::max);
        let top = points().map(|p| p.1).fold(0.0, f64::max) * 1.05 + 1e-9;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(|e| wrong(&e))?;
        chart.configure_mesh().x_desc("seconds").draw().map_err(|e| wrong(&e))?;
        for ((name, points), colour) in lines.iter().zip(COLOURS.iter().cycle()) {
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour))
                .map_err(|e| wrong(&e))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        let mut legend = chart.configure_series_labels();
        legend.background_style(WHITE).border_style(BLACK).draw().map_err(|e| wrong(&e))?;
    }
    area.present().map_err(|e| wrong(&e))
}
