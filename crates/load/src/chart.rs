//! Response curves as an SVG file.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea as _, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, SeriesLabelPosition, BLACK, WHITE,
};

use crate::error::LoadError;

/// Width and height of the chart, in pixels.
const CHART_SIZE_PX: (u32, u32) = (900, 540);

/// One curve of the chart: the ratio of response to ideal response, by the fraction of calls at or below that ratio.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseCurve {
    /// Name of the curve in the legend.
    pub name: String,
    /// Ratio of response to ideal response of each call, in any order.
    pub ratios: Vec<f64>,
}

/// Draws the curves as an SVG file. The horizontal axis is logarithmic in the tail: 90%, 99% and 99.9% of the calls are
/// evenly spaced.
///
/// # Errors
///
/// Returns [`LoadError::Chart`] if the chart cannot be drawn or its file cannot be written.
pub fn draw_curves(path: &Path, lines: &[ResponseCurve]) -> Result<(), LoadError> {
    draw(path, lines).map_err(|error| LoadError::Chart(error.to_string()))
}

fn draw(path: &Path, lines: &[ResponseCurve]) -> Result<(), Box<dyn std::error::Error>> {
    let mut max_ratio = 2.0_f64;
    let mut curves = Vec::new();
    for line in lines {
        let points = tail_points(&line.ratios);
        for (_, ratio) in &points {
            max_ratio = max_ratio.max(*ratio);
        }
        curves.push((line.name.clone(), points));
    }
    let area = SVGBackend::new(path, CHART_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("response over ideal", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..3.0, 0.0..max_ratio * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("calls that took at most this, %")
        .y_desc("response over ideal")
        .x_label_formatter(&|nines| format!("{:.4}", 100.0 * (1.0 - 10_f64.powf(-nines))))
        .draw()?;
    for (index, (name, points)) in curves.into_iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// The points of a curve. The horizontal coordinate counts nines: 1 is 90%, 2 is 99%, 3 is 99.9%. Points beyond 99.9%
/// are left out.
fn tail_points(ratios: &[f64]) -> Vec<(f64, f64)> {
    let mut sorted = ratios.to_vec();
    sorted.sort_by(f64::total_cmp);
    let count = sorted.len() as f64;
    let mut points = Vec::new();
    for (index, ratio) in sorted.into_iter().enumerate() {
        let tail_fraction = 1.0 - (index as f64 + 0.5) / count;
        points.push((-tail_fraction.log10(), ratio));
    }
    points.retain(|(nines, _)| *nines <= 3.0);
    points
}
