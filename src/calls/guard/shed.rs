//! Sheds requests whose entry daemon does not know the present pressure yet.

use rand::RngExt;

use super::Guard;
use super::fair::OrganisationRequest;
use crate::ids::CallKey;
use crate::kernel::Context;
use crate::pressure;
use crate::verdict::{Refusal, RefusalReason};

impl Guard {
    /// Returns the refusal of a new request that its entry daemon would have shed at the pressure that
    /// is known here.
    pub(super) fn find_shed_refusal(
        &mut self,
        context: &mut Context<'_>,
        key: CallKey,
    ) -> Option<Refusal> {
        let peer_call = &self.calls.get(&key)?.peer_call;
        let basis = peer_call.shed_basis?;
        let sender = OrganisationRequest::of_call(peer_call);
        let route = peer_call.route.clone();
        let load = self.load_for_call(context, route.as_ref(), sender.as_ref());
        let pressure = f64::from(load.pressure_permille) / 1_000.0;
        let share = pressure::missed_share(pressure, basis, load.fair_permille);
        if share == 0.0 || !context.fork_rng().random_bool(share) {
            return None;
        }
        Some(self.refusal(RefusalReason::Threshold, false))
    }
}
