//! The retry service: allowances of root requests, budgets of callers.

use macro_rules_attribute::apply;

use super::NAME;
use super::allowance::Allowance;
use super::budget::{Budget, BudgetBounds};
use crate::derives::settings;
use crate::ids::{Caller, RequestId};
use crate::kernel::{Context, Event, Service};
use crate::sorted::SortedMap;
use crate::verdict::{Refusal, RefusalReason};

/// The bounds of the callers' retry budgets.
#[apply(settings!)]
pub struct RetrySettings {
    /// The retries that a caller may make, as a percentage of its recent successes.
    pub budget_percent: u32,
    /// The retries that a caller may make in a window without any success.
    pub budget_floor: u32,
    /// The window in which successes and retries are counted.
    pub window_ms: u64,
    /// The greatest number of callers that are remembered.
    pub callers_max: usize,
    /// The greatest number of recent requests that are remembered for each caller.
    pub requests_per_caller_max: usize,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            budget_percent: 20,
            budget_floor: 10,
            window_ms: 10_000,
            callers_max: 1_024,
            requests_per_caller_max: 256,
        }
    }
}

/// Grants the allowances of root requests and keeps the budgets of their callers.
pub struct RetryLedger {
    bounds: BudgetBounds,
    callers_max: usize,
    callers: SortedMap<Caller, Budget>,
}

impl RetryLedger {
    /// Makes a ledger that knows no caller.
    pub fn new(settings: RetrySettings) -> Self {
        let bounds = BudgetBounds {
            window_us: settings.window_ms.max(1) * 1_000,
            percent: settings.budget_percent,
            floor: settings.budget_floor,
            requests_max: settings.requests_per_caller_max.max(1),
        };
        Self {
            bounds,
            callers_max: settings.callers_max.max(1),
            callers: SortedMap::default(),
        }
    }

    /// Grants the allowance of a request from outside the call graph, or refuses a repeat.
    ///
    /// A first try gets `policy_retries`. A repeat gets what the caller `offered` of what its earlier
    /// tries left over. A repeat without any left is refused once the caller's budget is spent.
    #[expect(clippy::too_many_arguments)]
    pub fn open_root(
        &mut self,
        now_us: u64,
        caller: &Caller,
        request: Option<RequestId>,
        policy_retries: u32,
        offered: Option<u32>,
        is_repeat: bool,
    ) -> Result<Allowance, Refusal> {
        let bounds = self.bounds;
        let budget = self.budget(now_us, caller);
        let Some(request) = request else {
            let fresh = if is_repeat { 0 } else { policy_retries };
            let offered = offered.unwrap_or(fresh).min(policy_retries);
            return budget.open_unnamed(now_us, offered, is_repeat, bounds);
        };
        let known_left = budget.recognize(request);
        if known_left.is_none() && !is_repeat {
            budget.open(now_us, request, bounds);
            return Ok(Allowance::new(
                offered.unwrap_or(policy_retries).min(policy_retries),
            ));
        }
        let left = known_left.unwrap_or(policy_retries);
        let tokens = offered.unwrap_or(0).min(policy_retries).min(left);
        if tokens == 0 && budget.left(now_us, bounds) == 0 {
            return Err(budget.refusal(now_us, bounds));
        }
        budget.charge(1);
        budget.open(now_us, request, bounds);
        Ok(Allowance::new(tokens))
    }

    /// Notes the end of a root request: the tokens that it left over, and whether it succeeded.
    pub fn close_root(
        &mut self,
        now_us: u64,
        caller: &Caller,
        request: Option<RequestId>,
        left: u32,
        succeeded: bool,
    ) {
        let budget = self.budget(now_us, caller);
        if succeeded {
            budget.succeed();
        }
        if let Some(request) = request {
            budget.close(request, left);
        }
    }

    /// Returns the number of callers in memory.
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    fn budget(&mut self, now_us: u64, caller: &Caller) -> &mut Budget {
        if !self.callers.contains_key(caller) {
            self.make_room();
        }
        let budget = self
            .callers
            .get_or_insert_with(caller.clone(), Budget::default);
        budget.advance(now_us, self.bounds);
        budget
    }

    /// Forgets the caller that was silent for longest where there are too many.
    fn make_room(&mut self) {
        if self.callers.len() < self.callers_max {
            return;
        }
        let mut oldest: Option<(&Caller, u64)> = None;
        for (caller, budget) in self.callers.iter() {
            if oldest.is_none_or(|(_, seen_us)| budget.last_seen_us < seen_us) {
                oldest = Some((caller, budget.last_seen_us));
            }
        }
        let Some((caller, _)) = oldest else {
            return;
        };
        let caller = caller.clone();
        self.callers.remove(&caller);
    }
}

impl Budget {
    /// Grants the allowance of a request without an identifier, within the budget.
    fn open_unnamed(
        &mut self,
        now_us: u64,
        wanted: u32,
        is_repeat: bool,
        bounds: BudgetBounds,
    ) -> Result<Allowance, Refusal> {
        let left = self.left(now_us, bounds);
        if is_repeat && left == 0 && wanted == 0 {
            return Err(self.refusal(now_us, bounds));
        }
        self.charge(u32::from(is_repeat));
        Ok(Allowance::new(wanted.min(left)))
    }

    fn refusal(&self, now_us: u64, bounds: BudgetBounds) -> Refusal {
        let rest_ms = self.window_rest_us(now_us, bounds).div_ceil(1_000);
        Refusal {
            reason: RefusalReason::RetryBudget,
            retry_after_ms: u32::try_from(rest_ms).unwrap_or(u32::MAX),
            is_elsewhere_worthwhile: false,
        }
    }
}

impl Service for RetryLedger {
    fn name(&self) -> &'static str {
        NAME
    }

    fn handle(&mut self, _context: &mut Context<'_>, _event: Event) {}
}
