//! Keeps the starts of the target, and which of them left, in the platform's table for the process that
//! runs beside the target after this one.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::TargetTracker;
use crate::backoff::Backoff;
use crate::host::{Clock, lock};
use crate::kernel::{Input, Notice};
use crate::membership::{self, Membership};
use crate::table::{PlatformError, REWRITE_SPREAD_US, Row, TableRequest, TableResponse};
use crate::target::departure_row::{self, ROW_INSTANCES_MAX};
use crate::target::{InstanceStarts, StoredOutcome};

/// How long to wait for a response of the table.
const TABLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum pause before a request to the table is repeated.
const RETRY_PAUSE_MAX_MS: u32 = 5_000;

/// How long a departure waits to be stored before it is acknowledged in any case. A target waits a
/// second for the acknowledgement.
const STORE_WAIT: Duration = Duration::from_millis(500);

/// The rate at which all daemons together write rows that are not urgent.
const ROWS_PER_S: u64 = 100;

/// How often a sidecar checks whether the process of a target that left has ended, while it isn't
/// known which start left.
const END_CHECK_PERIOD: Duration = Duration::from_millis(200);

impl TargetTracker {
    /// Reads what a former process stored, then stores each departure at once and each new start after
    /// a random delay, until the task is aborted.
    pub(super) async fn keep_departures(self: Arc<Self>) {
        let mut backoff = Backoff::default();
        while let Err(error) = self.load_departures().await {
            log::warn!(target: "dragonflylug", "cannot read the stored departures of the target: {error:?}");
            pause(&mut backoff).await;
        }
        backoff.reset();
        let mut restorations = self.node.adapters.table.watch_restorations();
        loop {
            tokio::select! {
                () = self.departure_recorded.notified() => {}
                () = self.delay_of_recorded_start() => {}
                Ok(()) = restorations.changed() => {
                    self.forget_storage();
                    continue;
                }
            }
            while self.has_unstored_departures() {
                match self.store_departures().await {
                    Ok(()) => backoff.reset(),
                    Err(error) => {
                        log::warn!(target: "dragonflylug", "cannot store the departures of the target: {error:?}");
                        pause(&mut backoff).await;
                    }
                }
            }
        }
    }

    /// Waits until something that is not urgent is to be stored, and then for a random time.
    async fn delay_of_recorded_start(&self) {
        self.start_recorded.notified().await;
        tokio::time::sleep(self.write_delay()).await;
    }

    /// Counts everything as not stored, because a restored store may have lost it.
    fn forget_storage(&self) {
        self.stored_revision.send_replace(0);
        self.start_recorded.notify_one();
    }

    /// Returns a random delay for a write that all daemons may do at the same time. Few of them know
    /// of a departure.
    fn write_delay(&self) -> Duration {
        let has_departures = lock(&self.watch).departures().has_any();
        let spread_us = match has_departures {
            true => REWRITE_SPREAD_US,
            false => self.spread_of_all_us().max(REWRITE_SPREAD_US),
        };
        Duration::from_micros(rand::rng().random_range(0..=spread_us))
    }

    /// Returns the time in which all daemons may write a row each.
    fn spread_of_all_us(&self) -> u64 {
        let members = self.node.inspect(|kernel| {
            let membership = kernel.find::<Membership>(membership::NAME);
            membership.map_or(1, |membership| membership.len())
        });
        let members = u64::try_from(members).unwrap_or(u64::MAX);
        members.saturating_mul(1_000_000) / ROWS_PER_S
    }

    /// Watches for the end of a target of which an unknown start left, until the task is aborted: once
    /// its process has ended, no start that left can be reached, and a new one may be used.
    pub(super) async fn watch_for_end(self: Arc<Self>) {
        loop {
            self.hold_recorded.notified().await;
            while self.has_hold() {
                if self.transport.has_ended().await {
                    self.end_holds();
                }
                tokio::time::sleep(END_CHECK_PERIOD).await;
            }
        }
    }

    fn has_hold(&self) -> bool {
        let now_us = self.clock.now_us();
        lock(&self.watch).departures().has_hold(now_us)
    }

    fn end_holds(&self) {
        let now_us = self.clock.now_us();
        if lock(&self.watch).end_holds(now_us) {
            log::info!(target: "dragonflylug", subject = "target"; "the target that left has ended");
            self.departure_recorded.notify_one();
        }
    }

    /// Has the departures stored, and the end of the target watched for if a departure is held.
    pub(super) fn notify_departure(&self) {
        self.departure_recorded.notify_one();
        if self.has_hold() {
            self.hold_recorded.notify_one();
        }
    }

    /// Waits until all recorded departures are stored, or for a bounded time.
    pub(super) async fn wait_until_stored(&self) {
        let revision = lock(&self.watch).departures().revision();
        let mut stored = self.stored_revision.subscribe();
        let is_stored = stored.wait_for(|stored| *stored >= revision);
        if tokio::time::timeout(STORE_WAIT, is_stored).await.is_err() {
            log::warn!(target: "dragonflylug", "acknowledged a departure of the target before it was stored");
        }
    }

    /// Deletes the stored departures if nothing listens at the target's address any more, so that
    /// no request can reach a target that left.
    pub(super) async fn delete_departures_if_ended(&self) {
        let Some(version) = *lock(&self.row_version) else {
            return;
        };
        if !self.transport.has_ended().await {
            return;
        }
        let request = departure_row::delete_request(self.settings.address, version);
        let response = self.request_table(request).await;
        if !matches!(response, Ok(TableResponse::Written(_))) {
            log::info!(target: "dragonflylug", "the stored departures of the target remain: {response:?}");
        }
    }

    pub(super) fn has_unstored_departures(&self) -> bool {
        lock(&self.watch).departures().revision() > *self.stored_revision.borrow()
    }

    async fn load_departures(self: &Arc<Self>) -> Result<(), PlatformError> {
        let request = departure_row::read_request(self.settings.address);
        let TableResponse::Rows(rows) = self.request_table(request).await? else {
            return Err(PlatformError::Lost);
        };
        self.merge_row(rows.first());
        Ok(())
    }

    async fn store_departures(self: &Arc<Self>) -> Result<(), PlatformError> {
        let (revision, departures) = {
            let watch = lock(&self.watch);
            let departures = watch.departures();
            let latest = departures.latest(self.clock.now_us(), ROW_INSTANCES_MAX);
            (departures.revision(), latest)
        };
        let version = *lock(&self.row_version);
        let now_ms = self.node.adapters.table.now_ms();
        let address = self.settings.address;
        let request = departure_row::write_request(address, version, &departures, now_ms);
        match self.request_table(request).await? {
            TableResponse::Written(versions) => {
                *lock(&self.row_version) = versions.first().copied();
                self.stored_revision.send_replace(revision);
                Ok(())
            }
            TableResponse::Conflict(rows) => {
                self.merge_row(rows.first());
                Ok(())
            }
            TableResponse::Rows(_) => Err(PlatformError::Lost),
        }
    }

    /// Records the starts in the row as it is in the table now.
    fn merge_row(self: &Arc<Self>, row: Option<&Row>) {
        *lock(&self.row_version) = row.map(|row| row.version);
        let stored = row.map(|row| self.decode_row(row)).unwrap_or_default();
        log::info!(target: "dragonflylug", subject = "target", instances = stored.len(); "read the stored starts of the target: {stored:?}");
        let now_us = self.clock.now_us();
        let (outcome, latest, revision) = {
            let mut watch = lock(&self.watch);
            let outcome = watch.record_stored(now_us, &stored);
            let departures = watch.departures();
            let latest = departures.latest(now_us, ROW_INSTANCES_MAX);
            (outcome, latest, departures.revision())
        };
        if latest == stored {
            self.stored_revision.send_replace(revision);
        }
        if self.has_hold() {
            self.hold_recorded.notify_one();
        }
        match outcome {
            StoredOutcome::Unaffected => {}
            StoredOutcome::Leaving => self.announce(),
            StoredOutcome::Held => self.node.submit(Input::Notice(Notice::TargetSilent)),
        }
    }

    /// Returns the starts in a row; none, with a log line, if they cannot be decoded.
    fn decode_row(&self, row: &Row) -> Vec<InstanceStarts> {
        match departure_row::decode(row, self.node.adapters.table.now_ms()) {
            Ok(starts) => starts,
            Err(error) => {
                log::warn!(target: "dragonflylug", "ignored the row {}: {error}", row.key);
                Vec::new()
            }
        }
    }

    async fn request_table(&self, request: TableRequest) -> Result<TableResponse, PlatformError> {
        let response = self.node.adapters.table.request(request);
        let response = tokio::time::timeout(TABLE_TIMEOUT, response).await;
        response.unwrap_or(Err(PlatformError::Lost))
    }
}

async fn pause(backoff: &mut Backoff) {
    let pause_us = backoff.next_us(RETRY_PAUSE_MAX_MS, &mut rand::rng());
    tokio::time::sleep(Duration::from_micros(pause_us)).await;
}
