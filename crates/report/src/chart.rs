//! The report as an SVG chart: the burn rate of each objective over time, in the short window of
//! the first alert.

use plotters::prelude::*;
use snafu::Snafu;

use crate::{burn, objective::Settings, sample::Sample};

/// Width and height of the chart, in pixels.
const SIZE_PX: (u32, u32) = (1000, 520);
/// Top of the vertical axis; higher burn rates are drawn there.
const MAX_BURN_RATE: f64 = 20.0;
/// Number of steps from the first to the last point of a line.
const LINE_STEPS: u64 = 120;

/// The drawing library failed.
#[derive(Debug, Snafu)]
#[snafu(display("cannot draw the chart: {reason}; use `--format text` instead"))]
pub struct Error {
    reason: String,
}

/// Draws the chart as an SVG document; it is empty without samples or alerts.
///
/// # Errors
///
/// [`Error`] if the drawing library fails.
pub fn render(settings: &Settings, samples: &[Sample]) -> Result<String, Error> {
    let mut svg = String::new();
    draw(settings, samples, &mut svg).map_err(|error| Error { reason: error.to_string() })?;
    Ok(svg)
}

fn draw(
    settings: &Settings,
    samples: &[Sample],
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let times = || samples.iter().map(|sample| sample.at_ms);
    let (Some(start), Some(end)) = (times().min(), times().max()) else { return Ok(()) };
    let Some(alert) = settings.alerts.first() else { return Ok(()) };
    let seconds = ((end - start) as f64 / 1000.0).max(1.0);
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Error budget burn rate, short window", ("sans-serif", 22))
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..seconds, 0.0..MAX_BURN_RATE)?;
    chart.configure_mesh().x_desc("seconds").y_desc("burn rate").light_line_style(WHITE).draw()?;
    let threshold = [(0.0, alert.threshold), (seconds, alert.threshold)];
    chart
        .draw_series(LineSeries::new(threshold, RED.mix(0.5)))?
        .label(format!("alert at {}", alert.threshold))
        .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], RED.mix(0.5)));
    for (index, objective) in settings.objectives.iter().enumerate() {
        let color = Palette99::pick(index).mix(0.9);
        let point = |step: u64| {
            let at = start + (end - start) * step / LINE_STEPS;
            let rate = burn::rate(samples, objective, at, alert.short);
            ((at - start) as f64 / 1000.0, rate.min(MAX_BURN_RATE))
        };
        chart
            .draw_series(LineSeries::new((0..=LINE_STEPS).map(point), color.stroke_width(2)))?
            .label(objective.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    area.present()?;
    Ok(())
}
