//! A fetch of newer configuration versions, from the table or from another daemon.
//!
//! A daemon that is a few versions behind requests the changes after its own version. One that is
//! too far behind fetches all records page by page as a snapshot, and then the changes since the
//! first page. The pages may stem from different versions; the digest shows whether the result is
//! complete.

use std::net::SocketAddr;

use super::message::Message;
use super::rows::{self, VersionRow};
use super::state::{Change, State, StoredRecord};
use crate::ids::ServiceName;
use crate::table::{Row, TableRequest};

/// The maximum number of rows in one scan of changes.
const CHANGES_LIMIT: u32 = 32;

/// The maximum number of rows in one scan of records.
const RECORDS_LIMIT: u32 = 200;

/// The source of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchSource {
    Table,
    Peer(SocketAddr),
}

/// The data that the next request reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchStage {
    Version,
    Records,
    Changes,
}

/// The next request to the source.
pub(super) enum FetchRequest {
    Table(TableRequest),
    Peer(SocketAddr, Message),
}

/// The step that follows a response of the source.
#[derive(Debug, PartialEq)]
pub(super) enum FetchStep {
    /// Send the next request to the source.
    Continue,
    /// Apply the changes, and request more if these are not the last.
    Apply { changes: Vec<Change>, is_last: bool },
    /// Install the snapshot if its version is newer.
    Install(Box<State>),
    /// The source has nothing newer, or the table has no version row that can be parsed.
    UpToDate,
    /// The request failed, or its response is of another kind, cannot be parsed or is inconsistent
    /// with earlier ones.
    Failed,
}

/// A snapshot whose pages are still being received.
struct PartialSnapshot {
    state: State,
    expected_digest: u64,
    last_service: Option<ServiceName>,
}

/// A fetch in progress.
pub(super) struct Fetch {
    pub(super) source: FetchSource,
    stage: FetchStage,
    snapshot: Option<PartialSnapshot>,
}

impl Fetch {
    /// Creates a fetch of the changes after this daemon's version.
    pub(super) fn of_changes(source: FetchSource) -> Self {
        Self {
            source,
            stage: FetchStage::Changes,
            snapshot: None,
        }
    }

    /// Creates a fetch of all records, if the source has a newer version.
    pub(super) fn of_snapshot(source: FetchSource) -> Self {
        let stage = match source {
            FetchSource::Table => FetchStage::Version,
            FetchSource::Peer(_) => FetchStage::Records,
        };
        Self {
            source,
            stage,
            snapshot: None,
        }
    }

    /// Returns the version of the snapshot if it is known but none of its records has been received
    /// yet.
    pub(super) fn pending_snapshot_version(&self) -> Option<u64> {
        let snapshot = self.snapshot.as_ref()?;
        let is_empty = self.stage == FetchStage::Records && snapshot.last_service.is_none();
        is_empty.then_some(snapshot.state.version)
    }

    /// Returns the next request to send to the source.
    pub(super) fn next_request(&self, own_version: u64, bytes_max: u32) -> FetchRequest {
        let version = self
            .snapshot
            .as_ref()
            .map_or(own_version, |snapshot| snapshot.state.version);
        let service = self
            .snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.last_service.clone());
        match self.source {
            FetchSource::Table => FetchRequest::Table(self.table_request(version, service)),
            FetchSource::Peer(address) => {
                let message = match self.stage {
                    FetchStage::Changes => Message::ChangesAfter { version, bytes_max },
                    FetchStage::Version | FetchStage::Records => {
                        Message::RecordsAfter { service, bytes_max }
                    }
                };
                FetchRequest::Peer(address, message)
            }
        }
    }

    fn table_request(&self, version: u64, service: Option<ServiceName>) -> TableRequest {
        match self.stage {
            FetchStage::Version => TableRequest::Get {
                keys: vec![rows::VERSION_KEY.to_string()],
            },
            FetchStage::Records => TableRequest::Scan {
                prefix: rows::RECORD_PREFIX.to_string(),
                after: service.map(|service| rows::record_key(&service)),
                limit: RECORDS_LIMIT,
            },
            FetchStage::Changes => TableRequest::Scan {
                prefix: rows::CHANGE_PREFIX.to_string(),
                after: Some(rows::change_key(version)),
                limit: CHANGES_LIMIT,
            },
        }
    }

    /// Handles the rows that the table returned.
    pub(super) fn handle_rows(&mut self, rows: &[Row], own_version: u64) -> FetchStep {
        match self.stage {
            FetchStage::Version => {
                let Some(row) = rows::parse_row::<VersionRow>(rows, rows::VERSION_KEY) else {
                    return FetchStep::UpToDate;
                };
                if row.version <= own_version {
                    return FetchStep::UpToDate;
                }
                self.begin_snapshot(row.version, row.digest);
                FetchStep::Continue
            }
            FetchStage::Records => {
                let is_last = rows.len() < RECORDS_LIMIT as usize;
                self.add_records(rows::parse_records(rows), is_last)
            }
            FetchStage::Changes => {
                let is_last = rows.len() < CHANGES_LIMIT as usize;
                let changes = rows::parse_changes(rows);
                if changes.is_empty() && !rows.is_empty() {
                    return FetchStep::Failed;
                }
                self.add_changes(changes, is_last, own_version)
            }
        }
    }

    /// Handles the response of another daemon.
    pub(super) fn handle_message(&mut self, message: Message, own_version: u64) -> FetchStep {
        match message {
            Message::Changes { latest, changes } => {
                let after = self.reached_version(own_version);
                if changes.is_empty() && latest > after {
                    return self.restart_with_snapshot();
                }
                let is_last = changes.last().is_none_or(|last| last.version >= latest);
                self.add_changes(changes, is_last, own_version)
            }
            Message::Records {
                version,
                digest,
                records,
                is_last,
            } => {
                if self.snapshot.is_none() {
                    if version <= own_version {
                        return FetchStep::UpToDate;
                    }
                    self.begin_snapshot(version, digest);
                }
                self.add_records(records, is_last)
            }
            _ => FetchStep::Failed,
        }
    }

    fn reached_version(&self, own_version: u64) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(own_version, |snapshot| snapshot.state.version)
    }

    /// Restarts the fetch with a snapshot, because the source no longer keeps the changes needed.
    fn restart_with_snapshot(&mut self) -> FetchStep {
        if self.snapshot.is_some() {
            return FetchStep::Failed;
        }
        *self = Self::of_snapshot(self.source);
        FetchStep::Continue
    }

    fn begin_snapshot(&mut self, version: u64, digest: u64) {
        self.snapshot = Some(PartialSnapshot {
            state: State {
                version,
                ..State::default()
            },
            expected_digest: digest,
            last_service: None,
        });
        self.stage = FetchStage::Records;
    }

    fn add_records(&mut self, records: Vec<StoredRecord>, is_last: bool) -> FetchStep {
        let Some(snapshot) = &mut self.snapshot else {
            return FetchStep::Failed;
        };
        if let Some(last) = records.last() {
            snapshot.last_service = Some(last.service.clone());
        } else if !is_last {
            return FetchStep::Failed;
        }
        for record in records {
            snapshot.state.insert(record);
        }
        if is_last {
            self.stage = FetchStage::Changes;
        }
        FetchStep::Continue
    }

    fn add_changes(&mut self, changes: Vec<Change>, is_last: bool, own_version: u64) -> FetchStep {
        let after = self.reached_version(own_version);
        if let Some(first) = changes.first()
            && first.version > after + 1
        {
            return self.restart_with_snapshot();
        }
        let Some(snapshot) = &mut self.snapshot else {
            return match changes.is_empty() {
                true => FetchStep::UpToDate,
                false => FetchStep::Apply { changes, is_last },
            };
        };
        for change in &changes {
            if change.version != snapshot.state.version + 1 {
                return FetchStep::Failed;
            }
            snapshot.state.apply_unchecked(change);
            snapshot.expected_digest = change.digest;
        }
        if !is_last {
            return FetchStep::Continue;
        }
        if snapshot.state.digest != snapshot.expected_digest {
            return FetchStep::Failed;
        }
        FetchStep::Install(Box::new(std::mem::take(&mut snapshot.state)))
    }
}
