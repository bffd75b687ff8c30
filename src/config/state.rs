//! The stored records at a version, the changes from one version to the next, and the records as
//! this daemon parses them.

use std::collections::VecDeque;
use std::sync::Arc;

use macro_rules_attribute::apply;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::schema::{RecordForm, parse_newest_form};
use super::{ConfigView, ServiceRecord};
use crate::derives::message;
use crate::ids::ServiceName;
use crate::sorted::SortedMap;

/// The estimated overhead of a record, a form (the record as encoded in one schema) or a change on
/// the wire beyond its text.
const RECORD_OVERHEAD_BYTES: usize = 24;

/// A record as it is stored in the table and propagated between daemons.
#[apply(message!)]
pub struct StoredRecord {
    /// The service.
    pub service: ServiceName,
    /// The global version in which the record was added or last replaced.
    #[serde(rename = "changed_at")]
    pub changed_in_version: u64,
    /// The record in each schema that it was written in.
    pub forms: Vec<RecordForm>,
}

/// An accepted change: the difference between the previous version and its own.
#[apply(message!)]
pub struct Change {
    /// The global version.
    pub version: u64,
    /// The digest of all records at this version.
    pub digest: u64,
    /// The records that are added or replaced.
    pub changed: Vec<StoredRecord>,
    /// The services whose records are removed.
    pub removed: Vec<ServiceName>,
}

/// A record that this daemon cannot read. The last record of the service that it could read, if
/// any, stays active.
#[apply(message!)]
pub struct UnreadableRecord {
    /// The service.
    pub service: ServiceName,
    /// The global version in which the record was added or last replaced.
    #[serde(rename = "changed_at")]
    pub changed_in_version: u64,
    /// Why the record cannot be read.
    pub problem: String,
}

impl StoredRecord {
    /// Returns an estimate of the bytes that the record takes on the wire.
    pub fn wire_bytes_estimate(&self) -> usize {
        let mut bytes = RECORD_OVERHEAD_BYTES + self.service.as_str().len();
        for form in &self.forms {
            bytes += RECORD_OVERHEAD_BYTES + form.body.len();
        }
        bytes
    }

    /// Returns a hash over all fields of the record.
    pub(super) fn hash(&self) -> u64 {
        let mut hash = xxh3_64_with_seed(self.service.as_str().as_bytes(), self.changed_in_version);
        for form in &self.forms {
            let seed = hash ^ u64::from(form.schema_version);
            hash = xxh3_64_with_seed(form.body.as_bytes(), seed);
        }
        hash
    }
}

impl Change {
    /// Returns an estimate of the bytes that the change takes on the wire.
    pub fn wire_bytes_estimate(&self) -> usize {
        let mut bytes = RECORD_OVERHEAD_BYTES;
        for record in &self.changed {
            bytes += record.wire_bytes_estimate();
        }
        for service in &self.removed {
            bytes += RECORD_OVERHEAD_BYTES + service.as_str().len();
        }
        bytes
    }
}

/// The records at one version. The digest is the wrapping sum of their hashes, so that a change
/// updates it without reading the other records.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct State {
    pub(super) version: u64,
    pub(super) digest: u64,
    pub(super) records: SortedMap<ServiceName, StoredRecord>,
}

/// Why a change cannot be applied to a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ApplyError {
    /// The change is not for the next version.
    VersionGap,
    /// The resulting digest is not the one of the change, so the records differ from those of its
    /// version.
    DigestMismatch,
}

impl State {
    /// Inserts a record unless the state holds one of the same service that is as new or newer.
    pub(super) fn insert(&mut self, record: StoredRecord) {
        if self.changed_in_version(&record.service) >= record.changed_in_version {
            return;
        }
        self.digest = self.digest.wrapping_add(record.hash());
        if let Some(old) = self.records.insert(record.service.clone(), record) {
            self.digest = self.digest.wrapping_sub(old.hash());
        }
    }

    fn remove(&mut self, service: &ServiceName, version: u64) {
        if self.changed_in_version(service) >= version {
            return;
        }
        if let Some(old) = self.records.remove(service) {
            self.digest = self.digest.wrapping_sub(old.hash());
        }
    }

    fn changed_in_version(&self, service: &ServiceName) -> u64 {
        self.records
            .get(service)
            .map_or(0, |record| record.changed_in_version)
    }

    /// Applies a change without checking its version and digest.
    pub(super) fn apply_unchecked(&mut self, change: &Change) {
        for record in &change.changed {
            self.insert(record.clone());
        }
        for service in &change.removed {
            self.remove(service, change.version);
        }
        self.version = change.version;
    }

    /// Applies the change for the next version; a change that does not fit leaves the state as it
    /// is.
    pub(super) fn apply(&mut self, change: &Change) -> Result<(), ApplyError> {
        if change.version != self.version + 1 {
            return Err(ApplyError::VersionGap);
        }
        if self.digest_after(change) != change.digest {
            return Err(ApplyError::DigestMismatch);
        }
        self.apply_unchecked(change);
        Ok(())
    }

    /// Returns the digest that results from a change.
    pub(super) fn digest_after(&self, change: &Change) -> u64 {
        let mut digest = self.digest;
        for record in &change.changed {
            digest = digest.wrapping_add(record.hash());
            if let Some(old) = self.records.get(&record.service) {
                digest = digest.wrapping_sub(old.hash());
            }
        }
        for service in &change.removed {
            if let Some(old) = self.records.get(service) {
                digest = digest.wrapping_sub(old.hash());
            }
        }
        digest
    }
}

/// The latest changes, kept for daemons that are a few versions behind.
#[derive(Default)]
pub(super) struct RecentChanges {
    changes: VecDeque<Change>,
    bytes: usize,
}

impl RecentChanges {
    pub(super) fn push(&mut self, change: Change, bytes_max: usize) {
        self.bytes += change.wire_bytes_estimate();
        self.changes.push_back(change);
        while self.bytes > bytes_max {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= oldest.wire_bytes_estimate();
        }
    }

    pub(super) fn clear(&mut self) {
        self.changes.clear();
        self.bytes = 0;
    }

    /// Returns the first changes after a version, as many as fit `bytes_max` but at least one;
    /// empty if they are no longer kept or there are none.
    pub(super) fn changes_after(&self, version: u64, bytes_max: usize) -> Vec<Change> {
        let mut found = Vec::new();
        let Some(oldest) = self.changes.front() else {
            return found;
        };
        if oldest.version > version + 1 {
            return found;
        }
        let mut bytes = 0;
        let skipped = (version + 1 - oldest.version) as usize;
        for change in self.changes.iter().skip(skipped) {
            bytes += change.wire_bytes_estimate();
            if bytes > bytes_max && !found.is_empty() {
                break;
            }
            found.push(change.clone());
        }
        found
    }
}

/// The records as parsed by this daemon, and those that it cannot read.
#[derive(Default)]
pub(super) struct ParsedRecords {
    schema_version_max: u16,
    records: SortedMap<ServiceName, ServiceRecord>,
    unreadable: SortedMap<ServiceName, UnreadableRecord>,
}

impl ParsedRecords {
    pub(super) fn new(schema_version_max: u16) -> Self {
        Self {
            schema_version_max,
            ..Self::default()
        }
    }

    /// Parses a record. If that fails, the last record of the service that could be parsed, if any,
    /// stays active.
    pub(super) fn parse(&mut self, record: &StoredRecord) -> Result<(), UnreadableRecord> {
        match parse_newest_form(&record.forms, self.schema_version_max) {
            Ok(parsed) => {
                self.unreadable.remove(&record.service);
                self.records.insert(record.service.clone(), parsed);
                Ok(())
            }
            Err(error) => {
                let unreadable = UnreadableRecord {
                    service: record.service.clone(),
                    changed_in_version: record.changed_in_version,
                    problem: format!("{}: {}", error.field, error.problem),
                };
                self.unreadable
                    .insert(record.service.clone(), unreadable.clone());
                Err(unreadable)
            }
        }
    }

    pub(super) fn remove(&mut self, service: &ServiceName) {
        self.records.remove(service);
        self.unreadable.remove(service);
    }

    /// Keeps only the services that have a record in `state`.
    pub(super) fn retain_services_of(&mut self, state: &State) {
        self.records
            .retain(|service, _| state.records.contains_key(service));
        self.unreadable
            .retain(|service, _| state.records.contains_key(service));
    }

    pub(super) fn unreadable_records(&self) -> Vec<UnreadableRecord> {
        self.unreadable.values().cloned().collect()
    }

    pub(super) fn view(&self, version: u64) -> Arc<ConfigView> {
        Arc::new(ConfigView {
            version,
            records: self.records.values().cloned().collect(),
        })
    }
}
