//! What daemons conclude from reports of ended targets, whatever the order in which the reports arrive.

use dragonflylug::ids::MemberId;
use dragonflylug::quarantine::{
    Completion, CrashId, CrashReport, Evidence, QuarantineSettings, Records, RequestFingerprint,
    RequestOutline, Standing,
};
use proptest::prelude::*;

const NOW_US: u64 = 1_000_000_000;

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint {
        outline: RequestOutline(number % 7),
        digest: [number, 0],
    }
}

fn crash(id: u64, age_ms: u64, requests: &[u64]) -> CrashReport {
    CrashReport {
        id: CrashId(id),
        origin: MemberId(id),
        service: "bookings".into(),
        age_ms,
        requests: requests.iter().copied().map(request).collect(),
    }
}

fn of_crashes(crashes: Vec<CrashReport>) -> Records {
    Records {
        crashes,
        ..Records::default()
    }
}

fn completion(number: u64, age_ms: u64) -> Records {
    Records {
        completions: vec![Completion {
            request: request(number),
            age_ms,
        }],
        ..Records::default()
    }
}

fn evidence(records: Vec<Records>) -> Evidence {
    let mut evidence = Evidence::new(QuarantineSettings::default());
    for records in records {
        evidence.merge(NOW_US, records);
        evidence.quarantine_culprits(NOW_US);
    }
    evidence
}

fn is_quarantined(evidence: &Evidence, number: u64) -> bool {
    let standing = evidence.standing(NOW_US, &request(number));
    matches!(standing, Standing::Quarantined { .. })
}

#[test]
fn request_in_three_reports_is_quarantined_and_those_beside_it_are_clear() {
    let crashes = vec![
        crash(1, 3_000, &[1, 2, 3]),
        crash(2, 2_000, &[1, 2, 4]),
        crash(3, 1_000, &[1, 3, 4]),
    ];
    let evidence = evidence(vec![of_crashes(crashes)]);
    assert!(is_quarantined(&evidence, 1));
    for other in 2..=4 {
        assert_eq!(evidence.standing(NOW_US, &request(other)), Standing::Clear);
    }
}

#[test]
fn two_requests_in_the_same_reports_are_suspects_until_one_is_told_apart() {
    let crashes = |count| {
        let crashes = (1..=count).map(|id| crash(id, 5_000 - id * 1_000, &[1, 2]));
        of_crashes(crashes.collect())
    };
    let tied = evidence(vec![crashes(3)]);
    for number in [1, 2] {
        assert_eq!(tied.standing(NOW_US, &request(number)), Standing::Suspect);
    }
    let apart = evidence(vec![crashes(3), of_crashes(vec![crash(9, 0, &[2])])]);
    assert!(is_quarantined(&apart, 2));
    assert_eq!(apart.standing(NOW_US, &request(1)), Standing::Clear);
}

#[test]
fn completed_request_is_not_in_earlier_reports() {
    let crashes: Vec<_> = (1..=3).map(|id| crash(id, 4_000 - id, &[1])).collect();
    let cleared = evidence(vec![of_crashes(crashes.clone()), completion(1, 0)]);
    assert_eq!(cleared.standing(NOW_US, &request(1)), Standing::Clear);
    let before = evidence(vec![completion(1, 0), of_crashes(crashes.clone())]);
    assert_eq!(before.standing(NOW_US, &request(1)), Standing::Clear);
    let long_before = evidence(vec![completion(1, 60_000), of_crashes(crashes)]);
    assert!(is_quarantined(&long_before, 1));
}

#[test]
fn ends_for_other_reasons_ask_for_more_reports() {
    let others: Vec<_> = (10..20).map(|id| crash(id, 5_000, &[])).collect();
    let own = |count: u64| -> Vec<CrashReport> {
        (1..=count).map(|id| crash(id, 4_000 - id, &[1])).collect()
    };
    let with_five = evidence(vec![of_crashes(others.clone()), of_crashes(own(5))]);
    assert_eq!(with_five.standing(NOW_US, &request(1)), Standing::Suspect);
    let with_six = evidence(vec![of_crashes(others), of_crashes(own(6))]);
    assert!(is_quarantined(&with_six, 1));
}

#[test]
fn quarantine_fades_and_one_more_end_renews_it() {
    let settings = QuarantineSettings::default();
    let crashes: Vec<_> = (1..=3).map(|id| crash(id, 0, &[1])).collect();
    let mut evidence = evidence(vec![of_crashes(crashes)]);
    let faded_us = NOW_US + u64::from(settings.refuse_ms) * 1_000;
    evidence.expire(faded_us);
    assert_eq!(evidence.standing(faded_us, &request(1)), Standing::Suspect);
    let once_more_us = faded_us + 1_000_000;
    evidence.merge(once_more_us, of_crashes(vec![crash(9, 0, &[1])]));
    assert_eq!(evidence.quarantine_culprits(once_more_us).len(), 1);
    let forgotten_us = once_more_us + 2 * u64::from(settings.refuse_ms) * 1_000;
    assert_eq!(evidence.expire(forgotten_us), [request(1)]);
    assert_eq!(
        evidence.standing(forgotten_us, &request(1)),
        Standing::Clear
    );
    assert!(evidence.is_empty());
}

#[test]
fn records_from_a_hostile_peer_stay_bounded() {
    let mut evidence = Evidence::new(QuarantineSettings::default());
    for id in 0..300 {
        let requests: Vec<u64> = (0..100).map(|number| id * 100 + number).collect();
        let mut records = of_crashes(vec![crash(id, u64::MAX / (1 + id % 2 * id), &requests)]);
        records.crashes.push(crash(1_000_000 + id, 0, &requests));
        evidence.merge(NOW_US, records);
    }
    let contents = evidence.contents(NOW_US);
    let reported: usize = contents
        .crashes
        .iter()
        .map(|crash| crash.requests.len())
        .sum();
    assert!(contents.crashes.len() <= 256);
    assert!(reported <= 4_096);
}

/// Reports of ends at which one request was always, and others now and then.
fn arbitrary_crashes() -> impl Strategy<Value = Vec<CrashReport>> {
    let others = prop::collection::vec(prop::collection::vec(2..9_u64, 0..5), 4..8);
    others.prop_map(|others| {
        let mut crashes = Vec::new();
        for (index, mut requests) in others.into_iter().enumerate() {
            requests.push(1);
            crashes.push(crash(index as u64, 10_000 - index as u64, &requests));
        }
        crashes
    })
}

proptest! {
    #[test]
    fn order_of_reports_does_not_matter(crashes in arbitrary_crashes(), seed in any::<u64>()) {
        let whole = evidence(vec![of_crashes(crashes.clone())]);
        let mut shuffled = crashes;
        let len = shuffled.len();
        for index in 0..len {
            shuffled.swap(index, (seed as usize).wrapping_mul(index + 1) % len);
        }
        let mut one_by_one = Evidence::new(QuarantineSettings::default());
        for crash in shuffled {
            one_by_one.merge(NOW_US, of_crashes(vec![crash]));
        }
        one_by_one.quarantine_culprits(NOW_US);
        for number in 1..9 {
            let standing = whole.standing(NOW_US, &request(number));
            prop_assert_eq!(one_by_one.standing(NOW_US, &request(number)), standing);
        }
    }

    #[test]
    fn exchanged_contents_make_digests_equal(crashes in arbitrary_crashes(), split in 0..8_usize) {
        let split = split.min(crashes.len());
        let mut one = evidence(vec![of_crashes(crashes[..split].to_vec()), completion(3, 0)]);
        let mut other = evidence(vec![of_crashes(crashes[split..].to_vec())]);
        one.merge(NOW_US, other.contents(NOW_US));
        one.quarantine_culprits(NOW_US);
        other.merge(NOW_US, one.contents(NOW_US));
        prop_assert_eq!(one.digest(), other.digest());
    }
}
