//! A guard whose process stood still: work that it admitted before must not reach a target that has
//! left in the meantime.

#[path = "support/network.rs"]
mod network;
#[path = "support/nodes.rs"]
mod nodes;
#[path = "support/peer_calls.rs"]
mod peer_calls;

use dragonflylug::calls::guard;
use dragonflylug::ids::{CallKey, InboundKey, MemberId, Priority};
use dragonflylug::kernel::{Effect, Event, Input, Kernel, Notice, TargetOutcome};
use dragonflylug::membership::{Member, MemberState};
use dragonflylug::node::build_kernel;
use dragonflylug::peer::PeerRequest;
use dragonflylug::request::PeerCall;
use dragonflylug::settings::Settings;
use dragonflylug::target::AnswerSignals;
use network::ok_answer;
use nodes::{address, announcement, request};
use peer_calls::peer_call;

const SERVICE: &str = "bookings";
const DEADLINE_MS: u32 = 20_000;
/// When the target says that it leaves.
const LEAVE_US: u64 = 500_000;
/// When the process goes on after it stood still.
const RESUME_US: u64 = 4_000_000;

/// Creates a node whose queue holds a call for many seconds.
fn kernel() -> Kernel {
    let mut settings = Settings::default();
    settings.admission.queue_wait_max_ms = DEADLINE_MS;
    let own = Member {
        id: MemberId(1),
        address: address(1),
        availability_zone: "zone-1".into(),
        service: None,
        slots: 0,
        state: MemberState::Alive,
        incarnation: 0,
        schema_version: settings.config.schema_version_max,
    };
    let mut kernel = build_kernel(&settings, own, 1);
    kernel.start(0);
    kernel
}

fn call(number: u64) -> Input {
    let call = PeerCall {
        priority: Priority::Critical,
        deadline_left_ms: DEADLINE_MS,
        ..peer_call(&request(SERVICE, "GET", "/"), number)
    };
    Input::PeerRequest {
        inbound: InboundKey(number),
        request: PeerRequest::Call(Box::new(call)),
    }
}

/// Returns the calls that an input sends to the target.
fn sent_calls(effects: Vec<Effect>) -> Vec<CallKey> {
    let mut sent = Vec::new();
    for effect in effects {
        if let Effect::SendTargetRequest { call, .. } = effect {
            sent.push(call);
        }
    }
    sent
}

#[test]
fn queued_call_is_sent_to_a_target_that_left_while_the_guard_stood_still() {
    let mut kernel = kernel();
    let mut target = announcement(SERVICE, 1);
    kernel.handle(0, Input::Notice(Notice::TargetAnnounced(target.clone())));
    let running = sent_calls(kernel.handle(1, call(1)));
    assert_eq!(running.len(), 1);
    assert_eq!(sent_calls(kernel.handle(2, call(2))), []);
    target.is_draining = true;
    kernel.handle(LEAVE_US, Input::Notice(Notice::TargetAnnounced(target)));
    let ended = Event::TargetRequestEnded {
        call: running[0],
        outcome: TargetOutcome::Answered(ok_answer()),
        signals: AnswerSignals::default(),
    };
    let effects = kernel.handle(RESUME_US, Input::Event(guard::NAME, ended));
    assert_eq!(sent_calls(effects), []);
}

/// A short queue ends sooner where it is, so a leaving target still gets it for a second.
#[test]
fn queued_call_is_sent_to_a_target_that_has_just_said_it_is_leaving() {
    let mut kernel = kernel();
    let mut target = announcement(SERVICE, 1);
    kernel.handle(0, Input::Notice(Notice::TargetAnnounced(target.clone())));
    let running = sent_calls(kernel.handle(1, call(1)));
    kernel.handle(2, call(2));
    target.is_draining = true;
    kernel.handle(LEAVE_US, Input::Notice(Notice::TargetAnnounced(target)));
    let ended = Event::TargetRequestEnded {
        call: running[0],
        outcome: TargetOutcome::Answered(ok_answer()),
        signals: AnswerSignals::default(),
    };
    let effects = kernel.handle(LEAVE_US + 1, Input::Event(guard::NAME, ended));
    assert_eq!(sent_calls(effects).len(), 1);
}
