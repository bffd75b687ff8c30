//! The retry budgets of all callers, and the allowances that root requests get within them.

use macro_rules_attribute::apply;

use super::CALLER_BUDGETS_NAME;
use super::allowance::Allowance;
use super::caller_budget::{BudgetBounds, CallerBudget};
use crate::derives::settings;
use crate::ids::{Caller, RequestId};
use crate::kernel::{Context, Event, Service};
use crate::sorted::SortedMap;
use crate::verdict::{Refusal, RefusalReason};

/// Settings of the callers' retry budgets.
#[apply(settings!)]
pub struct CallerBudgetSettings {
    /// The retries that a caller may make, as a percentage of its recent successes.
    pub budget_percent: u32,
    /// The retries that a caller may make in a window in addition to that percentage, even without
    /// any success.
    pub budget_floor: u32,
    /// The window in which successes and retries are counted.
    pub window_ms: u64,
    /// The maximum number of callers that are tracked.
    pub callers_max: usize,
    /// The maximum number of recent requests that are tracked for each caller.
    pub requests_per_caller_max: usize,
}

impl Default for CallerBudgetSettings {
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

/// Grants the allowances of unrouted root requests and keeps the retry budgets of their callers.
pub struct CallerBudgets {
    bounds: BudgetBounds,
    callers_max: usize,
    callers: SortedMap<Caller, CallerBudget>,
}

impl CallerBudgets {
    /// Creates budgets without callers.
    pub fn new(settings: CallerBudgetSettings) -> Self {
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
    /// - A request whose identifier is on record is a repeat, marked with `is_repeat` or not. It
    ///   spends one of the tokens that earlier attempts left, and gets up to `offered` of the rest.
    ///   If no token is left, it gets none and is charged to the caller's budget, or refused once
    ///   that is spent.
    /// - A request that is neither on record nor marked is a first attempt. It gets
    ///   `policy_retries`, or fewer if the caller `offered` fewer.
    /// - A marked request that is not on record, as after attempts at another daemon, is charged to
    ///   the budget but not refused. It gets what the caller `offered`, less than `policy_retries`
    ///   and within the budget; if nothing is offered, it counts as a repeat without tokens left.
    /// - A request without an identifier that is not marked gets `policy_retries`, or what the
    ///   budget has left if that is less, and they are charged to the budget; `offered` is ignored.
    ///   A marked one counts as a repeat without tokens left.
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
            return budget.open_without_id(now_us, policy_retries, is_repeat, bounds);
        };
        if let Some(allowance) = budget.find_allowance(request) {
            if allowance.spend() {
                let tokens = allowance.grant(offered.unwrap_or(0));
                return Ok(Allowance::new(tokens));
            }
            return budget.charge_repeat(now_us, bounds);
        }
        if !is_repeat {
            let tokens = offered.unwrap_or(policy_retries).min(policy_retries);
            return Ok(budget.record_request(now_us, request, tokens, bounds));
        }
        let offered = offered.unwrap_or(0).min(policy_retries.saturating_sub(1));
        if offered == 0 {
            let opened = budget.charge_repeat(now_us, bounds);
            budget.record_request(now_us, request, 0, bounds);
            return opened;
        }
        let left = budget.left(now_us, bounds);
        budget.charge(1);
        Ok(budget.record_request(now_us, request, offered.min(left), bounds))
    }

    /// Records the end of a root request: the tokens that it left, and whether it succeeded.
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
            budget.record_success();
        }
        let Some(request) = request else {
            budget.refund(left);
            return;
        };
        if let Some(allowance) = budget.find_allowance(request) {
            allowance.refund(left);
        }
    }

    /// Removes a root request that was not sent to any target: if its caller sends it again, that
    /// is its first attempt.
    pub fn forget_root(&mut self, now_us: u64, caller: &Caller, request: Option<RequestId>) {
        let Some(request) = request else {
            return;
        };
        self.budget(now_us, caller).remove_request(request);
    }

    /// Returns the number of callers that are tracked.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    fn budget(&mut self, now_us: u64, caller: &Caller) -> &mut CallerBudget {
        if !self.callers.contains_key(caller) {
            self.evict_if_full();
        }
        let budget = self
            .callers
            .get_or_insert_with(caller.clone(), CallerBudget::default);
        budget.advance(now_us, self.bounds);
        budget
    }

    /// Removes the caller that has been inactive for longest if the maximum is reached.
    fn evict_if_full(&mut self) {
        if self.callers.len() < self.callers_max {
            return;
        }
        let mut oldest: Option<(&Caller, u64)> = None;
        for (caller, budget) in self.callers.iter() {
            if oldest.is_none_or(|(_, recorded_us)| budget.last_active_us < recorded_us) {
                oldest = Some((caller, budget.last_active_us));
            }
        }
        let Some((caller, _)) = oldest else {
            return;
        };
        let caller = caller.clone();
        self.callers.remove(&caller);
    }
}

impl CallerBudget {
    /// Grants the allowance of a request without an identifier from the budget.
    fn open_without_id(
        &mut self,
        now_us: u64,
        policy_retries: u32,
        is_repeat: bool,
        bounds: BudgetBounds,
    ) -> Result<Allowance, Refusal> {
        if is_repeat {
            return self.charge_repeat(now_us, bounds);
        }
        let tokens = policy_retries.min(self.left(now_us, bounds));
        self.charge(tokens);
        Ok(Allowance::new(tokens))
    }

    /// Charges a repeat to the budget, or refuses it; it gets no tokens.
    fn charge_repeat(&mut self, now_us: u64, bounds: BudgetBounds) -> Result<Allowance, Refusal> {
        if self.left(now_us, bounds) == 0 {
            return Err(self.refusal(now_us, bounds));
        }
        self.charge(1);
        Ok(Allowance::default())
    }

    fn refusal(&self, now_us: u64, bounds: BudgetBounds) -> Refusal {
        let remaining_ms = self.window_remaining_us(now_us, bounds).div_ceil(1_000);
        Refusal {
            reason: RefusalReason::RetryBudget,
            retry_after_ms: u32::try_from(remaining_ms).unwrap_or(u32::MAX),
            is_other_target_worthwhile: false,
        }
    }
}

impl Service for CallerBudgets {
    fn name(&self) -> &'static str {
        CALLER_BUDGETS_NAME
    }

    fn handle(&mut self, _context: &mut Context<'_>, _event: Event) {}
}
