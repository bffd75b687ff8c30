//! Calls from an entry daemon to a guard.

use dragonflylug::ids::{MemberId, Priority, RequestId, RootId};
use dragonflylug::request::{CallRequest, PeerCall};

/// How long the caller of a [`peer_call`] waits.
pub const DEADLINE_MS: u32 = 1_000;

/// Creates the call of a root request that may run more than once, unless it has a run key.
pub fn peer_call(request: &CallRequest, id: u64) -> PeerCall {
    PeerCall {
        from: MemberId(1),
        service: request.service.clone(),
        caller: request.caller.clone(),
        request: RequestId(id),
        root: RootId(id),
        depth: 0,
        priority: Priority::Normal,
        deadline_left_ms: DEADLINE_MS,
        retries: 0,
        is_idempotent: true,
        run_key: request.run_key.clone(),
        config_version: 0,
        trace_id: None,
        route: None,
        is_repeat: false,
        shed_basis: None,
        principal: None,
        known_condition: None,
        http: request.http.clone(),
    }
}
