//! Measures the cost of admission, routing and quota decisions, and how it grows with the queue length
//! and the number of members.

#![allow(missing_docs)]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dragonflylug::admission::{Admission, AdmissionSettings, Arrival, CallOutcome};
use dragonflylug::ids::{CallKey, MemberId, Priority, RootId, ServiceName, WorkKind};
use dragonflylug::kernel::{Input, Kernel, Notice};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::organisations::Quota;
use dragonflylug::quota::{
    Grant, OrganisationHash, QuotaSettings, QuotaState, Take, TokenClient, View, WaitingRequest,
};
use dragonflylug::request::{LoadReport, Rank};
use dragonflylug::routing::{
    AttemptOutcome, NAME, Placement, Router, RoutingSettings, TargetQuery,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

/// A deadline that is never reached.
const DISTANT_DEADLINE_US: u64 = u64::MAX / 2;
/// The number of services over which the other members are distributed.
const SERVICES: u64 = 1_100;

fn arrival(call: u64) -> Arrival {
    Arrival {
        call: CallKey(call),
        rank: Rank::new(Priority::Normal, RootId(call)),
        deadline_us: DISTANT_DEADLINE_US,
        kind: Default::default(),
    }
}

/// Creates an admission with all slots occupied and a queue of this length.
fn admission_with_queue(queue_len: u32) -> Admission {
    let slots = 90;
    let mut admission = Admission::new(AdmissionSettings {
        queue_len_max: queue_len,
        queue_wait_max_ms: u32::MAX,
        ..AdmissionSettings::default()
    });
    admission.set_slots(0, slots);
    for call in 0..u64::from(slots + queue_len) {
        admission.offer(0, arrival(call));
    }
    admission
}

fn bench_admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for queue_len in [0, 10, 100, 1_000, 10_000] {
        group.bench_with_input(
            BenchmarkId::new("offer_and_finish", queue_len),
            &queue_len,
            |bencher, &queue_len| {
                let mut admission = admission_with_queue(queue_len);
                // The step number is both the time in us and the key of the call.
                let mut step = u64::from(queue_len) + 1_000;
                let mut running = CallKey(0);
                bencher.iter(|| {
                    step += 1;
                    let released = admission.finish(step, running, CallOutcome::Answered);
                    running = released.started.first().copied().unwrap_or(CallKey(step));
                    black_box(admission.offer(step, arrival(step)))
                });
            },
        );
        group.bench_with_input(
            BenchmarkId::new("next_expiry", queue_len),
            &queue_len,
            |bencher, &queue_len| {
                let admission = admission_with_queue(queue_len);
                bencher.iter(|| black_box(admission.next_queue_update_us(0)));
            },
        );
    }
    group.finish();
}

/// Creates a kernel with a router that knows members of many services; the first `pool` members
/// belong to the service that is called.
fn kernel_with_router(members: u64, pool: u64, placement: Placement) -> Kernel {
    let mut kernel = Kernel::new(1);
    let settings = RoutingSettings {
        placement,
        ..RoutingSettings::default()
    };
    let router = Router::new(settings, "a".into(), MemberId(0));
    kernel.register(Box::new(router));
    kernel.start(0);
    for id in 0..members {
        let service = if id < pool { 0 } else { 1 + id % SERVICES };
        let member = Member {
            id: MemberId(id),
            address: ([127, 0, 0, 1], 1_000).into(),
            availability_zone: ["a", "b", "c"][(id % 3) as usize].into(),
            service: Some(ServiceName::from(format!("service{service}").as_str())),
            slots: 35,
            state: MemberState::Alive,
            incarnation: 1,
            schema_version: 1,
        };
        kernel.handle(0, Input::Notice(Notice::MemberChanged(member)));
    }
    kernel
}

fn bench_routing(criterion: &mut Criterion) {
    bench_placement(criterion, "routing", Placement::ZoneSpill);
    bench_placement(
        criterion,
        "routing_by_expected_time",
        Placement::ExpectedTime,
    );
}

fn bench_placement(criterion: &mut Criterion, group: &str, placement: Placement) {
    let mut group = criterion.benchmark_group(group);
    let load = LoadReport {
        threshold: Rank::MIN,
        in_flight: 10,
        limit: 35,
        queued: 0,
        is_leaving: false,
        pressure_permille: 0,
        rate_wait_us: 0,
        lost_permille: 0,
        service_us: 0,
        ..LoadReport::default()
    };
    for (members, pool) in [
        (10, 10),
        (100, 15),
        (1_000, 15),
        (17_000, 15),
        (17_000, 100),
        (17_000, 1_000),
        (17_000, 17_000),
    ] {
        let mut kernel = kernel_with_router(members, pool, placement);
        let service = ServiceName::from("service0");
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut now_us = 0;
        group.bench_function(
            BenchmarkId::new(
                "choose_sent_ended",
                format!("{members}_members_pool_{pool}"),
            ),
            |bencher| {
                let router: &mut Router = kernel.find(NAME).expect("the router is registered");
                bencher.iter(|| {
                    now_us += 1;
                    let query = TargetQuery {
                        service: &service,
                        rank: Rank::new(Priority::Normal, RootId(now_us)),
                        kind: WorkKind::default(),
                        excluded: &[],
                    };
                    let Ok(choice) = router.choose(now_us, &mut rng, &query) else {
                        return;
                    };
                    router.record_sent(now_us, choice.member);
                    let outcome = AttemptOutcome::Answered;
                    router.record_outcome(now_us, choice.member, outcome, 1_000, Some(load));
                });
            },
        );
    }
    group.finish();
}

/// The number of organisations that send requests through the daemon.
const ORGANISATIONS: u64 = 73;

/// Returns the peer address of a daemon.
fn peer_address(daemon: u64) -> SocketAddr {
    let [_, _, _, _, _, high, middle, low] = daemon.to_be_bytes();
    SocketAddr::from(([10, high, middle, low], 8_082))
}

/// Records other daemons in a view.
fn add_members(view: &mut View, members: u64) {
    for member in 1..members {
        view.record_member(0, peer_address(member), MemberId(member), false);
    }
}

fn bench_quota(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("quota");
    group.bench_function("take_granted_token", |bencher| {
        let mut client = TokenClient::new(QuotaSettings::default());
        let request = WaitingRequest {
            call: CallKey(1),
            priority: Priority::Normal,
            until_us: DISTANT_DEADLINE_US,
        };
        for organisation in 0..ORGANISATIONS {
            client.take(0, OrganisationHash(organisation), request);
        }
        let organisation = OrganisationHash(ORGANISATIONS / 2);
        let grant = Grant {
            tokens: 2,
            next_ms: None,
        };
        client.record_grant(0, 0, organisation, grant);
        bencher.iter(|| {
            let take = client.take(1, organisation, request);
            let Take::Granted(expires_us) = take else {
                return;
            };
            client.give_back(1, organisation, expires_us);
        });
    });
    for members in [61, 17_000] {
        let own = peer_address(0);
        let settings = QuotaSettings::default();
        let mut state = QuotaState::new(settings, 0, MemberId(0), own);
        add_members(state.view_mut(), members);
        let organisations = 0..10 * members;
        let mut is_own = |key: &u64| state.view_mut().owner(OrganisationHash(*key)) == Some(own);
        let own_key = organisations.into_iter().find(&mut is_own);
        let organisation = OrganisationHash(own_key.expect("this daemon owns one of them"));
        let mut quotas = dragonflylug::sorted::SortedMap::default();
        let quota = Quota {
            rate_per_s: 100.0,
            burst: 10.0,
        };
        quotas.insert(organisation, quota);
        state.set_quotas(0, quotas);
        let mut now_us = 0;
        group.bench_function(BenchmarkId::new("ask_and_respond", members), |bencher| {
            bencher.iter(|| {
                now_us += 1;
                let call = CallKey(now_us);
                let (_, actions) =
                    state.take(now_us, organisation, call, Priority::Normal, 1_000_000);
                state.cancel(organisation, call);
                for outgoing in actions.outgoing {
                    let (response, _) = state.respond(now_us, outgoing.message);
                    let Some(pending) = outgoing.pending else {
                        continue;
                    };
                    black_box(state.handle_response(now_us, pending, Some(response)));
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_admission, bench_routing, bench_quota);
criterion_main!(benches);
