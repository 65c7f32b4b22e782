//! Plot of attainment and goodput against the offered load.

use std::{
    error,
    path, //
};

use plotters::prelude::{
    self as draw,
    IntoDrawingArea, //
};

use crate::measure::{
    figures,
    runner, //
};

/// Width and height in pixels.
const SIZE_PIXELS: (u32, u32) = (760, 800);

const FONT: (&str, u32) = ("sans-serif", 15);

/// Colours of the strategies, in the order of [`runner::STRATEGIES`].
const COLOURS: [draw::RGBColor; 3] = [draw::BLUE, draw::RED, draw::BLACK];

type Result<T> = std::result::Result<T, Box<dyn error::Error>>;

type Area<'a> = draw::DrawingArea<draw::SVGBackend<'a>, plotters::coord::Shift>;

/// One of the stacked charts.
struct Chart {
    title: &'static str,
    value: fn(&figures::Figures) -> figures::Spread,
}

/// Writes the plot of a sweep as an SVG file.
pub fn write(outcomes: &[runner::Outcome], path: impl AsRef<path::Path>) -> Result<()> {
    let path = path.as_ref();
    let root = draw::SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&draw::WHITE)?;
    let charts = [
        Chart {
            title: "attainment, %",
            value: |figures| figures.attainment.scale(100.0),
        },
        Chart {
            title: "goodput, requests/s",
            value: |figures| figures.goodput,
        },
    ];
    for (area, chart) in root.split_evenly((2, 1)).iter().zip(charts) {
        draw_chart(area, &chart, outcomes)?;
    }
    root.present()?;
    Ok(())
}

fn draw_chart(area: &Area<'_>, chart: &Chart, outcomes: &[runner::Outcome]) -> Result<()> {
    let figures = outcomes.iter().flat_map(|outcome| &outcome.strategies);
    let values = figures.map(|(_, figures)| (chart.value)(figures).high);
    let top = values.fold(0.0, f64::max) * 1.1;
    let right = outcomes.iter().map(|o| o.load).fold(0.0, f64::max) * 1.05;
    let mut context = draw::ChartBuilder::on(area)
        .caption(chart.title, FONT)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..right, 0.0..top.max(f64::MIN_POSITIVE))?;
    context
        .configure_mesh()
        .light_line_style(draw::TRANSPARENT)
        .x_desc("offered load / capacity")
        .draw()?;
    for (index, colour) in COLOURS.into_iter().enumerate() {
        let strategies = outcomes
            .iter()
            .filter_map(|o| Some((o.load, o.strategies.get(index)?)));
        let points: Vec<_> = strategies
            .map(|(load, (strategy, figures))| (*strategy, load, (chart.value)(figures)))
            .collect();
        let Some((strategy, ..)) = points.first() else {
            continue;
        };
        let line = points.iter().map(|(_, load, spread)| (*load, spread.mid));
        context
            .draw_series(draw::LineSeries::new(line, colour).point_size(3))?
            .label(strategy.to_string())
            .legend(move |(x, y)| draw::PathElement::new([(x, y), (x + 20, y)], colour));
        let bars = points
            .iter()
            .map(|(_, load, s)| draw::PathElement::new([(*load, s.low), (*load, s.high)], colour));
        context.draw_series(bars)?;
    }
    context
        .configure_series_labels()
        .border_style(draw::BLACK)
        .background_style(draw::WHITE)
        .draw()?;
    Ok(())
}
