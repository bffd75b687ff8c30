//! The series of a report as SVG.

use std::fmt::Write;

use super::report::Report;

const WIDTH: f64 = 860.0;
const PANEL_HEIGHT: f64 = 220.0;
const LEFT: f64 = 70.0;
const RIGHT: f64 = 150.0;
const TOP: f64 = 40.0;
const GAP: f64 = 50.0;
const HEIGHT: f64 = TOP + 2.0 * (PANEL_HEIGHT + GAP);

/// The colours of the priorities, most important first.
const COLOURS: [&str; 5] = ["#b2182b", "#ef8a62", "#4d4d4d", "#67a9cf", "#2166ac"];

/// The colour of the requests that were due.
const DUE_COLOUR: &str = "#bbbbbb";

/// A line of a panel: one value for each second.
struct Line<'a> {
    name: String,
    colour: &'a str,
    values: Vec<f64>,
}

/// Writes goodput by priority over the latency, second by second.
pub(super) fn write(report: &Report) -> String {
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
        r#"<text x="{LEFT}" y="20" font-size="15">{title}</text>"#
    );
    write_panel(
        &mut out,
        report,
        TOP,
        "requests a second",
        &goodput_lines(report),
    );
    let below = TOP + PANEL_HEIGHT + GAP;
    write_panel(
        &mut out,
        report,
        below,
        "latency, ms",
        &latency_lines(report),
    );
    out.push_str("</svg>\n");
    out
}

fn goodput_lines(report: &Report) -> Vec<Line<'static>> {
    let mut lines = vec![line_of("due", DUE_COLOUR, report, |second| {
        second.tally.due as f64
    })];
    for (at, of_priority) in report.priorities.iter().enumerate() {
        let name = format!("good, {}", of_priority.priority.name());
        let colour = COLOURS[at % COLOURS.len()];
        lines.push(line_of(&name, colour, report, |second| {
            second.good_by_priority[at] as f64
        }));
    }
    lines
}

fn latency_lines(report: &Report) -> Vec<Line<'static>> {
    vec![
        line_of("p50", COLOURS[4], report, |second| {
            second.tally.latency.p50_us as f64 / 1_000.0
        }),
        line_of("p99", COLOURS[0], report, |second| {
            second.tally.latency.p99_us as f64 / 1_000.0
        }),
    ]
}

fn line_of(
    name: &str,
    colour: &'static str,
    report: &Report,
    value: impl Fn(&super::SecondReport) -> f64,
) -> Line<'static> {
    let mut values = Vec::new();
    for second in &report.seconds {
        values.push(value(second));
    }
    Line {
        name: name.to_string(),
        colour,
        values,
    }
}

fn write_panel(out: &mut String, report: &Report, top: f64, title: &str, lines: &[Line<'_>]) {
    let bottom = top + PANEL_HEIGHT;
    let right = WIDTH - RIGHT;
    write_phases(out, report, top);
    let greatest = greatest(lines);
    for step in 0..=4 {
        let share = f64::from(step) / 4.0;
        let y = bottom - share * PANEL_HEIGHT;
        let value = greatest * share;
        let _ = writeln!(
            out,
            "<path d=\"M{LEFT} {y:.1}H{right}\" stroke=\"#e0e0e0\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{value:.1}</text>",
            LEFT - 6.0,
            y + 4.0,
        );
    }
    let _ = writeln!(
        out,
        r#"<text x="{LEFT}" y="{:.1}">{title}</text>"#,
        top - 6.0
    );
    for (at, line) in lines.iter().enumerate() {
        write_line(out, report, top, greatest, line);
        let y = top + 14.0 + 18.0 * at as f64;
        let _ = writeln!(
            out,
            r#"<text x="{:.1}" y="{y:.1}" fill="{}">{}</text>"#,
            right + 12.0,
            line.colour,
            escape(&line.name),
        );
    }
}

/// Marks the phases: shaded where the system was under pressure.
fn write_phases(out: &mut String, report: &Report, top: f64) {
    let bottom = top + PANEL_HEIGHT;
    for phase in &report.phases {
        let (start, end) = (x(report, phase.start_ms), x(report, phase.end_ms));
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

fn write_line(out: &mut String, report: &Report, top: f64, greatest: f64, line: &Line<'_>) {
    let mut points = String::new();
    for (second, value) in report.seconds.iter().zip(&line.values) {
        let y = top + PANEL_HEIGHT * (1.0 - value / greatest);
        let _ = write!(points, "{:.1},{y:.1} ", x(report, second.start_ms + 500));
    }
    let _ = writeln!(
        out,
        r#"<polyline points="{}" fill="none" stroke="{}" stroke-width="2"/>"#,
        points.trim_end(),
        line.colour,
    );
}

fn x(report: &Report, at_ms: u64) -> f64 {
    let share = at_ms as f64 / report.duration_ms.max(1) as f64;
    LEFT + share.min(1.0) * (WIDTH - LEFT - RIGHT)
}

fn greatest(lines: &[Line<'_>]) -> f64 {
    let mut greatest: f64 = 0.0;
    for line in lines {
        for value in &line.values {
            greatest = greatest.max(*value);
        }
    }
    if greatest > 0.0 { greatest } else { 1.0 }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
