//! Keeps the departures of the target in the platform's table, for the process that runs beside the
//! target after this one.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::TargetTracker;
use crate::backoff::Backoff;
use crate::host::{Clock, lock};
use crate::table::{PlatformError, REWRITE_SPREAD_US, Row, TableRequest, TableResponse};
use crate::target::Departure;
use crate::target::departure_row::{self, ROW_INSTANCES_MAX};

/// How long to wait for a response of the table.
const TABLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum pause before a request to the table is repeated.
const RETRY_PAUSE_MAX_MS: u32 = 5_000;

/// How long a departure waits to be stored before it is acknowledged in any case. A target waits a
/// second for the acknowledgement.
const STORE_WAIT: Duration = Duration::from_millis(500);

impl TargetTracker {
    /// Reads the departures that a former process stored, then stores each new one, until the task
    /// is aborted.
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
                Ok(()) = restorations.changed() => self.forget_storage().await,
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

    /// Counts all departures as not stored, because a restored store may have lost them, and waits
    /// for a random time, since other daemons write their rows again too.
    async fn forget_storage(&self) {
        self.stored_revision.send_replace(0);
        let spread_us = rand::rng().random_range(0..=REWRITE_SPREAD_US);
        tokio::time::sleep(Duration::from_micros(spread_us)).await;
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

    fn has_unstored_departures(&self) -> bool {
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
        let request = departure_row::write_request(self.settings.address, version, &departures);
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

    /// Records the departures in the row as it is in the table now.
    fn merge_row(self: &Arc<Self>, row: Option<&Row>) {
        *lock(&self.row_version) = row.map(|row| row.version);
        let stored = row.map(decode_row).unwrap_or_default();
        log::info!(target: "dragonflylug", subject = "target", departures = stored.len(); "read the stored departures");
        let is_all_stored = !self.has_unstored_departures();
        let now_us = self.clock.now_us();
        let (is_current, revision) = {
            let mut watch = lock(&self.watch);
            let is_current = watch.record_stored_departures(now_us, &stored);
            (is_current, watch.departures().revision())
        };
        if is_all_stored {
            self.stored_revision.send_replace(revision);
        }
        if is_current {
            self.announce();
        }
    }

    async fn request_table(&self, request: TableRequest) -> Result<TableResponse, PlatformError> {
        let response = self.node.adapters.table.request(request);
        let response = tokio::time::timeout(TABLE_TIMEOUT, response).await;
        response.unwrap_or(Err(PlatformError::Lost))
    }
}

/// Returns the departures in a row; none, with a log line, if they cannot be decoded.
fn decode_row(row: &Row) -> Vec<Departure> {
    match departure_row::decode(row) {
        Ok(departures) => departures,
        Err(error) => {
            log::warn!(target: "dragonflylug", "ignored the row {}: {error}", row.key);
            Vec::new()
        }
    }
}

async fn pause(backoff: &mut Backoff) {
    let pause_us = backoff.next_us(RETRY_PAUSE_MAX_MS, &mut rand::rng());
    tokio::time::sleep(Duration::from_micros(pause_us)).await;
}
