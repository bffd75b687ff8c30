//! Formats a report as text tables.

use std::fmt::Write;

use super::recovery::Recovery;
use super::report::Report;
use super::tally::Tally;

/// Formats the report as text tables.
pub(super) fn format_report(report: &Report) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{}: {} requests in {:.1} s, seed {}; p99 of the load generator's own start delay: {}\n",
        report.scenario,
        report.total.due,
        report.duration_ms as f64 / 1_000.0,
        report.seed,
        format_ms(report.start_delay.p99_us),
    );
    write_header(&mut out);
    write_row(&mut out, "all", &report.total);
    for priority_report in &report.priorities {
        let name = format!("priority {}", priority_report.priority.name());
        write_row(&mut out, &name, &priority_report.tally);
    }
    for kind in &report.kinds {
        write_row(&mut out, &format!("kind {}", kind.name), &kind.tally);
    }
    for phase in &report.phases {
        write_row(&mut out, &format!("phase {}", phase.name), &phase.tally);
        for priority_report in &phase.priorities {
            let name = format!("  {}", priority_report.priority.name());
            write_row(&mut out, &name, &priority_report.tally);
        }
    }
    write_verdicts(&mut out, report);
    write_recovery(&mut out, report);
    write_seconds(&mut out, report);
    out
}

fn write_header(out: &mut String) {
    let _ = writeln!(
        out,
        "{:<24}{:>8}{:>8}{:>9}{:>8}{:>9}{:>8}{:>7}{:>10}{:>10}{:>10}",
        "",
        "due",
        "good",
        "good/s",
        "wasted",
        "not run",
        "unknown",
        "resent",
        "p50",
        "p99",
        "p99.9"
    );
}

fn write_row(out: &mut String, name: &str, tally: &Tally) {
    let _ = writeln!(
        out,
        "{:<24}{:>8}{:>8}{:>9.1}{:>8}{:>9}{:>8}{:>7}{:>10}{:>10}{:>10}",
        name,
        tally.due,
        tally.good,
        tally.goodput_per_s,
        tally.wasted,
        tally.not_run,
        tally.may_have_run,
        tally.additional_attempts,
        format_ms(tally.latency.p50_us),
        format_ms(tally.latency.p99_us),
        format_ms(tally.latency.p999_us),
    );
}

fn write_verdicts(out: &mut String, report: &Report) {
    let _ = writeln!(out, "\nverdicts");
    for verdict in &report.verdicts {
        let _ = writeln!(
            out,
            "  {:<14}{:<22}{:>9}",
            verdict.verdict, verdict.reason, verdict.count
        );
    }
}

fn write_recovery(out: &mut String, report: &Report) {
    if report.recovery.is_empty() {
        return;
    }
    let _ = writeln!(out, "\nrecovery time from the end of pressure");
    for recovery in &report.recovery {
        write_recovery_row(out, recovery);
    }
}

fn write_recovery_row(out: &mut String, recovery: &Recovery) {
    let name = recovery.priority.map_or("all", |priority| priority.name());
    let _ = writeln!(
        out,
        "  {:<14}goodput {:<12}p99 {:<12}both {:<12}(baseline: {:.1}% good, p99 {})",
        name,
        format_recovery_time(recovery.goodput_ms),
        format_recovery_time(recovery.latency_ms),
        format_recovery_time(recovery.both_ms),
        recovery.baseline_good_share * 100.0,
        format_ms(recovery.baseline_p99_us),
    );
}

fn format_recovery_time(time_ms: Option<u64>) -> String {
    match time_ms {
        Some(time_ms) => format!("{time_ms} ms"),
        None => "not reached".into(),
    }
}

fn write_seconds(out: &mut String, report: &Report) {
    let _ = writeln!(
        out,
        "\n{:>8}{:>8}{:>8}{:>9}{:>8}{:>10}{:>10}",
        "second", "due", "good", "not run", "unknown", "p50", "p99"
    );
    for second in &report.seconds {
        let _ = writeln!(
            out,
            "{:>8}{:>8}{:>8}{:>9}{:>8}{:>10}{:>10}",
            second.start_ms / 1_000,
            second.tally.due,
            second.tally.good,
            second.tally.not_run,
            second.tally.may_have_run,
            format_ms(second.tally.latency.p50_us),
            format_ms(second.tally.latency.p99_us),
        );
    }
}

fn format_ms(time_us: u64) -> String {
    format!("{:.2} ms", time_us as f64 / 1_000.0)
}
