//! SVG plot of the burn rates.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::ServiceBurn;
use crate::error::CommandError;

/// Width and height of the plot, in pixels.
const SIZE_PX: (u32, u32) = (900, 480);
/// Burn rate that the vertical axis reaches at least.
const MIN_AXIS_RATE: f64 = 16.0;

/// Plots each service's burn rate against the length of the window.
pub(super) fn draw(path: &Path, services: &[ServiceBurn]) -> Result<(), CommandError> {
    try_draw(path, services).map_err(|error| CommandError::Plot {
        path: path.into(),
        reason: error.to_string(),
    })
}

fn try_draw(path: &Path, services: &[ServiceBurn]) -> Result<(), Box<dyn Error>> {
    let rates = services
        .iter()
        .flat_map(|s| s.burn.windows.iter().map(|w| w.rate));
    let axis_end = rates.fold(MIN_AXIS_RATE, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    // The horizontal axis, in hours, ends a little after the longest window of 6 h.
    let mut chart = ChartBuilder::on(&area)
        .caption("Burn rate by window", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..6.2, 0.0..axis_end)?;
    chart
        .configure_mesh()
        .x_desc("window (hours)")
        .y_desc("burn rate")
        .draw()?;
    for (index, service) in services.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = service
            .burn
            .windows
            .iter()
            .map(|w| (w.count.window_s as f64 / 3600.0, w.rate));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(service.service.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
