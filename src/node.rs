//! Builds the kernel of a node with all its services. A node is one daemon without its sockets and
//! its clock.

use crate::admission::Admission;
use crate::calls::entry::Entry;
use crate::calls::guard::Guard;
use crate::config::Config;
use crate::kernel::Kernel;
use crate::membership::{Member, Membership};
use crate::pressure::Pressures;
use crate::quarantine::Quarantine;
use crate::quota::Quotas;
use crate::retry::{CallerBudgets, ServiceBudgets};
use crate::routes::Routes;
use crate::routing::Router;
use crate::run_once::RunOnce;
use crate::settings::Settings;

/// Builds the kernel of a node that is configured by operators' records. `own` describes the node
/// to other members, and `seed` seeds its random number generator.
pub fn build_kernel(settings: &Settings, own: Member, seed: u64) -> Kernel {
    let id = own.id;
    let zone = own.availability_zone.clone();
    let run_once = RunOnce::new(settings.run_once.clone(), id).with_address(own.address);
    let mut kernel = Kernel::new(seed);
    kernel.register(Box::new(Entry::new(settings.entry.clone(), id)));
    kernel.register(Box::new(Guard::new(settings.guard.clone())));
    kernel.register(Box::new(Admission::new(settings.admission.clone())));
    kernel.register(Box::new(Router::new(
        settings.routing.clone(),
        zone.clone(),
        id,
    )));
    kernel.register(Box::new(Quarantine::new(settings.quarantine.clone(), id)));
    kernel.register(Box::new(CallerBudgets::new(settings.retry.clone())));
    kernel.register(Box::new(run_once));
    kernel.register(Box::new(Config::new(settings.config.clone(), id, zone)));
    kernel.register(Box::new(Membership::new(settings.membership.clone(), own)));
    kernel
}

/// Builds the kernel of a node that is configured by a route table: [`Routes`] replaces [`Config`],
/// [`ServiceBudgets`] replaces [`CallerBudgets`], and [`Pressures`] is added. It has no [`RunOnce`],
/// so a request that must run at most once is sent only once.
pub fn build_sidecar_kernel(settings: &Settings, own: Member, seed: u64) -> Kernel {
    let id = own.id;
    let zone = own.availability_zone.clone();
    let budgets = ServiceBudgets::new(settings.retry_services.clone());
    let quotas = Quotas::new(settings.quota.clone(), id, own.address);
    let mut kernel = Kernel::new(seed);
    kernel.register(Box::new(Entry::new(settings.entry.clone(), id)));
    kernel.register(Box::new(Guard::new(settings.guard.clone())));
    kernel.register(Box::new(Admission::new(settings.admission.clone())));
    kernel.register(Box::new(Router::new(settings.routing.clone(), zone, id)));
    kernel.register(Box::new(Quarantine::new(settings.quarantine.clone(), id)));
    kernel.register(Box::new(budgets));
    kernel.register(Box::new(quotas));
    kernel.register(Box::new(Pressures::default()));
    kernel.register(Box::new(Routes::new(settings.routes.clone(), id)));
    kernel.register(Box::new(Membership::new(settings.membership.clone(), own)));
    kernel
}
