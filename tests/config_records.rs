//! Records: a bad one is refused as a whole with the field named.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/config.rs"]
mod config;
#[path = "support/network.rs"]
mod network;

use std::path::PathBuf;

use config::{Cluster, record, submission};
use dragonflylug::config::{Change, Message, RecordForm, StoredRecord, Submission, SubmitOutcome};
use dragonflylug::peer::PeerRequest;
use rstest::rstest;
use serde_json::Value;
use tarpc::tokio_serde::{Serializer, formats::Bincode};

/// The bound on the message of one submission.
const GREATEST_BYTES: usize = 256 * 1024;

/// Reads and checks the submission of a case.
fn check(case: &Value) -> Result<Submission, (String, String)> {
    let told = |error: dragonflylug::fields::FieldError| (error.field, error.problem);
    let submission = Submission::read(&case["submission"].to_string()).map_err(told)?;
    submission.check(2).map_err(told)?;
    Ok(submission)
}

#[rstest]
fn a_bad_record_is_refused_with_its_field(
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
fn a_record_is_read_and_put_in_force(#[files("tests/data/records/read_*.json")] path: PathBuf) {
    let case: Value = serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap();
    let submission = check(&case).unwrap();
    let mut cluster = Cluster::new(3);
    cluster.run(1_000_000);
    cluster.submit(0, submission.clone());
    assert!(cluster.run_until_all_have(1, 2_000_000));
    assert_eq!(cluster.view(2).records, submission.records);
}

#[test]
fn one_bad_record_refuses_the_good_ones_beside_it() {
    let mut cluster = Cluster::new(1);
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
fn a_submission_too_great_for_one_message_is_refused() {
    let mut records = Vec::new();
    for at in 0..2_000 {
        records.push(record(&format!("service-{at}"), 1));
    }
    let great = submission("c1", 0, records);
    let bytes = serde_json::to_string(&great).unwrap().len();
    assert!(bytes > GREATEST_BYTES);
    let error = great.check(2).unwrap_err();
    assert_eq!(error.field, "records");
    assert_eq!(error.problem, "must have at most 262144 bytes together");
}

/// A message is accounted with at least the bytes that the link's codec gives it.
fn accounted(message: Message) {
    let bytes = message.link_bytes();
    let mut codec = Bincode::<PeerRequest, PeerRequest>::default();
    let question = PeerRequest::Config(message);
    let encoded = std::pin::Pin::new(&mut codec).serialize(&question).unwrap();
    assert!(encoded.len() <= bytes, "{} {bytes}", encoded.len());
}

fn stored(service: &str) -> StoredRecord {
    let body = serde_json::to_string(&record(service, 3)).unwrap();
    StoredRecord {
        service: service.into(),
        changed_at: 7,
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

cases! { accounted:
    a_version_is_accounted => Message::Version(7),
    a_question_for_changes_is_accounted => Message::After { version: 7, bytes_max: 9 },
    changes_are_accounted => Message::Changes { latest: 7, changes: changes() },
    handed_changes_are_accounted => Message::Push(changes()),
    a_question_for_records_is_accounted => Message::RecordsAfter {
        service: Some("a-service-with-quite-a-long-name".into()),
        bytes_max: 9,
    },
    records_are_accounted => Message::Records {
        version: 7,
        digest: 9,
        records: vec![stored("payouts"), stored("balances")],
        is_last: true,
    },
    an_expected_change_is_accounted => Message::Expected,
}
