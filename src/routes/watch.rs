//! The watch of the source of route tables.

use rand::RngExt;

use super::RouteUpdate;
use super::service::{RequestKind, Routes, TimerTag};
use crate::ids::OutboundKey;
use crate::kernel::{Context, Effect, StateChange};
use crate::metrics::Counter;
use crate::table::{PlatformError, RowVersion};

impl Routes {
    /// Waits for an update from the source, or reads the current table if there is no position.
    pub(super) fn watch(&mut self, context: &mut Context<'_>) {
        let key = OutboundKey(context.new_key());
        let wait_ms = if self.position.is_some() {
            self.settings.watch_ms
        } else {
            0
        };
        let timeout_ms = wait_ms + self.settings.watch_slack_ms;
        self.pending.insert(key, RequestKind::Watch);
        context.emit(Effect::ReadRoutes {
            key,
            after: self.position,
            wait_ms,
            timeout_us: u64::from(timeout_ms) * 1_000,
        });
    }

    /// Applies an update of the source and continues the watch, or schedules a retry with
    /// randomized backoff.
    pub(super) fn handle_update(
        &mut self,
        context: &mut Context<'_>,
        result: Result<RouteUpdate, PlatformError>,
    ) {
        match result {
            Ok(update) => {
                if self.failures > 0 {
                    let change = "route source is reachable again";
                    context.log(StateChange::new("routes", change, ""));
                }
                self.failures = 0;
                self.record_position(context, update.position);
                if let Some(table) = update.table {
                    self.apply(context, table, "source");
                }
                match self.position {
                    Some(_) => self.watch(context),
                    None => self.schedule_read(context),
                }
            }
            Err(error) => {
                if self.failures == 0 {
                    let change = "reading the route source failed; retrying with backoff";
                    let detail = format!("{error:?}");
                    context.log(StateChange::new("routes", change, detail));
                }
                self.failures = self.failures.saturating_add(1);
                let doubled_ms = self.settings.retry_ms << self.failures.min(8);
                let delay_ms = doubled_ms.min(self.settings.retry_max_ms).max(2);
                let delay_ms = context.rng().random_range(delay_ms / 2..=delay_ms);
                context.set_timer(u64::from(delay_ms) * 1_000, TimerTag::Watch as u64);
            }
        }
    }

    /// Schedules a read of the current table, spread over time because all daemons may need it at
    /// once.
    fn schedule_read(&mut self, context: &mut Context<'_>) {
        let delay_ms = context.rng().random_range(0..=self.settings.retry_ms);
        context.set_timer(u64::from(delay_ms) * 1_000, TimerTag::Watch as u64);
    }

    /// Records where the watch continues. If the source was restored from an older copy, changes
    /// before the new position may have been skipped, so the table is read again.
    fn record_position(&mut self, context: &mut Context<'_>, position: Option<RowVersion>) {
        let is_same_epoch = match (self.position, position) {
            (Some(before), Some(after)) => before.epoch == after.epoch,
            _ => true,
        };
        self.position = position.filter(|_| is_same_epoch);
        if !is_same_epoch {
            let change = "the route source was restored; reading the table again";
            let epoch = position.map_or(0, |position| position.epoch.0);
            context.log(StateChange::new("routes", change, format!("epoch {epoch}")));
            context.count(Counter::unlabelled("route_source_restorations"));
        }
    }
}
