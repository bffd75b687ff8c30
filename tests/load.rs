//! Tests of the load generator: reading scenarios, building a report from samples, and a load
//! through a daemon to a target.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use std::path::{Path, PathBuf};

use dragonflylug::host::daemon::Daemon;
use dragonflylug::ids::{Priority, ServiceName};
use dragonflylug::load::{
    self, GapDistribution, Phase, Recovery, Report, RequestKind, RetryPolicy, Sample,
    SampleOutcome, Scenario,
};
use dragonflylug::settings::Settings;
use dragonflylug::verdict::RefusalReason;
use dragonflylug_standins::platform::PlatformStandin;
use dragonflylug_standins::target::{TargetConfig, TargetStandin};

const SURGE_FILE: &str = "tests/data/scenarios/surge.json";

fn surge_scenario() -> Scenario {
    Scenario::read(Path::new(SURGE_FILE)).unwrap()
}

#[test]
fn a_scenario_is_read_with_defaults_for_absent_fields() {
    let scenario = surge_scenario();
    assert_eq!(scenario.duration_ms(), 12_000);
    assert_eq!(scenario.kinds[0].weight, 3.0);
    assert_eq!(scenario.kinds[1].retry_policy, RetryPolicy::Immediate);
    assert_eq!(
        scenario.kinds[1].deadline_ms,
        RequestKind::default().deadline_ms
    );
    assert!(scenario.phases[1].is_pressure);
}

/// An invalid scenario: a replacement in the text of a valid one, and the start of the expected
/// error after the file name.
struct InvalidScenario {
    from: &'static str,
    to: &'static str,
    expected_error: &'static str,
}

fn check_rejected(case: InvalidScenario) {
    let text = std::fs::read_to_string(SURGE_FILE).unwrap();
    assert!(text.contains(case.from));
    let name = format!(
        "{}.json",
        case.expected_error.replace(['[', ']', '.', ' '], "_")
    );
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text.replacen(case.from, case.to, 1)).unwrap();
    let error = Scenario::read(&path).unwrap_err().to_string();
    let expected = format!("{}: {}", path.display(), case.expected_error);
    assert!(error.starts_with(&expected), "{error}");
}

cases! {
    check_rejected:
    an_unknown_field_of_a_scenario =>
        InvalidScenario { from: "seed", to: "sead", expected_error: "sead" },
    a_seed_that_is_a_string => InvalidScenario { from: "7", to: "\"7\"", expected_error: "seed" },
    an_unknown_field_of_a_kind =>
        InvalidScenario { from: "\"weight\"", to: "\"share\"", expected_error: "kinds[0].share" },
    a_negative_weight =>
        InvalidScenario { from: "3,", to: "-3,", expected_error: "kinds[0].weight" },
    an_unknown_priority =>
        InvalidScenario { from: "critical", to: "urgent", expected_error: "kinds[0].priority" },
    a_path_without_slash =>
        InvalidScenario { from: "/plans", to: "plans", expected_error: "kinds[1].path" },
    a_deadline_of_zero =>
        InvalidScenario { from: "800", to: "0", expected_error: "kinds[0].deadline_ms" },
    a_negative_rate =>
        InvalidScenario {
            from: "\"rate_per_s\": 200",
            to: "\"rate_per_s\": -1",
            expected_error: "phases[1].rate_per_s",
        },
    a_duration_of_zero =>
        InvalidScenario { from: "4000,", to: "0,", expected_error: "phases[0].duration_ms" },
    an_unknown_field_in_place_of_phases =>
        InvalidScenario { from: "\"phases\"", to: "\"parts\"", expected_error: "parts" },
    a_file_that_is_not_json => InvalidScenario { from: "{", to: "[", expected_error: "not JSON" },
}

#[test]
fn the_error_for_a_missing_scenario_file_names_the_file() {
    let error = Scenario::read(Path::new("no-such-file.json")).unwrap_err();
    assert!(
        error
            .to_string()
            .starts_with("no-such-file.json: cannot be read")
    );
}

/// Creates one lookup sample for each 10 ms of the surge scenario, with the outcome and latency in
/// us that `measure` returns for its due time in ms.
fn samples(measure: impl Fn(u64) -> (SampleOutcome, u64)) -> Vec<Sample> {
    let mut samples = Vec::new();
    for index in 0..1_200 {
        let due_us = index * 10_000;
        let (outcome, latency_us) = measure(due_us / 1_000);
        samples.push(Sample {
            due_us,
            start_delay_us: 40,
            latency_us,
            kind_index: 0,
            attempts: 2,
            outcome,
        });
    }
    samples
}

fn recovery(measure: impl Fn(u64) -> (SampleOutcome, u64)) -> Recovery {
    let report = Report::new(&surge_scenario(), &samples(measure));
    assert_eq!(report.recovery[0].priority, None);
    assert_eq!(report.recovery[1].priority, Some(Priority::Critical));
    report.recovery[0].clone()
}

const REFUSED: SampleOutcome = SampleOutcome::NotRun(RefusalReason::Overload);

#[test]
fn a_report_counts_by_priority_phase_second_and_reason() {
    let report = Report::new(
        &surge_scenario(),
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
    let refusals = &report.verdicts[1];
    let names = (refusals.verdict.as_str(), refusals.reason.as_str());
    assert_eq!((names, refusals.count), (("not-run", "overload"), 400));
    assert_eq!(report.total.latency.p99_us, 2_000);
    assert_eq!(report.total.other_latency.max_us, 300);
    assert_eq!(report.start_delay.p50_us, 40);
}

#[test]
fn slow_recovery_of_goodput_is_measured() {
    let recovery = recovery(|due_ms| match due_ms {
        4_000..9_500 => (REFUSED, 300),
        _ => (SampleOutcome::Good, 2_000),
    });
    assert_eq!(recovery.goodput_ms, Some(1_500));
    assert_eq!(recovery.both_ms, Some(1_500));
}

#[test]
fn slow_recovery_of_latency_is_measured() {
    let recovery = recovery(|due_ms| match due_ms {
        4_000..10_000 => (SampleOutcome::Good, 50_000),
        _ => (SampleOutcome::Good, 2_000),
    });
    assert_eq!(recovery.goodput_ms, Some(0));
    assert_eq!(recovery.latency_ms, Some(2_000));
    assert_eq!(recovery.both_ms, Some(2_000));
}

#[test]
fn a_load_that_ends_before_recovery_has_no_recovery_time() {
    let recovery = recovery(|due_ms| match due_ms {
        4_000.. => (SampleOutcome::Late, 2_000),
        _ => (SampleOutcome::Good, 2_000),
    });
    assert_eq!((recovery.goodput_ms, recovery.both_ms), (None, None));
}

#[test]
fn a_report_is_formatted_as_text_json_and_svg() {
    let report = Report::new(
        &surge_scenario(),
        &samples(|_| (SampleOutcome::Good, 2_000)),
    );
    let read: Report = serde_json::from_str(&report.to_json()).unwrap();
    assert_eq!(read, report);
    assert!(report.to_text().contains("priority critical"));
    let svg = report.to_svg();
    assert!(svg.starts_with("<svg ") && svg.ends_with("</svg>\n"));
    assert_eq!(svg.matches("<polyline").count(), 5);
}

/// A daemon with a target beside it, and the platform stand-in.
struct Deployment {
    _platform: PlatformStandin,
    target: TargetStandin,
    daemon: Daemon,
}

async fn start_deployment() -> Deployment {
    let any = "127.0.0.1:0".parse().unwrap();
    let platform = PlatformStandin::start(any).unwrap();
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
    let target = TargetStandin::start(config).await.unwrap();
    Deployment {
        _platform: platform,
        target,
        daemon,
    }
}

fn echo_kind(name: &str, method: &str) -> RequestKind {
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
async fn a_load_through_a_daemon_runs_each_request_once() {
    let deployment = start_deployment().await;
    let kinds = vec![echo_kind("write", "PUT"), echo_kind("pay", "POST")];
    let phases = vec![Phase {
        rate_per_s: 200.0,
        ..Phase::default()
    }];
    let scenario = Scenario {
        arrivals: GapDistribution::Uniform,
        kinds,
        phases,
        ..Scenario::default()
    };
    let caller = deployment.daemon.addresses().caller;
    wait_until_target_is_discovered(caller).await;
    let before = deployment.target.log().runs.len();
    let report = load::run(scenario, &[caller]).await;
    let runs = deployment.target.log().runs.len() - before;
    assert_eq!(report.total.due, 200, "{}", report.to_text());
    assert_eq!(report.total.good, 200, "{}", report.to_text());
    assert_eq!(runs, 200);
    assert!(report.kinds[1].tally.additional_attempts > 0);
    for index in 0..200 {
        assert_eq!(
            deployment
                .target
                .log()
                .count_runs_with_key(&format!("1-{index}")),
            1
        );
    }
}

/// Calls until the daemon has discovered its target.
async fn wait_until_target_is_discovered(caller: std::net::SocketAddr) {
    let client = dragonflylug::client::Client::new(Default::default(), &[caller]);
    let request = dragonflylug::client::ClientRequest {
        service: ServiceName::from("echo"),
        ..Default::default()
    };
    while client.call(&request).await.verdict.name() != "ran" {}
}
