//! Routers of daemons that send requests to the targets of one service.

#![allow(dead_code)]

use dragonflylug::ids::{AvailabilityZone, MemberId};
use dragonflylug::kernel::{Input, Kernel, Notice};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::routing::{Router, RoutingSettings};

/// The service of the targets.
pub const SERVICE: &str = "bookings";

/// The member id of the first target.
const FIRST_TARGET: u64 = 100;

/// Returns the member id of a target.
pub fn target_id(target: usize) -> MemberId {
    MemberId(FIRST_TARGET + target as u64)
}

/// Returns the target of a member id.
pub fn target_of(member: MemberId) -> usize {
    (member.0 - FIRST_TARGET) as usize
}

/// Creates a kernel with a router that knows all targets.
pub fn new_sender(id: u64, targets: usize, slots: u32) -> Kernel {
    let mut kernel = Kernel::new(id);
    let zone = AvailabilityZone::from("a");
    let settings = RoutingSettings::default();
    kernel.register(Box::new(Router::new(settings, zone, MemberId(id))));
    kernel.start(0);
    for target in 0..targets {
        let member = Member {
            id: target_id(target),
            address: ([127, 0, 0, 1], 1_000 + target as u16).into(),
            availability_zone: "a".into(),
            service: Some(SERVICE.into()),
            slots,
            state: MemberState::Alive,
            incarnation: 1,
            schema_version: 1,
        };
        kernel.handle(0, Input::Notice(Notice::MemberChanged(member)));
    }
    kernel
}
