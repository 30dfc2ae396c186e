//! The plot of burn rates, as SVG.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::ServiceBurn;
use crate::error::CommandError;

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (900, 480);
/// Least height of the vertical axis, as a burn rate.
const MIN_HEIGHT: f64 = 16.0;

/// Draws the burn rate of each service over the window's length.
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
    let height = rates.fold(MIN_HEIGHT, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Burn rate by window", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..6.2, 0.0..height)?;
    chart
        .configure_mesh()
        .x_desc("window (hours)")
        .y_desc("burn rate")
        .draw()?;
    for (place, service) in services.iter().enumerate() {
        let colour = Palette99::pick(place).to_rgba();
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
