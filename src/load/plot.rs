//! Renders the per-second values of a report as an SVG plot.

use std::fmt::Write;

use super::report::Report;

const WIDTH: f64 = 860.0;
const PANEL_HEIGHT: f64 = 220.0;
const LEFT_MARGIN: f64 = 70.0;
const RIGHT_MARGIN: f64 = 150.0;
const TOP_MARGIN: f64 = 40.0;
const PANEL_GAP: f64 = 50.0;
const HEIGHT: f64 = TOP_MARGIN + 2.0 * (PANEL_HEIGHT + PANEL_GAP);

/// The colours of the priorities that the scenario contains, highest first. The latency percentiles
/// use two of them as well.
const SERIES_COLOURS: [&str; 5] = ["#b2182b", "#ef8a62", "#4d4d4d", "#67a9cf", "#2166ac"];

/// The colour of the rate of due requests.
const DUE_COLOUR: &str = "#bbbbbb";

/// A line in a panel: one value for each entry of [`Report::seconds`], the last of which may cover
/// less than a second.
struct Series<'a> {
    name: String,
    colour: &'a str,
    values: Vec<f64>,
}

/// Renders two panels: the due requests and the good answers by priority above, the latency
/// percentiles of good answers below.
pub(super) fn render_svg(report: &Report) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        r#"<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" font-family="sans-serif" font-size="12">"#
    );
    let _ = writeln!(
        out,
        r#"<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>"#
    );
    let title = escape(&report.scenario);
    let _ = writeln!(
        out,
        r#"<text x="{LEFT_MARGIN}" y="20" font-size="15">{title}</text>"#
    );
    write_panel(
        &mut out,
        report,
        TOP_MARGIN,
        "requests per second",
        &rate_series(report),
    );
    let below = TOP_MARGIN + PANEL_HEIGHT + PANEL_GAP;
    write_panel(
        &mut out,
        report,
        below,
        "latency, ms",
        &latency_series(report),
    );
    out.push_str("</svg>\n");
    out
}

fn rate_series(report: &Report) -> Vec<Series<'static>> {
    let mut all_series = vec![build_series("due", DUE_COLOUR, report, |second| {
        second.tally.due as f64
    })];
    for (index, priority_report) in report.priorities.iter().enumerate() {
        let name = format!("good, {}", priority_report.priority.name());
        let colour = SERIES_COLOURS[index % SERIES_COLOURS.len()];
        all_series.push(build_series(&name, colour, report, |second| {
            second.good_by_priority[index] as f64
        }));
    }
    all_series
}

fn latency_series(report: &Report) -> Vec<Series<'static>> {
    vec![
        build_series("p50", SERIES_COLOURS[4], report, |second| {
            second.tally.latency.p50_us as f64 / 1_000.0
        }),
        build_series("p99", SERIES_COLOURS[0], report, |second| {
            second.tally.latency.p99_us as f64 / 1_000.0
        }),
    ]
}

fn build_series(
    name: &str,
    colour: &'static str,
    report: &Report,
    value: impl Fn(&super::SecondReport) -> f64,
) -> Series<'static> {
    let mut values = Vec::new();
    for second in &report.seconds {
        values.push(value(second));
    }
    Series {
        name: name.to_string(),
        colour,
        values,
    }
}

fn write_panel(
    out: &mut String,
    report: &Report,
    top: f64,
    title: &str,
    all_series: &[Series<'_>],
) {
    let bottom = top + PANEL_HEIGHT;
    let right = WIDTH - RIGHT_MARGIN;
    write_phase_areas(out, report, top);
    let max_value = max_value(all_series);
    for step in 0..=4 {
        let share = f64::from(step) / 4.0;
        let y = bottom - share * PANEL_HEIGHT;
        let value = max_value * share;
        let _ = writeln!(
            out,
            "<path d=\"M{LEFT_MARGIN} {y:.1}H{right}\" stroke=\"#e0e0e0\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{value:.1}</text>",
            LEFT_MARGIN - 6.0,
            y + 4.0,
        );
    }
    let _ = writeln!(
        out,
        r#"<text x="{LEFT_MARGIN}" y="{:.1}">{title}</text>"#,
        top - 6.0
    );
    for (index, series) in all_series.iter().enumerate() {
        write_series(out, report, top, max_value, series);
        let y = top + 14.0 + 18.0 * index as f64;
        let _ = writeln!(
            out,
            r#"<text x="{:.1}" y="{y:.1}" fill="{}">{}</text>"#,
            right + 12.0,
            series.colour,
            escape(&series.name),
        );
    }
}

/// Draws the phases of a panel; a phase marked as pressure is shaded.
fn write_phase_areas(out: &mut String, report: &Report, top: f64) {
    let bottom = top + PANEL_HEIGHT;
    for phase in &report.phases {
        let (start, end) = (
            x_position(report, phase.start_ms),
            x_position(report, phase.end_ms),
        );
        let fill = if phase.is_pressure { "#fdf0e6" } else { "none" };
        let _ = writeln!(
            out,
            r##"<rect x="{start:.1}" y="{top}" width="{:.1}" height="{PANEL_HEIGHT}" fill="{fill}" stroke="#dddddd"/>"##,
            end - start,
        );
        let name = escape(&phase.name);
        let _ = writeln!(
            out,
            r#"<text x="{:.1}" y="{:.1}">{name}</text>"#,
            start + 4.0,
            bottom + 16.0
        );
    }
}

/// Draws each value at the middle of its second. The last second may be shorter, in which case its
/// counts are drawn lower and further right than their rate and time.
fn write_series(out: &mut String, report: &Report, top: f64, max_value: f64, series: &Series<'_>) {
    let mut points = String::new();
    for (second, value) in report.seconds.iter().zip(&series.values) {
        let y = top + PANEL_HEIGHT * (1.0 - value / max_value);
        let _ = write!(
            points,
            "{:.1},{y:.1} ",
            x_position(report, second.start_ms + 500)
        );
    }
    let _ = writeln!(
        out,
        r#"<polyline points="{}" fill="none" stroke="{}" stroke-width="2"/>"#,
        points.trim_end(),
        series.colour,
    );
}

fn x_position(report: &Report, at_ms: u64) -> f64 {
    let share = at_ms as f64 / report.duration_ms.max(1) as f64;
    LEFT_MARGIN + share.min(1.0) * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN)
}

fn max_value(all_series: &[Series<'_>]) -> f64 {
    let mut max_value: f64 = 0.0;
    for series in all_series {
        for value in &series.values {
            max_value = max_value.max(*value);
        }
    }
    if max_value > 0.0 { max_value } else { 1.0 }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
