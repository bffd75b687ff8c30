//! Tests that no window runs more requests of an organisation than its quota allows, whatever fails,
//! and that the quota is used where nothing does.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/quota_bound.rs"]
mod quota_bound;
#[path = "support/quota_model.rs"]
mod quota_model;

use std::net::SocketAddr;
use std::ops::Range;

use dragonflylug::ids::{CallKey, MemberId, Priority};
use dragonflylug::organisations::Quota;
use dragonflylug::quota::{
    Bucket, Grant, Lender, OrganisationHash, Outcome, QuotaSettings, Take, TokenClient, View,
    WaitingRequest,
};
use rand::RngExt;

use quota_bound::SECOND_US;
use quota_model::{Model, Spread};

const ORGANISATION: OrganisationHash = OrganisationHash(1);

const SPREADS: [Spread; 3] = [Spread::Even, Spread::Two, Spread::Moving];

fn quota(rate_per_s: f64, burst: f64) -> Quota {
    Quota { rate_per_s, burst }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Guards against more requests in a window than the quota allows, under overlapping faults and
/// views that disagree, also after a change of the quota.
fn check_random_steps(seeds: Range<u64>) {
    for seed in seeds {
        let first = quota(
            [10.0, 50.0, 120.0][seed as usize % 3],
            [0.0, 10.0, 60.0][seed as usize / 3 % 3],
        );
        let second = quota(first.rate_per_s / 4.0, first.burst / 2.0);
        let mut model = Model::new(
            seed,
            4 + seed as usize % 4,
            first,
            SPREADS[seed as usize / 9 % 3],
        );
        let fault_period_us = model.rng.random_range(SECOND_US / 2..6 * SECOND_US);
        let demand_per_s = 2.0 * first.rate_per_s;
        let changed_us = 14 * SECOND_US;
        model.run(changed_us, demand_per_s, fault_period_us);
        model.change_quota(second);
        let all_have_us = changed_us + 5 * SECOND_US / 2;
        model.run(24 * SECOND_US, demand_per_s, fault_period_us);
        println!("seed {seed}: {} ran", model.runs.len());
        model.check_bound(0, u64::MAX, first);
        model.check_bound(all_have_us + 5 * SECOND_US / 2, u64::MAX, second);
    }
}

cases! { check_random_steps:
    random_steps_of_seeds_0_to_249 => 0..250,
    random_steps_of_seeds_250_to_499 => 250..500,
    random_steps_of_seeds_500_to_749 => 500..750,
    random_steps_of_seeds_750_to_999 => 750..1_000,
}

/// Guards against refusing requests within the quota once conditions are steady.
fn check_utilisation((daemons, quota, spread): (usize, Quota, Spread)) {
    let mut model = Model::new(1, daemons, quota, spread);
    model.is_steady = true;
    let (from_us, until_us) = (12 * SECOND_US, 32 * SECOND_US);
    model.run(until_us, 2.0 * quota.rate_per_s, u64::MAX / 4);
    model.check_bound(0, u64::MAX, quota);
    let used = model.runs.iter().filter(|run| run.1 >= from_us).count() as f64;
    let utilisation = used / (quota.rate_per_s * 20.0);
    println!("{spread:?} {quota:?}: {utilisation}");
    assert!(utilisation >= 0.97, "{utilisation} of the quota used");
}

cases! { check_utilisation:
    an_even_spread_uses_the_quota => (60, quota(100.0, 20.0), Spread::Even),
    callers_at_two_daemons_use_the_quota => (60, quota(100.0, 20.0), Spread::Two),
    callers_that_move_use_the_quota => (60, quota(100.0, 0.0), Spread::Moving),
    a_large_quota_is_used_at_two_daemons => (20, quota(400.0, 0.0), Spread::Two),
    a_small_quota_is_used => (60, quota(3.0, 0.0), Spread::Even),
}

/// Guards against a share that two owners hold at the same time.
#[test]
fn a_share_is_lent_to_one_owner_at_a_time() {
    let settings = QuotaSettings::default();
    let loan_us = u64::from(settings.loan_ms) * 1_000;
    let mut lender = Lender::new(settings);
    let mut lend =
        |now_us, to, sequence| lender.lend(now_us, 0, ORGANISATION, address(to), sequence);
    assert_eq!(lend(2 * SECOND_US, 1, 1), Some(2_000));
    assert_eq!(lend(3 * SECOND_US, 2, 1), None);
    assert_eq!(lend(3 * SECOND_US, 1, 2), Some(0));
    assert_eq!(lend(3 * SECOND_US + loan_us, 2, 2), Some(0));
    lender.release(7 * SECOND_US + 1, ORGANISATION, address(2), 1);
    assert_eq!(
        lender.lend(7 * SECOND_US + 2, 0, ORGANISATION, address(1), 3),
        None
    );
    lender.release(8 * SECOND_US, ORGANISATION, address(2), 2);
    assert_eq!(
        lender.lend(9 * SECOND_US, 0, ORGANISATION, address(1), 4),
        Some(1_000)
    );
}

/// Guards against a bucket that fills by shares after their loans ended, or holds more than its part.
#[test]
fn a_bucket_fills_only_by_the_shares_it_holds() {
    let mut bucket = Bucket::new(0, quota(100.0, 28.0));
    assert_eq!(bucket.take(SECOND_US, 10, 0), 0);
    bucket.add_share(SECOND_US, address(1), 2 * SECOND_US, 2, 0);
    assert_eq!(bucket.take(SECOND_US + 100_000, 10, 0), 5);
    assert_eq!(bucket.next_token_us(SECOND_US + 100_000), Some(20_000));
    bucket.add_share(SECOND_US + 100_000, address(2), 9 * SECOND_US, 2, 0);
    assert_eq!(bucket.take(9 * SECOND_US - 1, 1_000, 0), 22);
    assert_eq!(bucket.take(10 * SECOND_US, 10, 0), 0);
    assert_eq!(bucket.next_token_us(10 * SECOND_US), None);
    bucket.add_share(10 * SECOND_US, address(1), 12 * SECOND_US, 2, 60_000);
    assert_eq!(bucket.take(10 * SECOND_US, 1_000, 0), 22);
}

/// Guards against a daemon that starts and counts itself as one of too few.
#[test]
fn a_daemon_lends_nothing_before_it_knows_the_others() {
    let mut view = View::new(QuotaSettings::default(), 0, MemberId(1), address(1));
    assert_eq!(view.ready_us(60 * SECOND_US), None);
    view.record_member(0, address(2), MemberId(2), false);
    view.record_members_read();
    assert_eq!(view.ready_us(60 * SECOND_US), None);
    view.record_absent(0, address(3), 60_000);
    view.record_absent_read();
    assert_eq!(view.ready_us(5 * SECOND_US), None);
    assert!(view.ready_us(6 * SECOND_US).is_some());
    view.record_gone(7 * SECOND_US, MemberId(2));
    assert_eq!(view.owner(ORGANISATION), Some(address(1)));
    assert_eq!(view.lenders_len(), 3);
    view.forget(61 * SECOND_US);
    assert_eq!(view.lenders_len(), 2);
}

/// Guards against tokens that go to a less important or a later request first, or that are used after
/// they expired.
#[test]
fn waiting_requests_get_tokens_by_priority_and_arrival() {
    let mut client = TokenClient::new(QuotaSettings::default());
    let priorities = [Priority::Low, Priority::High, Priority::High, Priority::Low];
    for (call, priority) in priorities.into_iter().enumerate() {
        let call = CallKey(call as u64);
        let until_us = SECOND_US;
        let request = WaitingRequest {
            call,
            priority,
            until_us,
        };
        assert_eq!(client.take(0, ORGANISATION, request), Take::Waiting);
    }
    assert_eq!(client.next_ask(0, ORGANISATION), Some((4, 0)));
    let grant = Grant {
        tokens: 3,
        next_ms: Some(40),
    };
    let decided = client.record_grant(1_000, 0, ORGANISATION, grant);
    let granted = |call| (CallKey(call), Outcome::Granted(300_000));
    let exceeded = (CallKey(3), Outcome::Exceeded { retry_after_ms: 40 });
    assert_eq!(decided, [granted(1), granted(2), granted(0), exceeded]);
    let late = WaitingRequest {
        call: CallKey(4),
        priority: Priority::High,
        until_us: SECOND_US,
    };
    let exceeded = Take::Exceeded { retry_after_ms: 31 };
    assert_eq!(client.take(10_000, ORGANISATION, late), exceeded);
    client.give_back(20_000, ORGANISATION, 300_000);
    assert_eq!(
        client.take(299_999, ORGANISATION, late),
        Take::Granted(300_000)
    );
    client.give_back(300_000, ORGANISATION, 300_000);
    assert_eq!(client.take(300_000, ORGANISATION, late), Take::Waiting);
}
