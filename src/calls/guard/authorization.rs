//! Refuses requests whose key was withdrawn after their entry daemon accepted it.

use super::Guard;
use crate::ids::CallKey;
use crate::kernel::Context;
use crate::routes::{self, Routes};
use crate::verdict::{Refusal, RefusalReason};

impl Guard {
    /// Returns the refusal of a request whose key the route table of this daemon no longer holds.
    ///
    /// A table that is older than that of the entry daemon decides nothing: the key may be new.
    pub(super) fn find_withdrawn_key_refusal(
        &self,
        context: &mut Context<'_>,
        key: CallKey,
    ) -> Option<Refusal> {
        let peer_call = &self.calls.get(&key)?.peer_call;
        let principal = peer_call.principal.as_ref()?;
        let routes = context.find::<Routes>(routes::NAME)?;
        if routes.version() < peer_call.config_version {
            return None;
        }
        if routes.organisations()?.accepts(principal) {
            return None;
        }
        Some(self.refusal(RefusalReason::Unauthorized, false))
    }
}
