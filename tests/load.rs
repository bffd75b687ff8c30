//! The load tool: scenarios, what a report says of samples, and a run over the whole path.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use std::path::{Path, PathBuf};

use dragonflylug::host::daemon::Daemon;
use dragonflylug::ids::{Priority, ServiceName};
use dragonflylug::load::{
    self, Arrivals, Phase, Recovery, Report, RequestKind, RetryPolicy, Sample, SampleOutcome,
    Scenario,
};
use dragonflylug::settings::Settings;
use dragonflylug::verdict::RefusalReason;
use dragonflylug_standins::platform::Platform;
use dragonflylug_standins::target::{Target, TargetConfig};

const SURGE_FILE: &str = "tests/data/scenarios/surge.json";

fn surge() -> Scenario {
    Scenario::read(Path::new(SURGE_FILE)).unwrap()
}

#[test]
fn a_scenario_keeps_its_fields_and_defaults() {
    let scenario = surge();
    assert_eq!(scenario.duration_ms(), 12_000);
    assert_eq!(scenario.kinds[0].weight, 3.0);
    assert_eq!(scenario.kinds[1].retry_policy, RetryPolicy::Immediate);
    assert_eq!(
        scenario.kinds[1].deadline_ms,
        RequestKind::default().deadline_ms
    );
    assert!(scenario.phases[1].is_pressure);
}

/// One row: what is changed in the scenario's text, and what the error must name.
struct Wrong {
    from: &'static str,
    to: &'static str,
    names: &'static str,
}

fn check_wrong(wrong: Wrong) {
    let text = std::fs::read_to_string(SURGE_FILE).unwrap();
    assert!(text.contains(wrong.from));
    let name = format!("{}.json", wrong.names.replace(['[', ']', '.', ' '], "_"));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text.replacen(wrong.from, wrong.to, 1)).unwrap();
    let error = Scenario::read(&path).unwrap_err().to_string();
    let expected = format!("{}: {}", path.display(), wrong.names);
    assert!(error.starts_with(&expected), "{error}");
}

cases! {
    check_wrong:
    an_unknown_field_of_a_scenario => Wrong { from: "seed", to: "sead", names: "sead" },
    a_seed_as_text => Wrong { from: "7", to: "\"7\"", names: "seed" },
    an_unknown_field_of_a_kind =>
        Wrong { from: "\"weight\"", to: "\"share\"", names: "kinds[0].share" },
    a_negative_weight => Wrong { from: "3,", to: "-3,", names: "kinds[0].weight" },
    an_unknown_priority => Wrong { from: "critical", to: "urgent", names: "kinds[0].priority" },
    a_path_without_slash => Wrong { from: "/plans", to: "plans", names: "kinds[1].path" },
    no_deadline => Wrong { from: "800", to: "0", names: "kinds[0].deadline_ms" },
    a_negative_rate =>
        Wrong { from: "\"rate_per_s\": 200", to: "\"rate_per_s\": -1", names: "phases[1].rate_per_s" },
    no_duration => Wrong { from: "4000,", to: "0,", names: "phases[0].duration_ms" },
    no_list_of_phases => Wrong { from: "\"phases\"", to: "\"parts\"", names: "parts" },
    no_json => Wrong { from: "{", to: "[", names: "not JSON" },
}

#[test]
fn a_missing_file_is_named() {
    let error = Scenario::read(Path::new("no-such-file.json")).unwrap_err();
    assert!(
        error
            .to_string()
            .starts_with("no-such-file.json: cannot be read")
    );
}

/// Makes one sample for each 10 ms of the surge scenario, all lookups.
fn samples(of: impl Fn(u64) -> (SampleOutcome, u64)) -> Vec<Sample> {
    let mut samples = Vec::new();
    for at in 0..1_200 {
        let due_us = at * 10_000;
        let (outcome, latency_us) = of(due_us / 1_000);
        samples.push(Sample {
            due_us,
            start_delay_us: 40,
            latency_us,
            kind: 0,
            attempts: 2,
            outcome,
        });
    }
    samples
}

fn recovery(of: impl Fn(u64) -> (SampleOutcome, u64)) -> Recovery {
    let report = Report::new(&surge(), &samples(of));
    assert_eq!(report.recovery[0].priority, None);
    assert_eq!(report.recovery[1].priority, Some(Priority::Critical));
    report.recovery[0].clone()
}

const REFUSED: SampleOutcome = SampleOutcome::NotRun(RefusalReason::Overload);

#[test]
fn a_report_counts_by_priority_phase_second_and_reason() {
    let report = Report::new(
        &surge(),
        &samples(|due_ms| match due_ms {
            4_000..8_000 => (REFUSED, 300),
            _ => (SampleOutcome::Good, 2_000),
        }),
    );
    assert_eq!((report.total.due, report.total.good), (1_200, 800));
    assert_eq!(report.total.additional_attempts, 1_200);
    assert_eq!(report.priorities[0].priority, Priority::Critical);
    assert_eq!(report.priorities[0].tally.not_run, 400);
    assert_eq!(report.priorities[1].tally.due, 0);
    assert_eq!(report.phases[0].tally.goodput_per_s, 100.0);
    assert_eq!(report.phases[1].tally.good, 0);
    assert_eq!(report.seconds.len(), 12);
    assert_eq!(report.seconds[3].good_by_priority, [100, 0]);
    assert_eq!(report.seconds[4].tally.not_run, 100);
    let refused = &report.verdicts[1];
    let named = (refused.verdict.as_str(), refused.reason.as_str());
    assert_eq!((named, refused.count), (("not-run", "overload"), 400));
    assert_eq!(report.total.latency.p99_us, 2_000);
    assert_eq!(report.total.other_latency.max_us, 300);
    assert_eq!(report.start_delay.p50_us, 40);
}

#[test]
fn goodput_that_comes_back_late_is_a_long_recovery() {
    let recovery = recovery(|due_ms| match due_ms {
        4_000..9_500 => (REFUSED, 300),
        _ => (SampleOutcome::Good, 2_000),
    });
    assert_eq!(recovery.goodput_ms, Some(1_500));
    assert_eq!(recovery.both_ms, Some(1_500));
}

#[test]
fn latency_that_comes_back_late_is_a_long_recovery() {
    let recovery = recovery(|due_ms| match due_ms {
        4_000..10_000 => (SampleOutcome::Good, 50_000),
        _ => (SampleOutcome::Good, 2_000),
    });
    assert_eq!(recovery.goodput_ms, Some(0));
    assert_eq!(recovery.latency_ms, Some(2_000));
    assert_eq!(recovery.both_ms, Some(2_000));
}

#[test]
fn a_load_that_ends_before_recovery_says_so() {
    let recovery = recovery(|due_ms| match due_ms {
        4_000.. => (SampleOutcome::Late, 2_000),
        _ => (SampleOutcome::Good, 2_000),
    });
    assert_eq!((recovery.goodput_ms, recovery.both_ms), (None, None));
}

#[test]
fn the_report_is_text_json_and_a_plot() {
    let report = Report::new(&surge(), &samples(|_| (SampleOutcome::Good, 2_000)));
    let read: Report = serde_json::from_str(&report.to_json()).unwrap();
    assert_eq!(read, report);
    assert!(report.to_text().contains("priority critical"));
    let svg = report.to_svg();
    assert!(svg.starts_with("<svg ") && svg.ends_with("</svg>\n"));
    assert_eq!(svg.matches("<polyline").count(), 5);
}

/// A daemon with a target beside it, and the platform.
struct WholePath {
    _platform: Platform,
    target: Target,
    daemon: Daemon,
}

async fn start_path() -> WholePath {
    let any = "127.0.0.1:0".parse().unwrap();
    let platform = Platform::start(any).unwrap();
    let settings = Settings {
        caller_address: any,
        operator_address: any,
        peer_address: any,
        announce_address: any,
        operator_token: "0123456789abcdef".into(),
        platform_url: format!("http://{}", platform.address()),
        ..Settings::default()
    };
    let daemon = Daemon::start(&settings).await.unwrap();
    let config = TargetConfig {
        announce_address: Some(daemon.addresses().announce),
        ..TargetConfig::default()
    };
    let target = Target::start(config).await.unwrap();
    WholePath {
        _platform: platform,
        target,
        daemon,
    }
}

fn echo(name: &str, method: &str) -> RequestKind {
    RequestKind {
        name: name.into(),
        service: ServiceName::from("echo"),
        method: method.into(),
        body_bytes: 200,
        is_idempotent: method == "PUT",
        is_echo: true,
        deadline_ms: 30_000,
        ..RequestKind::default()
    }
}

#[tokio::test]
async fn a_load_runs_over_the_whole_path_each_request_once() {
    let path = start_path().await;
    let kinds = vec![echo("write", "PUT"), echo("pay", "POST")];
    let phases = vec![Phase {
        rate_per_s: 200.0,
        ..Phase::default()
    }];
    let scenario = Scenario {
        arrivals: Arrivals::Uniform,
        kinds,
        phases,
        ..Scenario::default()
    };
    let caller = path.daemon.addresses().caller;
    until_known(caller).await;
    let before = path.target.log().runs.len();
    let report = load::run(scenario, &[caller]).await;
    let runs = path.target.log().runs.len() - before;
    assert_eq!(report.total.due, 200, "{}", report.to_text());
    assert_eq!(report.total.good, 200, "{}", report.to_text());
    assert_eq!(runs, 200);
    assert!(report.kinds[1].tally.additional_attempts > 0);
    for at in 0..200 {
        assert_eq!(path.target.log().runs_of_key(&format!("1-{at}")), 1);
    }
}

/// Calls until the daemon knows its target.
async fn until_known(caller: std::net::SocketAddr) {
    let client = dragonflylug::client::Client::new(Default::default(), &[caller]);
    let request = dragonflylug::client::ClientRequest {
        service: ServiceName::from("echo"),
        ..Default::default()
    };
    while client.call(&request).await.verdict.name() != "ran" {}
}
