//! Validation of records: an invalid one rejects the whole submission, and the error names its
//! field. Also checks the estimated sizes of messages against their encoding.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/config_cluster.rs"]
mod config_cluster;
#[path = "support/network.rs"]
mod network;

use std::path::PathBuf;

use config_cluster::{ConfigCluster, record, submission};
use dragonflylug::config::{Change, Message, RecordForm, StoredRecord, Submission, SubmitOutcome};
use dragonflylug::peer::PeerRequest;
use rstest::rstest;
use serde_json::Value;
use tarpc::tokio_serde::{Serializer, formats::Bincode};

/// The maximum size of one submission as JSON.
const SUBMISSION_BYTES_MAX: usize = 256 * 1024;

/// Parses and checks the submission of a case.
fn check(case: &Value) -> Result<Submission, (String, String)> {
    let field_and_problem = |error: dragonflylug::fields::FieldError| (error.field, error.problem);
    let submission =
        Submission::read(&case["submission"].to_string()).map_err(field_and_problem)?;
    submission.check(2).map_err(field_and_problem)?;
    Ok(submission)
}

#[rstest]
fn an_invalid_record_is_rejected_with_its_field(
    #[files("tests/data/records/refused_*.json")] path: PathBuf,
) {
    let case: Value = serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    let expected = (
        case["field"].as_str().unwrap().to_string(),
        case["problem"].as_str().unwrap().to_string(),
    );
    assert_eq!(check(&case), Err(expected));
}

#[rstest]
fn a_valid_record_is_parsed_and_activated(
    #[files("tests/data/records/read_*.json")] path: PathBuf,
) {
    let case: Value = serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    let submission = check(&case).unwrap();
    let mut cluster = ConfigCluster::new(3);
    cluster.run(1_000_000);
    cluster.submit(0, submission.clone());
    assert!(cluster.run_until_all_have(1, 2_000_000));
    assert_eq!(cluster.view(2).records, submission.records);
}

#[test]
fn one_invalid_record_rejects_the_whole_submission() {
    let mut cluster = ConfigCluster::new(1);
    cluster.run(1_000_000);
    let mut bad = record("receipts", 3);
    bad.kinds[0].policy.retries = 99;
    cluster.submit(0, submission("c1", 0, vec![record("payouts", 3), bad]));
    let [SubmitOutcome::Invalid { field, problem }] = &cluster.outcomes(0)[..] else {
        panic!("{:?}", cluster.outcomes(0));
    };
    assert_eq!(field, "records[1].kinds[0].policy.retries");
    assert_eq!(problem, "must be from 0 to 10");
    cluster.run(2_000_000);
    assert_eq!(cluster.version(0), 0);
    assert!(cluster.network.rows.is_empty());
}

#[test]
fn an_oversized_submission_is_rejected() {
    let mut records = Vec::new();
    for index in 0..2_000 {
        records.push(record(&format!("service-{index}"), 1));
    }
    let oversized = submission("c1", 0, records);
    let bytes = serde_json::to_string(&oversized).unwrap().len();
    assert!(bytes > SUBMISSION_BYTES_MAX);
    let error = oversized.check(2).unwrap_err();
    assert_eq!(error.field, "records");
    assert_eq!(error.problem, "must have at most 262144 bytes together");
}

/// Checks that the estimated size of a message is at least the size that the codec of the
/// connections encodes it to, since the byte budget relies on it.
fn check_size_estimate(message: Message) {
    let bytes = message.wire_bytes_estimate();
    let mut codec = Bincode::<PeerRequest, PeerRequest>::default();
    let request = PeerRequest::Config(message);
    let encoded = std::pin::Pin::new(&mut codec).serialize(&request).unwrap();
    assert!(encoded.len() <= bytes, "{} {bytes}", encoded.len());
}

fn stored(service: &str) -> StoredRecord {
    let body = serde_json::to_string(&record(service, 3)).unwrap();
    StoredRecord {
        service: service.into(),
        changed_in_version: 7,
        forms: vec![
            RecordForm {
                schema_version: 2,
                body: body.clone(),
            },
            RecordForm {
                schema_version: 1,
                body,
            },
        ],
    }
}

fn changes() -> Vec<Change> {
    let change = Change {
        version: 7,
        digest: 9,
        changed: vec![stored("payouts"), stored("balances")],
        removed: vec!["receipts".into()],
    };
    vec![change.clone(), change]
}

cases! { check_size_estimate:
    the_size_of_a_version_is_not_underestimated => Message::Version(7),
    the_size_of_a_request_for_changes_is_not_underestimated => Message::ChangesAfter { version: 7, bytes_max: 9 },
    the_size_of_changes_is_not_underestimated => Message::Changes { latest: 7, changes: changes() },
    the_size_of_pushed_changes_is_not_underestimated => Message::Push(changes()),
    the_size_of_a_request_for_records_is_not_underestimated => Message::RecordsAfter {
        service: Some("a-service-with-quite-a-long-name".into()),
        bytes_max: 9,
    },
    the_size_of_records_is_not_underestimated => Message::Records {
        version: 7,
        digest: 9,
        records: vec![stored("payouts"), stored("balances")],
        is_last: true,
    },
    the_size_of_a_pending_push_is_not_underestimated => Message::PushPending,
}
