//! Fetching what this daemon lacks, from the table or from another daemon.
//!
//! A daemon that is a little behind pending_requests for the changes after its version. One that is too far
//! behind takes all records as a snapshot, page by page, and then the changes since the first page;
//! the digest says whether the snapshot is whole.

use std::net::SocketAddr;

use super::message::Message;
use super::rows::{self, VersionRow};
use super::state::{Change, State, StoredRecord};
use crate::ids::ServiceName;
use crate::table::{Row, TableRequest};

/// The rows of one read of changes.
const CHANGES_LIMIT: u32 = 32;

/// The rows of one read of records.
const RECORDS_LIMIT: u32 = 200;

/// Where the configuration is fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchSource {
    Table,
    Peer(SocketAddr),
}

/// What is handle_peer_request next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchStage {
    Version,
    Records,
    Changes,
}

/// A request to the source.
pub(super) enum FetchRequest {
    Table(TableRequest),
    Peer(SocketAddr, Message),
}

/// What follows an answer.
#[derive(Debug, PartialEq)]
pub(super) enum FetchStep {
    /// Ask again.
    Continue,
    /// Apply the changes; where they were not the last, ask again.
    Apply { changes: Vec<Change>, is_last: bool },
    /// Put the records in force where their version is greater.
    Install(Box<State>),
    /// The source has nothing newer.
    UpToDate,
    /// The answers don't fit together.
    Failed,
}

/// Records that are gathered.
struct PartialSnapshot {
    state: State,
    expected_digest: u64,
    last_service: Option<ServiceName>,
}

/// A fetch under way.
pub(super) struct Fetch {
    pub(super) source: FetchSource,
    stage: FetchStage,
    snapshot: Option<PartialSnapshot>,
}

impl Fetch {
    /// Fetches the changes after the version of this daemon.
    pub(super) fn changes(source: FetchSource) -> Self {
        Self {
            source,
            stage: FetchStage::Changes,
            snapshot: None,
        }
    }

    /// Fetches all records where the source has a greater version.
    pub(super) fn snapshot(source: FetchSource) -> Self {
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

    /// Returns the version of the source where all of its records are needed and none is here yet.
    pub(super) fn pending_snapshot_version(&self) -> Option<u64> {
        let snapshot = self.snapshot.as_ref()?;
        let is_begun = self.stage == FetchStage::Records && snapshot.last_service.is_none();
        is_begun.then_some(snapshot.state.version)
    }

    /// Returns what to ask.
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

    /// Takes the rows of the table.
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

    /// Takes the answer of another daemon.
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

    /// The changes are no longer kept: all records are needed.
    fn restart_with_snapshot(&mut self) -> FetchStep {
        if self.snapshot.is_some() {
            return FetchStep::Failed;
        }
        *self = Self::snapshot(self.source);
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
