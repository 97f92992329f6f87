//! Charts of time series as an SVG image.

use std::path::{Path, PathBuf};

use plotters::coord::Shift;
use plotters::prelude::*;

/// Width and height of the image in pixels.
const IMAGE_SIZE: (u32, u32) = (960, 640);
const COLORS: [RGBColor; 6] = [BLUE, RED, GREEN, MAGENTA, CYAN, BLACK];
const MARGIN: u32 = 10;
const X_LABEL_HEIGHT: u32 = 28;
const Y_LABEL_WIDTH: u32 = 52;
const LEGEND_LINE_LENGTH: i32 = 16;

/// A value at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Seconds since the start.
    pub seconds: f64,
    /// Value at that time.
    pub value: f64,
}

/// One line of a chart.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points in the order of time.
    pub points: Vec<Point>,
}

/// A chart of several series.
#[derive(Clone, Copy, Debug)]
pub struct Chart<'a> {
    /// Caption of the chart.
    pub title: &'a str,
    /// Lines of the chart.
    pub series: &'a [Series],
}

/// Error in drawing or writing the image.
#[derive(Debug, thiserror::Error)]
#[error("{}: {reason}", .path.display())]
pub struct PlotError {
    /// Path of the image.
    pub path: PathBuf,
    /// Error text of the drawing library or the operating system.
    pub reason: String,
}

/// Draws two charts, one above the other, into an SVG file.
pub fn draw(path: &Path, upper: Chart, lower: Chart) -> Result<(), PlotError> {
    draw_charts(path, upper, lower)
        .map_err(|error| PlotError { path: path.to_path_buf(), reason: error.to_string() })
}

type SvgArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type SvgError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw_charts<'a>(path: &'a Path, upper: Chart, lower: Chart) -> Result<(), SvgError<'a>> {
    let area = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (above, below) = area.split_vertically(IMAGE_SIZE.1 / 2);
    draw_chart(&above, upper)?;
    draw_chart(&below, lower)?;
    area.present()
}

fn draw_chart<'a>(area: &SvgArea<'a>, chart: Chart) -> Result<(), SvgError<'a>> {
    let points = || chart.series.iter().flat_map(|series| &series.points);
    let end = points().map(|point| point.seconds).fold(0.0, f64::max);
    let top = points().map(|point| point.value).fold(0.0, f64::max) * 1.05 + 1e-9;
    let mut context = ChartBuilder::on(area)
        .caption(chart.title, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_HEIGHT)
        .y_label_area_size(Y_LABEL_WIDTH)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    context.configure_mesh().x_desc("seconds").draw()?;
    for (series, color) in chart.series.iter().zip(COLORS.iter().cycle()) {
        let line = series.points.iter().map(|point| (point.seconds, point.value));
        context
            .draw_series(LineSeries::new(line, color))?
            .label(&series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_LENGTH, y)], color));
    }
    let mut legend = context.configure_series_labels();
    legend.background_style(WHITE).border_style(BLACK).draw()
}
