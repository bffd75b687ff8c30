//! Properties of the roster under reports in any order, and of the size computed for messages.

use std::net::SocketAddr;
use std::pin::Pin;

use dragonflylug::ids::MemberId;
use dragonflylug::membership::{
    Gossip, IdRange, Member, MemberState, Message, Roster, Update, encoded_bytes,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

const ENVELOPE_BYTES: usize = 100;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

fn state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Gone),
    ]
}

fn member(id: u64, address: SocketAddr, state: MemberState, incarnation: u32) -> Member {
    Member {
        id: MemberId(id),
        address,
        availability_zone: "zone-a".into(),
        service: Some("availability".into()),
        slots: 35,
        state,
        incarnation,
        schema_version: 1,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Reports about a few members, each at its own address.
fn reports() -> impl Strategy<Value = Vec<Member>> {
    let report = (0..4u64, state(), 0..4u32)
        .prop_map(|(id, state, incarnation)| member(id, address(id as u16), state, incarnation));
    prop::collection::vec(report, 1..24)
}

/// Reports about several members at one address.
fn contested_reports() -> impl Strategy<Value = Vec<Member>> {
    let report = (0..4u64, state(), 0..4u32)
        .prop_map(|(id, state, incarnation)| member(id, address(7), state, incarnation));
    prop::collection::vec(report, 1..24)
}

fn roster_of(reports: &[Member]) -> Roster {
    let mut roster = Roster::default();
    for report in reports {
        roster.apply_report(report.clone(), u64::MAX);
    }
    roster
}

fn members_of(roster: &Roster) -> Vec<Member> {
    roster.members().cloned().collect()
}

proptest! {
    #![proptest_config(config())]

    /// The newest report of each member wins, in whatever order the reports arrive.
    #[test]
    fn reports_in_any_order_lead_to_the_same_roster(
        (reports, shuffled) in reports().prop_flat_map(|reports| {
            (Just(reports.clone()), Just(reports).prop_shuffle())
        })
    ) {
        prop_assert_eq!(members_of(&roster_of(&reports)), members_of(&roster_of(&shuffled)));
    }

    /// A report that is not newer than a member's gone report does not add the member again.
    #[test]
    fn stale_reports_do_not_revive_a_gone_member(
        reports in reports(),
        incarnation in 0..4u32,
    ) {
        let mut roster = roster_of(&reports);
        roster.apply_report(member(1, address(1), MemberState::Gone, 3), u64::MAX);
        roster.apply_report(member(1, address(1), MemberState::Alive, incarnation), u64::MAX);
        prop_assert!(roster.get(MemberId(1)).is_none());
        roster.apply_report(member(1, address(1), MemberState::Alive, 4), u64::MAX);
        prop_assert!(roster.get(MemberId(1)).is_some());
    }

    /// The roster has at most one member for an address, and finds it by that address.
    #[test]
    fn at_most_one_member_has_an_address(reports in contested_reports()) {
        let roster = roster_of(&reports);
        let members = members_of(&roster);
        prop_assert!(members.len() <= 1);
        prop_assert_eq!(roster.at_address(address(7)), members.first());
    }

    /// The parts of a range cover each of its members once.
    #[test]
    fn parts_cover_the_range(ids in prop::collection::btree_set(any::<u64>(), 1..200)) {
        let mut roster = Roster::default();
        for (index, id) in ids.iter().enumerate() {
            let report = member(*id, address(index as u16), MemberState::Alive, 0);
            roster.apply_report(report, u64::MAX);
        }
        let mut found = Vec::new();
        for (index, part) in roster.part_digests(IdRange::ALL).iter().enumerate() {
            let before = found.len();
            found.extend(roster.in_range(IdRange::ALL.part(index)).map(|member| member.id.0));
            prop_assert_eq!(found.len() - before, part.members as usize);
        }
        prop_assert_eq!(found, ids.into_iter().collect::<Vec<_>>());
    }

    /// The bytes charged to the budget cover the encoded message, with less than 10 bytes to spare.
    #[test]
    fn counted_bytes_cover_the_encoded_message(
        reports in reports(),
        id in any::<u64>(),
        incarnation in any::<u32>(),
        hashes in prop::collection::vec(any::<u32>(), 0..16),
        kind in 0..6,
    ) {
        let mut updates = Vec::new();
        for (index, report) in reports.iter().enumerate() {
            updates.push(match index % 2 {
                0 => Update::Full(report.clone()),
                _ => Update::State { id: MemberId(id), state: report.state, incarnation },
            });
        }
        let gossip = Gossip { from: MemberId(id), incarnation, updates: updates.clone() };
        let message = match kind {
            0 => Message::Probe { to: MemberId(id), gossip },
            1 => Message::IndirectProbe { to: MemberId(id), address: address(7), gossip },
            2 => Message::ListMembers { from: reports[0].clone(), after: Some(MemberId(id)) },
            3 => Message::Members { members: reports, has_more: true },
            4 => Message::MissingUpdates { updates },
            _ => Message::Compare { range: IdRange::ALL, hashes },
        };
        let mut codec = Bincode::<Message, Message>::default();
        let encoded = Pin::new(&mut codec).serialize(&message).unwrap();
        let counted_bytes = encoded_bytes(&message) - ENVELOPE_BYTES;
        let spare_bytes = counted_bytes.checked_sub(encoded.len());
        prop_assert!(spare_bytes.is_some_and(|spare_bytes| spare_bytes < 10), "{counted_bytes}");
    }
}
