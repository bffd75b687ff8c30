//! The report as text.

use std::fmt::Write;

use super::recovery::Recovery;
use super::report::Report;
use super::tally::Tally;

/// Writes the report as text.
pub(super) fn write(report: &Report) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{}: {} requests in {:.1} s, seed {}; the load tool itself was late by {} (99 in 100)\n",
        report.scenario,
        report.total.due,
        report.duration_ms as f64 / 1_000.0,
        report.seed,
        millis(report.start_delay.p99_us),
    );
    write_head(&mut out);
    write_row(&mut out, "all", &report.total);
    for of_priority in &report.priorities {
        let name = format!("priority {}", of_priority.priority.name());
        write_row(&mut out, &name, &of_priority.tally);
    }
    for kind in &report.kinds {
        write_row(&mut out, &format!("kind {}", kind.name), &kind.tally);
    }
    for phase in &report.phases {
        write_row(&mut out, &format!("phase {}", phase.name), &phase.tally);
        for of_priority in &phase.priorities {
            let name = format!("  {}", of_priority.priority.name());
            write_row(&mut out, &name, &of_priority.tally);
        }
    }
    write_verdicts(&mut out, report);
    write_recovery(&mut out, report);
    write_seconds(&mut out, report);
    out
}

fn write_head(out: &mut String) {
    let _ = writeln!(
        out,
        "{:<24}{:>8}{:>8}{:>9}{:>8}{:>9}{:>8}{:>7}{:>10}{:>10}{:>10}",
        "",
        "due",
        "good",
        "good/s",
        "in vain",
        "not run",
        "may run",
        "again",
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
        millis(tally.latency.p50_us),
        millis(tally.latency.p99_us),
        millis(tally.latency.p999_us),
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
    let _ = writeln!(out, "\nrecovery, from the end of pressure");
    for recovery in &report.recovery {
        write_recovery_row(out, recovery);
    }
}

fn write_recovery_row(out: &mut String, recovery: &Recovery) {
    let name = recovery.priority.map_or("all", |priority| priority.name());
    let _ = writeln!(
        out,
        "  {:<14}goodput {:<10}p99 {:<10}both {:<10}(baseline: {:.1}% good, p99 {})",
        name,
        time_or_never(recovery.goodput_ms),
        time_or_never(recovery.latency_ms),
        time_or_never(recovery.both_ms),
        recovery.baseline_good_share * 100.0,
        millis(recovery.baseline_p99_us),
    );
}

fn time_or_never(time_ms: Option<u64>) -> String {
    match time_ms {
        Some(time_ms) => format!("{time_ms} ms"),
        None => "not seen".into(),
    }
}

fn write_seconds(out: &mut String, report: &Report) {
    let _ = writeln!(
        out,
        "\n{:>8}{:>8}{:>8}{:>9}{:>8}{:>10}{:>10}",
        "second", "due", "good", "not run", "may run", "p50", "p99"
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
            millis(second.tally.latency.p50_us),
            millis(second.tally.latency.p99_us),
        );
    }
}

fn millis(time_us: u64) -> String {
    format!("{:.2} ms", time_us as f64 / 1_000.0)
}
