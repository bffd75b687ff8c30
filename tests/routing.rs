//! Routing: which target takes a request, by membership, load, zone, threshold and health.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use dragonflylug::ids::{AvailabilityZone, MemberId, Priority, RootId, ServiceName};
use dragonflylug::kernel::{Input, Kernel, Notice};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::request::{LoadReport, Rank};
use dragonflylug::routing::{NAME, Router, RoutingSettings, TryOutcome, Want};
use dragonflylug::verdict::RefusalReason;
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
        service_us: 0,
    }
}

struct Bench {
    kernel: Kernel,
    rng: ChaCha8Rng,
}

impl Bench {
    fn new(members: &[Member]) -> Self {
        Self::with_settings(members, RoutingSettings::default())
    }

    fn with_settings(members: &[Member], settings: RoutingSettings) -> Self {
        let mut kernel = Kernel::new(1);
        let zone = AvailabilityZone::from("a");
        let router = Router::new(settings, zone, MemberId(0));
        kernel.register(Box::new(router));
        kernel.start(0);
        let mut bench = Self {
            kernel,
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        for member in members {
            bench.notice(0, Notice::MemberChanged(member.clone()));
        }
        bench
    }

    fn notice(&mut self, now_us: u64, notice: Notice) {
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
        let want = Want {
            service,
            rank: Rank::new(Priority::Normal, RootId(7)),
            excluded: &excluded,
        };
        let router: &mut Router = self.kernel.find(NAME).unwrap();
        match router.choose(now_us, &mut self.rng, &want) {
            Ok(choice) => Ok(choice.member.0),
            Err(refusal) => {
                assert!(refusal.retry_after_ms > 0);
                Err(refusal.reason)
            }
        }
    }

    fn ended(&mut self, now_us: u64, id: u64, outcome: TryOutcome, load: Option<LoadReport>) {
        self.router().sent(now_us, MemberId(id));
        self.router()
            .ended(now_us, MemberId(id), outcome, 1_000, load);
    }

    /// Counts the choices of each of the first ten members among a thousand.
    fn shares(&mut self, now_us: u64) -> [u32; 10] {
        let mut shares = [0; 10];
        for _ in 0..1_000 {
            if let Ok(id) = self.choose(now_us, &[]) {
                shares[id as usize] += 1;
            }
        }
        shares
    }
}

struct StateCase {
    state: MemberState,
    alone: Result<u64, RefusalReason>,
    beside_alive: Result<u64, RefusalReason>,
}

fn check_state(case: StateCase) {
    let mut alone = Bench::new(&[member(1, "a", case.state)]);
    assert_eq!(alone.choose(0, &[]), case.alone);
    let mut both = Bench::new(&[
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
    let mut bench = Bench::new(&[]);
    let service = ServiceName::from("balances");
    assert_eq!(bench.choose(0, &[]), Err(RefusalReason::UnknownService));
    bench.notice(0, Notice::MemberChanged(member(1, "a", MemberState::Alive)));
    assert_eq!(bench.router().members_of(&service), 1);
    bench.notice(0, Notice::MemberGone(MemberId(1)));
    assert_eq!(bench.choose(0, &[]), Err(RefusalReason::NoTarget));
    assert!(bench.router().is_known(&service));
    assert_eq!(bench.router().address(MemberId(1)), None);
}

#[test]
fn a_target_that_was_tried_is_not_chosen_again() {
    let mut bench = Bench::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "a", MemberState::Alive),
    ]);
    assert_eq!(bench.choose(0, &[1]), Ok(2));
    assert_eq!(bench.choose(0, &[1, 2]), Err(RefusalReason::NoTarget));
}

#[test]
fn a_guard_that_says_it_is_leaving_is_not_chosen() {
    let mut bench = Bench::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "b", MemberState::Alive),
    ]);
    let leaving = LoadReport {
        is_leaving: true,
        ..report(Rank::MIN, 0)
    };
    bench.ended(0, 1, TryOutcome::Answered, Some(leaving));
    assert_eq!(bench.shares(0)[2], 1_000);
}

#[test]
fn the_own_zone_is_preferred_while_it_has_room() {
    let mut bench = Bench::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "b", MemberState::Alive),
    ]);
    let now_us = 10 * SECOND_US;
    for (id, in_flight) in [(1, 60), (2, 0)] {
        let load = report(Rank::MIN, in_flight);
        bench.ended(now_us, id, TryOutcome::Answered, Some(load));
    }
    assert_eq!(bench.shares(now_us)[1], 1_000);
    bench.ended(now_us, 1, TryOutcome::Answered, Some(report(Rank::MIN, 90)));
    assert_eq!(bench.shares(now_us)[2], 1_000);
}

/// The requests at a target in the own zone with a limit of 90, and whether it is still chosen.
struct Spill {
    in_flight: u32,
    is_near: bool,
}

fn check_spill(case: Spill) {
    let settings = RoutingSettings {
        zone_spill_percent: 95,
        ..RoutingSettings::default()
    };
    let members = [
        member(1, "a", MemberState::Alive),
        member(2, "b", MemberState::Alive),
    ];
    let mut bench = Bench::with_settings(&members, settings);
    let now_us = 10 * SECOND_US;
    for (id, in_flight) in [(1, case.in_flight), (2, 0)] {
        let load = report(Rank::MIN, in_flight);
        bench.ended(now_us, id, TryOutcome::Answered, Some(load));
    }
    let chosen = if case.is_near { 1 } else { 2 };
    assert_eq!(bench.shares(now_us)[chosen], 1_000);
}

cases! { check_spill:
    a_target_nearby_is_used_up_to_the_load_that_is_set => Spill { in_flight: 83, is_near: true },
    above_that_load_other_zones_are_used => Spill { in_flight: 86, is_near: false },
}

#[test]
fn a_threshold_refuses_while_it_is_fresh_but_for_probes() {
    let mut bench = Bench::new(&[member(1, "a", MemberState::Alive)]);
    let threshold = Rank {
        priority: Priority::High,
        root_rank: 0,
    };
    bench.ended(0, 1, TryOutcome::Answered, Some(report(threshold, 90)));
    let probes = bench.shares(0)[1];
    assert!((1..=30).contains(&probes), "{probes} probes in 1000");
    assert_eq!(bench.shares(SECOND_US)[1], 1_000);
}

#[test]
fn a_failing_target_is_ejected_and_comes_back_by_a_probe() {
    let mut bench = Bench::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "a", MemberState::Alive),
    ]);
    for _ in 0..5 {
        bench.ended(0, 1, TryOutcome::TargetError, None);
    }
    assert_eq!(bench.shares(0)[2], 1_000);
    let probes = bench.shares(2 * SECOND_US)[1];
    assert!((1..=100).contains(&probes), "{probes} probes in 1000");
    bench.ended(2 * SECOND_US, 1, TryOutcome::Answered, None);
    let returned = bench.shares(10 * SECOND_US);
    assert!(returned[1] > 300, "{returned:?}");
}

#[test]
fn no_more_than_the_settings_share_is_ejected() {
    let mut bench = Bench::new(&[
        member(1, "a", MemberState::Alive),
        member(2, "a", MemberState::Alive),
        member(3, "a", MemberState::Alive),
    ]);
    for id in [1, 2, 3] {
        for _ in 0..20 {
            bench.ended(0, id, TryOutcome::Lost, None);
        }
    }
    let shares = bench.shares(0);
    assert_eq!(shares[1], 0);
    assert!(shares[2] > 300 && shares[3] > 300, "{shares:?}");
}

#[test]
fn any_reported_figures_are_borne() {
    let huge = |id| Member {
        slots: u32::MAX,
        ..member(id, "a", MemberState::Alive)
    };
    let mut bench = Bench::new(&[huge(1), huge(2), huge(3)]);
    let load = LoadReport {
        in_flight: u32::MAX,
        queued: u32::MAX,
        limit: 0,
        ..report(Rank::MIN, 0)
    };
    for id in [1, 2, 3] {
        bench.ended(0, id, TryOutcome::Answered, Some(load));
    }
    assert_eq!(bench.shares(0).iter().sum::<u32>(), 1_000);
}

#[test]
fn a_large_pool_is_used_as_a_whole() {
    let members: Vec<Member> = (1..=500)
        .map(|id| member(id, "a", MemberState::Alive))
        .collect();
    let mut bench = Bench::new(&members);
    let mut chosen = vec![0; 501];
    for _ in 0..20_000 {
        let id = bench.choose(0, &[]).expect("targets are there");
        chosen[id as usize] += 1;
    }
    let (least, most) = (chosen[1..].iter().min(), chosen.iter().max());
    assert!(
        least > Some(&10) && most < Some(&80),
        "{least:?} to {most:?}"
    );
}
