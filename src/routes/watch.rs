//! The watch of the source of route tables.
//!
//! A read of the source stays open until there is a change, so its silence says nothing. A few daemons,
//! the pollers, therefore wait for a short time only, and daemons tell each other which
//! position in the source's history they reached and when the source last responded. A read after a
//! failure, or after a long time without news, doesn't wait at all: its response tells whether the
//! position still holds.

use rand::RngExt;

use super::RouteUpdate;
use super::message::SourceState;
use super::service::{Routes, TimerTag};
use crate::ids::OutboundKey;
use crate::kernel::{Context, Effect, StateChange};
use crate::membership::{self, Membership};
use crate::metrics::Counter;
use crate::table::{PlatformError, RowVersion};

/// A daemon checks its position if it has heard of no response of the source for this many
/// comparisons of states, and as many more as news needs to reach all daemons.
const SILENT_PERIODS_MAX: u32 = 4;

/// What a daemon knows of the source, and how it waits for changes.
#[derive(Default)]
pub(super) struct SourceWatch {
    /// The position in the source's history after which the watch continues; `None` if the table must
    /// be read.
    pub(super) position: Option<RowVersion>,
    /// Whether the source responded to the last read after the position.
    is_confirmed: bool,
    read: Option<SourceRead>,
    /// When the next read begins, unless one is under way.
    next_read_us: Option<u64>,
    /// When the source responded last to a daemon, as far as this one knows.
    response_us: Option<u64>,
    /// The number of reads in a row that failed.
    failures: u32,
}

impl SourceWatch {
    /// Returns how long ago the source responded to a daemon, as far as this one knows.
    pub(super) fn response_age_ms(&self, now_us: u64) -> Option<u32> {
        let age_us = now_us.saturating_sub(self.response_us?);
        u32::try_from(age_us / 1_000).ok()
    }
}

/// A read of the source that is under way.
struct SourceRead {
    key: OutboundKey,
    wait_ms: u32,
}

impl Routes {
    /// Reads the current table if there is no position, and else waits for changes after it. Replaces
    /// a read that is under way.
    pub(super) fn read_source(&mut self, context: &mut Context<'_>) {
        self.cancel_read(context);
        let (wait_ms, slack_ms) = self.read_times(context);
        let key = OutboundKey(context.new_key());
        self.source.read = Some(SourceRead { key, wait_ms });
        context.count(Counter::unlabelled("route_source_reads"));
        context.emit(Effect::ReadRoutes {
            key,
            after: self.source.position,
            wait_ms,
            timeout_us: u64::from(wait_ms + slack_ms) * 1_000,
        });
    }

    /// Returns how long the source may hold the next read open, and the time beyond that after which
    /// the read counts as lost.
    fn read_times(&self, context: &mut Context<'_>) -> (u32, u32) {
        let settings = &self.settings;
        let (longest_wait_ms, slack_ms) = match self.is_poller(context) {
            true => (settings.poll_ms, settings.poll_slack_ms),
            false => (settings.watch_ms, settings.watch_slack_ms),
        };
        match self.source.position {
            None => (0, settings.watch_slack_ms),
            Some(_) if !self.source.is_confirmed => (0, slack_ms),
            Some(_) => (longest_wait_ms, slack_ms),
        }
    }

    fn cancel_read(&mut self, context: &mut Context<'_>) {
        self.source.next_read_us = None;
        if let Some(read) = self.source.read.take() {
            context.emit(Effect::CancelRequest { key: read.key });
        }
    }

    /// Applies the update of a read and continues the watch, or schedules a retry; ignores the response
    /// to a read that was replaced.
    pub(super) fn handle_read(
        &mut self,
        context: &mut Context<'_>,
        key: OutboundKey,
        result: Result<RouteUpdate, PlatformError>,
    ) {
        if self.source.read.take_if(|read| read.key == key).is_none() {
            return;
        }
        match result {
            Ok(update) => self.handle_update(context, update),
            Err(error) => self.handle_failure(context, error),
        }
    }

    fn handle_update(&mut self, context: &mut Context<'_>, update: RouteUpdate) {
        if self.source.failures > 0 {
            let change = "route source is reachable again";
            context.log(StateChange::new("routes", change, ""));
        }
        self.source.failures = 0;
        self.source.response_us = Some(context.now_us());
        self.record_position(context, update.position);
        if let Some(table) = update.table {
            self.apply(context, table, "source");
        }
        self.source.is_confirmed = self.source.position.is_some();
        match self.source.position {
            Some(_) => self.read_source(context),
            None => {
                let delay_ms = self.settings.retry_ms.max(self.spread_ms(context));
                self.schedule_read(context, 0, delay_ms);
            }
        }
    }

    /// Schedules a retry with randomized backoff.
    fn handle_failure(&mut self, context: &mut Context<'_>, error: PlatformError) {
        if self.source.failures == 0 {
            let change = "reading the route source failed; retrying with backoff";
            let detail = format!("{error:?}");
            context.log(StateChange::new("routes", change, detail));
        }
        self.source.is_confirmed = false;
        self.source.failures = self.source.failures.saturating_add(1);
        let doubled_ms = self.settings.retry_ms << self.source.failures.min(8);
        let delay_ms = doubled_ms.min(self.settings.retry_max_ms).max(2);
        let delay_ms = delay_ms.max(self.spread_ms(context));
        self.schedule_read(context, delay_ms / 2, delay_ms);
    }

    /// Schedules a read after a random delay within a range, in place of one that is under way.
    fn schedule_read(&mut self, context: &mut Context<'_>, min_ms: u32, max_ms: u32) {
        self.cancel_read(context);
        let delay_us = u64::from(context.rng().random_range(min_ms..=max_ms)) * 1_000;
        self.source.next_read_us = Some(context.now_us() + delay_us);
        context.set_timer(delay_us, TimerTag::Read as u64);
    }

    pub(super) fn handle_read_timer(&mut self, context: &mut Context<'_>) {
        let is_due = |at_us| at_us <= context.now_us();
        if self.source.next_read_us.is_some_and(is_due) {
            self.read_source(context);
        }
    }

    /// Ends a long read if this daemon has become a poller, or if it may wait in vain.
    pub(super) fn end_long_read_if_due(&mut self, context: &mut Context<'_>) {
        let wait_ms = self.source.read.as_ref().map_or(0, |read| read.wait_ms);
        if wait_ms <= self.settings.poll_ms {
            return;
        }
        if self.is_poller(context) {
            self.read_source(context);
        } else if self.is_source_silent(context) {
            self.check_position(context);
        }
    }

    /// Returns whether this daemon should have heard of a response of the source by now, if any daemon
    /// gets responses. News of one reaches twice as many daemons with each comparison.
    fn is_source_silent(&self, context: &mut Context<'_>) -> bool {
        let doublings = self.member_count(context).ilog2() + 1;
        let silence_max_ms = self.settings.compare_period_ms * (SILENT_PERIODS_MAX + doublings);
        let age_ms = self.source.response_age_ms(context.now_us());
        age_ms.is_none_or(|age_ms| age_ms > silence_max_ms)
    }

    /// Asks the source whether the position still holds, because the read that is under way may never
    /// get its response.
    pub(super) fn check_position(&mut self, context: &mut Context<'_>) {
        self.source.is_confirmed = false;
        let delay_ms = self.spread_ms(context);
        self.schedule_read(context, 0, delay_ms);
    }

    /// Continues after the position of a peer if that is one of a later epoch, or records when the
    /// source responded to it. The table of this daemon must be at least as new as that of the peer, so
    /// that no change before the position is missed.
    pub(super) fn follow_state(&mut self, context: &mut Context<'_>, state: SourceState) {
        let (Some(own), Some(peer)) = (self.source.position, state.position) else {
            return;
        };
        if peer.epoch < own.epoch {
            return;
        }
        let age_us = state
            .response_age_ms
            .map(|age_ms| u64::from(age_ms) * 1_000);
        let response_us = age_us.map(|age_us| context.now_us().saturating_sub(age_us));
        self.source.response_us = self.source.response_us.max(response_us);
        if peer.epoch > own.epoch {
            self.source.position = Some(peer.into());
            self.report_restoration(context, "a peer", peer.into());
            self.check_position(context);
        }
    }

    /// Records where the watch continues. If the source was restored from an older copy, changes
    /// before the new position may have been skipped, so the table is read again.
    fn record_position(&mut self, context: &mut Context<'_>, position: Option<RowVersion>) {
        let before = self.source.position;
        self.source.position = position;
        if let (Some(before), Some(after)) = (before, position)
            && before.epoch != after.epoch
        {
            self.source.position = None;
            self.report_restoration(context, "the source", after);
        }
    }

    fn report_restoration(&self, context: &mut Context<'_>, from: &str, position: RowVersion) {
        let change = "the route source was restored";
        let detail = format!("epoch {} from {from}", position.epoch.0);
        context.log(StateChange::new("routes", change, detail));
        context.count(Counter::unlabelled("route_source_restorations"));
    }

    /// Returns whether this daemon is one of those that poll the source; one without a membership is.
    fn is_poller(&self, context: &mut Context<'_>) -> bool {
        let membership = context.find::<Membership>(membership::NAME);
        let pollers = self.settings.pollers_per_zone;
        membership.is_none_or(|membership| membership.is_first_in_zone(pollers))
    }

    /// Returns the time over which this daemon spreads a read that all may send at once; 0 for a
    /// poller.
    fn spread_ms(&self, context: &mut Context<'_>) -> u32 {
        if self.is_poller(context) {
            return 0;
        }
        self.member_count(context).saturating_mul(1_000) / self.settings.reads_per_s_max
    }

    /// Returns the number of members, at least 1.
    fn member_count(&self, context: &mut Context<'_>) -> u32 {
        let membership = context.find::<Membership>(membership::NAME);
        let members = membership.map_or(1, |membership| membership.len());
        u32::try_from(members).unwrap_or(u32::MAX).max(1)
    }
}
