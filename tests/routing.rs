//! Routing: which target is chosen for a request, by membership, load, availability zone,
//! threshold and health.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::ids::{AvailabilityZone, MemberId, Priority, RootId, ServiceName, WorkKind};
use dragonflylug::kernel::{Input, Kernel, Notice};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::request::{Answer, LoadReport, Rank};
use dragonflylug::routing::{AttemptOutcome, NAME, Router, RoutingSettings, TargetQuery};
use dragonflylug::verdict::{RefusalReason, Verdict};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SECOND_US: u64 = 1_000_000;

fn member(id: u64, zone: &str, state: MemberState) -> Member {
    Member {
        id: MemberId(id),
        address: ([127, 0, 0, 1], 1_000 + id as u16).into(),
        availability_zone: zone.into(),
        service: Some("balances".into()),
        slots: 90,
        state,
        incarnation: 1,
        schema_version: 1,
    }
}

fn report(threshold: Rank, in_flight: u32) -> LoadReport {
    LoadReport {
        threshold,
        in_flight,
        limit: 90,
        queued: 0,
        is_leaving: false,
        pressure_permille: 0,
        rate_wait_us: 0,
        lost_permille: 0,
        service_us: 0,
        ..LoadReport::default()
    }
}

/// A kernel with a router in the availability zone `a`.
struct Fixture {
    kernel: Kernel,
    rng: ChaCha8Rng,
}

impl Fixture {
    fn new(members: &[Member]) -> Self {
        Self::with_settings(members, RoutingSettings::default())
    }

    fn with_settings(members: &[Member], settings: RoutingSettings) -> Self {
        let mut kernel = Kernel::new(1);
        let zone = AvailabilityZone::from("a");
        let router = Router::new(settings, zone, MemberId(0));
        kernel.register(Box::new(router));
        kernel.start(0);
        let mut fixture = Self {
            kernel,
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        for member in members {
            fixture.deliver_notice(0, Notice::MemberChanged(member.clone()));
        }
        fixture
    }

    fn deliver_notice(&mut self, now_us: u64, notice: Notice) {
        self.kernel.handle(now_us, Input::Notice(notice));
    }

    fn router(&mut self) -> &mut Router {
        self.kernel.find(NAME).unwrap()
    }

    fn choose(&mut self, now_us: u64, excluded: &[u64]) -> Result<u64, RefusalReason> {
        let service = ServiceName::from("balances");
        self.choose_of(now_us, &service, excluded)
    }

    fn choose_of(
        &mut self,
        now_us: u64,
        service: &ServiceName,
        excluded: &[u64],
    ) -> Result<u64, RefusalReason> {
        let excluded: Vec<MemberId> = excluded.iter().copied().map(MemberId).collect();
        let query = TargetQuery {
            service,
            rank: Rank::new(Priority::Normal, RootId(7)),
            kind: WorkKind::default(),
            excluded: &excluded,
        };
        let router: &mut Router = self.kernel.find(NAME).unwrap();
        match router.choose(now_us, &mut self.rng, &query) {
            Ok(choice) => Ok(choice.member.0),
            Err(refusal) => {
                assert!(refusal.retry_after_ms > 0);
                Err(refusal.reason)
            }
        }
    }

    /// Records one request to a member with its outcome.
    fn record_outcome(
        &mut self,
        now_us: u64,
        id: u64,
        outcome: AttemptOutcome,
        load: Option<LoadReport>,
    ) {
        self.router().record_sent(now_us, MemberId(id));
        self.router()
            .record_outcome(now_us, MemberId(id), outcome, 1_000, load);
    }

    /// Returns how often each of the first ten members is chosen in 1000 choices.
    fn choice_counts(&mut self, now_us: u64) -> [u32; 10] {
        let mut choice_counts = [0; 10];
        for _ in 0..1_000 {
            if let Ok(id) = self.choose(now_us, &[]) {
                choice_counts[id as usize] += 1;
            }
        }
        choice_counts
    }
}

struct StateCase {
    state: MemberState,
    /// The choice if the target is the only one.
    alone: Result<u64, RefusalReason>,
    /// The choice if an alive target in another zone is there too.
    beside_alive: Result<u64, RefusalReason>,
}

fn check_state(case: StateCase) {
    let mut alone = Fixture::new(&[member(1, "a", case.state)]);
    assert_eq!(alone.choose(0, &[]), case.alone);
    let mut both = Fixture::new(&[
        member(1, "a", case.state),
        member(2, "b", MemberState::Alive),
    ]);
    assert_eq!(both.choose(0, &[]), case.beside_alive);
}

cases! { check_state:
    an_alive_target_is_chosen => StateCase {
        state: MemberState::Alive, alone: Ok(1), beside_alive: Ok(1),
    },
    a_suspect_target_is_the_last_resort => StateCase {
        state: MemberState::Suspect, alone: Ok(1), beside_alive: Ok(2),
    },
    a_leaving_target_is_never_chosen => StateCase {
        state: MemberState::Leaving, alone: Err(RefusalReason::NoTarget), beside_alive: Ok(2),
    },
}

#[test]
fn a_service_is_unknown_until_a_member_served_it() {
    let mut fixture = Fixture::new(&[]);
    let service = ServiceName::from("balances");
    assert_eq!(fixture.choose(0, &[]), Err(RefusalReason::UnknownService));
    fixture.deliver_notice(0, Notice::MemberChanged(member(1, "a", MemberState::Alive)));
    assert_eq!(fixture.router().member_count(&service), 1);
    fixture.deliver_notice(0, Notice::MemberGone(MemberId(1)));
    assert_eq!(fixture.choose(0, &[]), Err(RefusalReason::NoTarget));
    assert!(fixture.router().is_known_service(&service));
    assert_eq!(fixture.router().peer_address(MemberId(1)), None);
}

#[test]
fn an_excluded_target_is_not_chosen() {
    let mut fixture = Fixture::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "a", MemberState::Alive),
    ]);
    assert_eq!(fixture.choose(0, &[1]), Ok(2));
    assert_eq!(fixture.choose(0, &[1, 2]), Err(RefusalReason::NoTarget));
}

#[test]
fn a_guard_that_reports_that_it_is_leaving_is_not_chosen() {
    let mut fixture = Fixture::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "b", MemberState::Alive),
    ]);
    let leaving = LoadReport {
        is_leaving: true,
        ..report(Rank::MIN, 0)
    };
    fixture.record_outcome(0, 1, AttemptOutcome::Answered, Some(leaving));
    assert_eq!(fixture.choice_counts(0)[2], 1_000);
}

/// The rate limit of the only target in the own zone leaves no room for a second.
#[test]
fn target_at_its_rate_limit_is_chosen_although_another_zone_has_room() {
    let mut fixture = Fixture::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "b", MemberState::Alive),
    ]);
    let now_us = 10 * SECOND_US;
    let paced = LoadReport {
        rate_wait_us: SECOND_US as u32,
        ..report(Rank::MIN, 1)
    };
    fixture.record_outcome(now_us, 1, AttemptOutcome::Answered, Some(paced));
    let room = report(Rank::MIN, 60);
    fixture.record_outcome(now_us, 2, AttemptOutcome::Answered, Some(room));
    assert_eq!(fixture.choice_counts(now_us)[2], 1_000);
    let later_us = now_us + SECOND_US;
    assert_eq!(fixture.choice_counts(later_us)[1], 1_000);
}

#[test]
fn target_whose_rate_limit_keeps_its_queue_full_is_tried_every_200_ms() {
    let mut fixture = Fixture::new(&[member(1, "a", MemberState::Alive)]);
    let now_us = 10 * SECOND_US;
    let paced = LoadReport {
        rate_wait_us: 3 * SECOND_US as u32,
        ..report(Rank::new(Priority::Critical, RootId(7)), 1)
    };
    fixture.record_outcome(now_us, 1, AttemptOutcome::Refused, Some(paced));
    let tried = fixture.choice_counts(now_us + 2 * SECOND_US)[1];
    assert!(tried < 50, "{tried} of 1000 requests");
    let tried = fixture.choice_counts(now_us + 4 * SECOND_US)[1];
    assert_eq!(tried, 1_000);
}

#[test]
fn the_own_zone_is_preferred_while_it_has_room() {
    let mut fixture = Fixture::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "b", MemberState::Alive),
    ]);
    let now_us = 10 * SECOND_US;
    for (id, in_flight) in [(1, 60), (2, 0)] {
        let load = report(Rank::MIN, in_flight);
        fixture.record_outcome(now_us, id, AttemptOutcome::Answered, Some(load));
    }
    assert_eq!(fixture.choice_counts(now_us)[1], 1_000);
    fixture.record_outcome(
        now_us,
        1,
        AttemptOutcome::Answered,
        Some(report(Rank::MIN, 90)),
    );
    assert_eq!(fixture.choice_counts(now_us)[2], 1_000);
}

/// The requests at a target in the own zone with a limit of 90, and whether it is still chosen.
struct SpillCase {
    in_flight: u32,
    is_own_zone_chosen: bool,
}

fn check_spill(case: SpillCase) {
    let settings = RoutingSettings {
        zone_spill_percent: 95,
        ..RoutingSettings::default()
    };
    let members = [
        member(1, "a", MemberState::Alive),
        member(2, "b", MemberState::Alive),
    ];
    let mut fixture = Fixture::with_settings(&members, settings);
    let now_us = 10 * SECOND_US;
    for (id, in_flight) in [(1, case.in_flight), (2, 0)] {
        let load = report(Rank::MIN, in_flight);
        fixture.record_outcome(now_us, id, AttemptOutcome::Answered, Some(load));
    }
    let chosen = if case.is_own_zone_chosen { 1 } else { 2 };
    assert_eq!(fixture.choice_counts(now_us)[chosen], 1_000);
}

cases! { check_spill:
    the_own_zone_is_used_up_to_the_configured_load => SpillCase {
        in_flight: 83, is_own_zone_chosen: true,
    },
    other_zones_are_used_above_the_configured_load => SpillCase {
        in_flight: 86, is_own_zone_chosen: false,
    },
}

#[test]
fn a_free_slot_is_better_than_a_queue_at_a_faster_target() {
    let mut fixture = Fixture::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "a", MemberState::Alive),
    ]);
    let now_us = 10 * SECOND_US;
    for (id, in_flight, queued, service_us) in [(1, 90, 90, 28_000), (2, 60, 0, 66_000)] {
        let load = LoadReport {
            queued,
            service_us,
            ..report(Rank::MIN, in_flight)
        };
        fixture.record_outcome(now_us, id, AttemptOutcome::Answered, Some(load));
    }
    assert_eq!(fixture.choice_counts(now_us)[2], 1_000);
}

#[test]
fn a_recent_threshold_refuses_all_requests_but_probes() {
    let mut fixture = Fixture::new(&[member(1, "a", MemberState::Alive)]);
    let threshold = Rank {
        priority: Priority::High,
        root_rank: 0,
    };
    fixture.record_outcome(0, 1, AttemptOutcome::Answered, Some(report(threshold, 90)));
    let probes = fixture.choice_counts(0)[1];
    assert!(
        (1..=30).contains(&probes),
        "{probes} probes in 1000 requests"
    );
    assert_eq!(fixture.choice_counts(SECOND_US)[1], 1_000);
}

#[test]
fn a_failing_target_is_ejected_and_returns_after_a_successful_trial() {
    let mut fixture = Fixture::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "a", MemberState::Alive),
    ]);
    for _ in 0..5 {
        fixture.record_outcome(0, 1, AttemptOutcome::TargetError, None);
    }
    assert_eq!(fixture.choice_counts(0)[2], 1_000);
    let trials = fixture.choice_counts(2 * SECOND_US)[1];
    assert!(
        (1..=100).contains(&trials),
        "{trials} trials in 1000 requests"
    );
    fixture.record_outcome(2 * SECOND_US, 1, AttemptOutcome::Answered, None);
    let after_return = fixture.choice_counts(10 * SECOND_US);
    assert!(after_return[1] > 300, "{after_return:?}");
}

#[test]
fn at_most_the_configured_share_of_targets_is_ejected() {
    let mut fixture = Fixture::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "a", MemberState::Alive),
        member(3, "a", MemberState::Alive),
    ]);
    for id in [1, 2, 3] {
        for _ in 0..20 {
            fixture.record_outcome(0, id, AttemptOutcome::Lost, None);
        }
    }
    let choice_counts = fixture.choice_counts(0);
    assert_eq!(choice_counts[1], 0);
    assert!(
        choice_counts[2] > 300 && choice_counts[3] > 300,
        "{choice_counts:?}"
    );
}

/// Extreme values in member records and load reports must not cause an arithmetic overflow.
#[test]
fn extreme_reported_values_do_not_overflow() {
    let huge = |id| Member {
        slots: u32::MAX,
        ..member(id, "a", MemberState::Alive)
    };
    let mut fixture = Fixture::new(&[huge(1), huge(2), huge(3)]);
    let load = LoadReport {
        in_flight: u32::MAX,
        queued: u32::MAX,
        limit: 0,
        ..report(Rank::MIN, 0)
    };
    for id in [1, 2, 3] {
        fixture.record_outcome(0, id, AttemptOutcome::Answered, Some(load));
    }
    assert_eq!(fixture.choice_counts(0).iter().sum::<u32>(), 1_000);
}

/// A scan stops before it has visited all targets of a large pool, so it must begin at a random
/// one; otherwise some targets would get no requests.
#[test]
fn all_targets_of_a_large_pool_are_used() {
    let members: Vec<Member> = (1..=500)
        .map(|id| member(id, "a", MemberState::Alive))
        .collect();
    let mut fixture = Fixture::new(&members);
    let mut chosen = vec![0; 501];
    for _ in 0..20_000 {
        let id = fixture.choose(0, &[]).expect("the pool has targets");
        chosen[id as usize] += 1;
    }
    let (min, max) = (chosen[1..].iter().min(), chosen.iter().max());
    assert!(
        min > Some(&10) && max < Some(&80),
        "targets were chosen {min:?} to {max:?} times"
    );
}

/// The ratio of the requests of the busier of two targets to those of the other one.
struct FailureBelowCase {
    /// Whether the router is told that a call below the target failed, not the target itself.
    is_told: bool,
    is_expected: fn(f64) -> bool,
}

/// The maximum ratio if failures below a target do not count against it, and the minimum if they do.
const EVEN_LOAD_RATIO_MAX: f64 = 1.5;
const UNEVEN_LOAD_RATIO_MIN: f64 = 2.0;

/// Sends requests to two targets; those of the first one fail because of a call below it.
fn check_failures_below(case: FailureBelowCase) {
    let members = [
        member(1, "a", MemberState::Alive),
        member(2, "a", MemberState::Alive),
    ];
    let mut fixture = Fixture::new(&members);
    let failed = Verdict::Ran(Answer::new(503, Vec::new(), Default::default()));
    let mut counts = [0_u32; 2];
    for number in 0..1_000 {
        let now_us = number * SECOND_US / 100;
        let chosen = fixture.choose(now_us, &[]).unwrap();
        counts[chosen as usize - 1] += 1;
        let outcome = match chosen {
            1 => AttemptOutcome::from_verdict(&failed, case.is_told),
            _ => AttemptOutcome::Answered,
        };
        fixture.record_outcome(now_us, chosen, outcome, Some(report(Rank::MIN, 0)));
    }
    let ratio = f64::from(counts[1]) / f64::from(counts[0].max(1));
    println!("load ratio {ratio:.2}");
    assert!((case.is_expected)(ratio), "{ratio:.2}");
}

cases! { check_failures_below:
    failures_below_a_target_that_are_told_leave_the_load_even => FailureBelowCase {
        is_told: true,
        is_expected: |ratio| (1.0 / EVEN_LOAD_RATIO_MAX..EVEN_LOAD_RATIO_MAX).contains(&ratio),
    },
    untold_failures_below_a_target_make_the_load_uneven => FailureBelowCase {
        is_told: false,
        is_expected: |ratio| ratio > UNEVEN_LOAD_RATIO_MIN,
    },
}
