//! Fetching what this daemon lacks, from the table or from another daemon.
//!
//! A daemon that is a little behind asks for the changes after its version. One that is too far
//! behind takes all records as a draft, page by page, and then the changes since the first page;
//! the digest says whether the draft is whole.

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
pub(super) enum Source {
    Table,
    Peer(SocketAddr),
}

/// What is asked next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Version,
    Records,
    Changes,
}

/// A request to the source.
pub(super) enum Request {
    Table(TableRequest),
    Peer(SocketAddr, Message),
}

/// What follows an answer.
#[derive(Debug, PartialEq)]
pub(super) enum Step {
    /// Ask again.
    Ask,
    /// Apply the changes; where they were not the last, ask again.
    Apply { changes: Vec<Change>, is_last: bool },
    /// Put the records in force where their version is greater.
    Adopt(Box<State>),
    /// The source has nothing newer.
    Nothing,
    /// The answers don't fit together.
    Failed,
}

/// Records that are gathered.
struct Draft {
    state: State,
    stated_digest: u64,
    last_service: Option<ServiceName>,
}

/// A fetch under way.
pub(super) struct Fetch {
    pub(super) source: Source,
    stage: Stage,
    draft: Option<Draft>,
}

impl Fetch {
    /// Fetches the changes after the version of this daemon.
    pub(super) fn changes(source: Source) -> Self {
        Self {
            source,
            stage: Stage::Changes,
            draft: None,
        }
    }

    /// Fetches all records where the source has a greater version.
    pub(super) fn whole(source: Source) -> Self {
        let stage = match source {
            Source::Table => Stage::Version,
            Source::Peer(_) => Stage::Records,
        };
        Self {
            source,
            stage,
            draft: None,
        }
    }

    /// Returns the version of the source where all of its records are needed and none is here yet.
    pub(super) fn wanted_whole(&self) -> Option<u64> {
        let draft = self.draft.as_ref()?;
        let is_begun = self.stage == Stage::Records && draft.last_service.is_none();
        is_begun.then_some(draft.state.version)
    }

    /// Returns what to ask.
    pub(super) fn request(&self, own_version: u64, bytes_max: u32) -> Request {
        let version = self
            .draft
            .as_ref()
            .map_or(own_version, |draft| draft.state.version);
        let service = self
            .draft
            .as_ref()
            .and_then(|draft| draft.last_service.clone());
        match self.source {
            Source::Table => Request::Table(self.table_request(version, service)),
            Source::Peer(address) => {
                let message = match self.stage {
                    Stage::Changes => Message::After { version, bytes_max },
                    Stage::Version | Stage::Records => Message::RecordsAfter { service, bytes_max },
                };
                Request::Peer(address, message)
            }
        }
    }

    fn table_request(&self, version: u64, service: Option<ServiceName>) -> TableRequest {
        match self.stage {
            Stage::Version => TableRequest::Get {
                keys: vec![rows::VERSION_KEY.to_string()],
            },
            Stage::Records => TableRequest::Scan {
                prefix: rows::RECORD_PREFIX.to_string(),
                after: service.map(|service| rows::record_key(&service)),
                limit: RECORDS_LIMIT,
            },
            Stage::Changes => TableRequest::Scan {
                prefix: rows::CHANGE_PREFIX.to_string(),
                after: Some(rows::change_key(version)),
                limit: CHANGES_LIMIT,
            },
        }
    }

    /// Takes the rows of the table.
    pub(super) fn take_rows(&mut self, rows: &[Row], own_version: u64) -> Step {
        match self.stage {
            Stage::Version => {
                let Some(row) = rows::content::<VersionRow>(rows, rows::VERSION_KEY) else {
                    return Step::Nothing;
                };
                if row.version <= own_version {
                    return Step::Nothing;
                }
                self.begin_draft(row.version, row.digest);
                Step::Ask
            }
            Stage::Records => {
                let is_last = rows.len() < RECORDS_LIMIT as usize;
                self.take_records(rows::records(rows), is_last)
            }
            Stage::Changes => {
                let is_last = rows.len() < CHANGES_LIMIT as usize;
                let changes = rows::changes(rows);
                if changes.is_empty() && !rows.is_empty() {
                    return Step::Failed;
                }
                self.take_changes(changes, is_last, own_version)
            }
        }
    }

    /// Takes the answer of another daemon.
    pub(super) fn take_message(&mut self, message: Message, own_version: u64) -> Step {
        match message {
            Message::Changes { latest, changes } => {
                let after = self.version(own_version);
                if changes.is_empty() && latest > after {
                    return self.take_whole();
                }
                let is_last = changes.last().is_none_or(|last| last.version >= latest);
                self.take_changes(changes, is_last, own_version)
            }
            Message::Records {
                version,
                digest,
                records,
                is_last,
            } => {
                if self.draft.is_none() {
                    if version <= own_version {
                        return Step::Nothing;
                    }
                    self.begin_draft(version, digest);
                }
                self.take_records(records, is_last)
            }
            _ => Step::Failed,
        }
    }

    fn version(&self, own_version: u64) -> u64 {
        self.draft
            .as_ref()
            .map_or(own_version, |draft| draft.state.version)
    }

    /// The changes are no longer kept: all records are needed.
    fn take_whole(&mut self) -> Step {
        if self.draft.is_some() {
            return Step::Failed;
        }
        *self = Self::whole(self.source);
        Step::Ask
    }

    fn begin_draft(&mut self, version: u64, digest: u64) {
        self.draft = Some(Draft {
            state: State {
                version,
                ..State::default()
            },
            stated_digest: digest,
            last_service: None,
        });
        self.stage = Stage::Records;
    }

    fn take_records(&mut self, records: Vec<StoredRecord>, is_last: bool) -> Step {
        let Some(draft) = &mut self.draft else {
            return Step::Failed;
        };
        if let Some(last) = records.last() {
            draft.last_service = Some(last.service.clone());
        } else if !is_last {
            return Step::Failed;
        }
        for record in records {
            draft.state.insert(record);
        }
        if is_last {
            self.stage = Stage::Changes;
        }
        Step::Ask
    }

    fn take_changes(&mut self, changes: Vec<Change>, is_last: bool, own_version: u64) -> Step {
        let after = self.version(own_version);
        if let Some(first) = changes.first()
            && first.version > after + 1
        {
            return self.take_whole();
        }
        let Some(draft) = &mut self.draft else {
            return match changes.is_empty() {
                true => Step::Nothing,
                false => Step::Apply { changes, is_last },
            };
        };
        for change in &changes {
            if change.version != draft.state.version + 1 {
                return Step::Failed;
            }
            draft.state.merge(change);
            draft.stated_digest = change.digest;
        }
        if !is_last {
            return Step::Ask;
        }
        if draft.state.digest != draft.stated_digest {
            return Step::Failed;
        }
        Step::Adopt(Box::new(std::mem::take(&mut draft.state)))
    }
}
