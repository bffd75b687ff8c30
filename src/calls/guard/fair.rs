//! The fair shares of the organisations whose requests reach the target.

use super::Guard;
use crate::ids::{OrganisationName, RouteName};
use crate::kernel::Context;
use crate::pressure::{self, ArrivingRequest, ShedBasis};
use crate::request::{LoadReport, PeerCall};
use crate::routes::{self, Routes};

/// The organisation that sent a request, and the basis on which its entry daemon did not shed it.
pub(super) struct OrganisationRequest {
    organisation: OrganisationName,
    basis: ShedBasis,
}

impl OrganisationRequest {
    /// Returns the organisation and the basis of a call; `None` if it carries no key or its entry
    /// daemon never sheds it.
    pub(super) fn of_call(call: &PeerCall) -> Option<Self> {
        Some(Self {
            organisation: call.principal.as_ref()?.organisation.clone(),
            basis: call.shed_basis?,
        })
    }
}

impl Guard {
    /// Records the first attempt of an organisation's request, which stands also for the requests
    /// that its entry daemon sheds.
    pub(super) fn record_offered(&mut self, context: &mut Context<'_>, call: &PeerCall) {
        let Some(sender) = OrganisationRequest::of_call(call).filter(|_| !call.is_repeat) else {
            return;
        };
        let offered = 1.0 / (1.0 - sender.basis.shed_share());
        let quota_per_s = quota_per_s(context, &sender.organisation);
        self.fair_shares.record_arrival(
            context.now_us(),
            &sender.organisation,
            sender.basis.request.priority,
            offered,
            quota_per_s,
        );
    }

    /// Returns the load to report for a call of a route, with the factor of its organisation.
    pub(super) fn load_for_call(
        &mut self,
        context: &mut Context<'_>,
        route: Option<&RouteName>,
        sender: Option<&OrganisationRequest>,
    ) -> LoadReport {
        let load = self.load(context, route);
        let Some(sender) = sender else {
            return load;
        };
        let request = ArrivingRequest {
            is_client_retry: false,
            ..sender.basis.request
        };
        let pressure = f64::from(load.pressure_permille) / 1_000.0;
        let admitted = 1.0 - pressure::shed_share(pressure, request);
        let fair_permille = self.fair_shares.factor_permille(
            context.now_us(),
            &sender.organisation,
            request.priority,
            admitted,
        );
        LoadReport {
            fair_permille,
            ..load
        }
    }
}

/// Returns the quota of an organisation in requests per second, if it has one.
fn quota_per_s(context: &mut Context<'_>, organisation: &OrganisationName) -> Option<f64> {
    let routes = context.find::<Routes>(routes::NAME)?;
    let quota = routes.organisations()?.get(organisation)?.quota?;
    Some(quota.rate_per_s)
}
