//! The report as a self-contained HTML page with plots.

use gooseberry_wire::peer::{DaemonHistory, HistorySample};
use maud::{html, PreEscaped, DOCTYPE};
use plotters::{
    chart::ChartBuilder,
    prelude::{IntoDrawingArea, LineSeries, SVGBackend},
    style::{Color, Palette, Palette99, WHITE},
};

use crate::report::{table::COLUMNS, OutcomeReport};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (860, 260);
/// Space for the labels of the axes, in pixels.
const LABEL_SPACE: u32 = 50;
/// Style of the page, inline because the page refers to no other file.
const STYLE: &str = "body{font-family:sans-serif;max-width:60em;margin:2em auto}\
    table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}\
    td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}.unknown{color:#a00}";

/// Holds one line of a plot: its name and its points as seconds and value.
struct PlotLine {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

/// Returns the page.
///
/// # Errors
///
/// Returns an error if a plot can't be drawn.
pub fn page(report: &OutcomeReport, histories: &[DaemonHistory]) -> anyhow::Result<String> {
    let goodput = plot(&[
        rate(histories, "output tokens/s", |sample| sample.output_tokens),
        rate(histories, "complete responses/s", |sample| sample.whole),
    ])?;
    let mix = plot(&[
        rate(histories, "prompt tokens/s", |sample| sample.prompt_tokens),
        rate(histories, "output tokens/s", |sample| sample.output_tokens),
    ])?;
    let roles = plot(&[
        level(histories, "prefill", |sample| sample.prefill_engines),
        level(histories, "decode", |sample| sample.decode_engines),
        level(histories, "mixed", |sample| sample.mixed_engines),
    ])?;
    let markup = html! {
        (DOCTYPE)
        html lang="en" {
            head { meta charset="utf-8"; title { "gooseberrykeel report" } style { (STYLE) } }
            body {
                h1 { "Outcomes of requests" }
                (outcome_table(report))
                h2 { "Goodput over time" } (PreEscaped(goodput))
                h2 { "Prompt and output tokens over time" } (PreEscaped(mix))
                h2 { "Engines by role over time" } (PreEscaped(roles))
            }
        }
    };
    Ok(markup.into_string())
}

fn outcome_table(report: &OutcomeReport) -> maud::Markup {
    html! {
        table {
            tr { @for column in COLUMNS { th { (column) } } }
            @for row in &report.rows {
                tr {
                    td { (row.service) } td { (row.account) } td { (row.accepted) }
                    td { (row.whole) } td { (row.refused) } td { (row.unknown) }
                    td { (row.failed) } td { (row.running) }
                }
            }
        }
        @for share in &report.unknown_shares {
            p.unknown {
                (share.daemon) "/" (share.incarnation)
                " ended without a final record: the requests that it accepted after "
                (share.since_ms) " ms are unknown."
            }
        }
    }
}

/// Returns the increase of a total per second, summed over the daemons.
fn rate(
    histories: &[DaemonHistory],
    name: &'static str,
    total: impl Fn(&HistorySample) -> u64,
) -> PlotLine {
    let mut points: Vec<(f64, f64)> = Vec::new();
    for history in histories {
        for pair in history.samples.windows(2) {
            let seconds = pair[1].at_ms.saturating_sub(pair[0].at_ms) as f64 / 1000.0;
            let increase = total(&pair[1]).saturating_sub(total(&pair[0])) as f64;
            add_point(&mut points, pair[1].at_ms, increase / seconds.max(f64::EPSILON));
        }
    }
    PlotLine { name, points }
}

/// Returns a gauge as the daemon with the longest history reports it.
fn level(
    histories: &[DaemonHistory],
    name: &'static str,
    value: impl Fn(&HistorySample) -> u32,
) -> PlotLine {
    let longest = histories.iter().max_by_key(|history| history.samples.len());
    let samples = longest.map_or(&[][..], |history| &history.samples);
    let points = samples.iter().map(|it| (seconds(it.at_ms), f64::from(value(it)))).collect();
    PlotLine { name, points }
}

/// Adds a value to the point of its sample interval.
fn add_point(points: &mut Vec<(f64, f64)>, at_ms: u64, value: f64) {
    let interval = gooseberry_core::history::SAMPLE_INTERVAL.as_secs_f64();
    let at = (seconds(at_ms) / interval).floor() * interval;
    match points.binary_search_by(|(known, _)| known.total_cmp(&at)) {
        Ok(index) => points[index].1 += value,
        Err(index) => points.insert(index, (at, value)),
    }
}

fn seconds(at_ms: u64) -> f64 {
    at_ms as f64 / 1000.0
}

fn plot(lines: &[PlotLine]) -> anyhow::Result<String> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let start = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let end = points().map(|point| point.0).fold(f64::NEG_INFINITY, f64::max);
    if start >= end {
        return Ok("<p>A plot needs samples of at least two times.</p>".to_owned());
    }
    let top = points().map(|point| point.1).fold(1.0, f64::max);
    let mut svg = String::new();
    draw(&mut svg, lines, start, end - start, top)
        .map_err(|error| anyhow::anyhow!("can't draw a plot of the report: {error}"))?;
    let legend = lines.iter().enumerate().map(|(index, line)| {
        let (red, green, blue) = Palette99::COLORS[index];
        format!("<span style=\"color:rgb({red},{green},{blue})\">■ {}</span> ", line.name)
    });
    Ok(legend.collect::<String>() + &svg)
}

fn draw(
    svg: &mut String,
    lines: &[PlotLine],
    start: f64,
    duration: f64,
    top: f64,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .x_label_area_size(LABEL_SPACE)
        .y_label_area_size(LABEL_SPACE)
        .build_cartesian_2d(0.0..duration, 0.0..top * 1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).stroke_width(2);
        let points = line.points.iter().map(|(at, value)| (at - start, *value));
        chart.draw_series(LineSeries::new(points, color))?;
    }
    area.present()?;
    Ok(())
}
