//! The records at a version, the changes from one version to the next, and what can be read.

use std::collections::VecDeque;
use std::sync::Arc;

use macro_rules_attribute::apply;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::schema::{RecordForm, read_forms};
use super::{ConfigView, ServiceRecord};
use crate::derives::message;
use crate::ids::ServiceName;
use crate::sorted::SortedMap;

/// The bytes of a record beside its texts.
const RECORD_FRAME_BYTES: usize = 24;

/// A record as it is kept and spread.
#[apply(message!)]
pub struct StoredRecord {
    /// The service.
    pub service: ServiceName,
    /// The global version that it was submitted under.
    pub changed_at: u64,
    /// The record in each schema that it was written in.
    pub forms: Vec<RecordForm>,
}

/// An accepted change: what leads from the version before to its own.
#[apply(message!)]
pub struct Change {
    /// The global version.
    pub version: u64,
    /// The digest of all records at this version.
    pub digest: u64,
    /// The records that are put in force.
    pub changed: Vec<StoredRecord>,
    /// The services whose records are removed.
    pub removed: Vec<ServiceName>,
}

/// A record that this daemon cannot read; what it had of the service before stays in force.
#[apply(message!)]
pub struct UnreadableRecord {
    /// The service.
    pub service: ServiceName,
    /// The global version that the record was submitted under.
    pub changed_at: u64,
    /// What is wrong with it.
    pub problem: String,
}

impl StoredRecord {
    /// Returns the bytes of the record on a link, about.
    pub fn link_bytes(&self) -> usize {
        let mut bytes = RECORD_FRAME_BYTES + self.service.as_str().len();
        for form in &self.forms {
            bytes += RECORD_FRAME_BYTES + form.body.len();
        }
        bytes
    }

    /// Returns a hash of the whole record.
    pub(super) fn hash(&self) -> u64 {
        let mut hash = xxh3_64_with_seed(self.service.as_str().as_bytes(), self.changed_at);
        for form in &self.forms {
            let seed = hash ^ u64::from(form.schema_version);
            hash = xxh3_64_with_seed(form.body.as_bytes(), seed);
        }
        hash
    }
}

impl Change {
    /// Returns the bytes of the change on a link, about.
    pub fn link_bytes(&self) -> usize {
        let mut bytes = RECORD_FRAME_BYTES;
        for record in &self.changed {
            bytes += record.link_bytes();
        }
        for service in &self.removed {
            bytes += RECORD_FRAME_BYTES + service.as_str().len();
        }
        bytes
    }
}

/// The records at one version; the digest is the sum of their hashes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct State {
    pub(super) version: u64,
    pub(super) digest: u64,
    pub(super) records: SortedMap<ServiceName, StoredRecord>,
}

/// Why a change does not fit a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Misfit {
    /// It is not the next change.
    Gap,
    /// It leads to other records than those of its version.
    Digest,
}

impl State {
    /// Puts a record in place unless a newer one is there.
    pub(super) fn insert(&mut self, record: StoredRecord) {
        if self.newest(&record.service) >= record.changed_at {
            return;
        }
        self.digest = self.digest.wrapping_add(record.hash());
        if let Some(old) = self.records.insert(record.service.clone(), record) {
            self.digest = self.digest.wrapping_sub(old.hash());
        }
    }

    fn remove(&mut self, service: &ServiceName, version: u64) {
        if self.newest(service) >= version {
            return;
        }
        if let Some(old) = self.records.remove(service) {
            self.digest = self.digest.wrapping_sub(old.hash());
        }
    }

    fn newest(&self, service: &ServiceName) -> u64 {
        self.records
            .get(service)
            .map_or(0, |record| record.changed_at)
    }

    /// Carries out a change whatever it leads to.
    pub(super) fn merge(&mut self, change: &Change) {
        for record in &change.changed {
            self.insert(record.clone());
        }
        for service in &change.removed {
            self.remove(service, change.version);
        }
        self.version = change.version;
    }

    /// Carries out the next change, or nothing where it does not fit.
    pub(super) fn apply(&mut self, change: &Change) -> Result<(), Misfit> {
        if change.version != self.version + 1 {
            return Err(Misfit::Gap);
        }
        if self.digest_after(change) != change.digest {
            return Err(Misfit::Digest);
        }
        self.merge(change);
        Ok(())
    }

    /// Returns the digest that a change leads to.
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

/// The latest changes, for daemons that are a little behind.
#[derive(Default)]
pub(super) struct RecentChanges {
    changes: VecDeque<Change>,
    bytes: usize,
}

impl RecentChanges {
    pub(super) fn push(&mut self, change: Change, bytes_max: usize) {
        self.bytes += change.link_bytes();
        self.changes.push_back(change);
        while self.bytes > bytes_max {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= oldest.link_bytes();
        }
    }

    pub(super) fn clear(&mut self) {
        self.changes.clear();
        self.bytes = 0;
    }

    /// Returns the first changes after a version, or none where they are no longer kept.
    pub(super) fn after(&self, version: u64, bytes_max: usize) -> Vec<Change> {
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
            bytes += change.link_bytes();
            if bytes > bytes_max && !found.is_empty() {
                break;
            }
            found.push(change.clone());
        }
        found
    }
}

/// The records that this daemon reads.
#[derive(Default)]
pub(super) struct Readings {
    newest_read: u16,
    records: SortedMap<ServiceName, ServiceRecord>,
    unreadable: SortedMap<ServiceName, UnreadableRecord>,
}

impl Readings {
    pub(super) fn new(newest_read: u16) -> Self {
        Self {
            newest_read,
            ..Self::default()
        }
    }

    /// Reads a record; one that cannot be read leaves what was there.
    pub(super) fn read(&mut self, record: &StoredRecord) -> Result<(), UnreadableRecord> {
        match read_forms(&record.forms, self.newest_read) {
            Ok(read) => {
                self.unreadable.remove(&record.service);
                self.records.insert(record.service.clone(), read);
                Ok(())
            }
            Err(error) => {
                let unreadable = UnreadableRecord {
                    service: record.service.clone(),
                    changed_at: record.changed_at,
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

    /// Drops what was read of services that a state does not hold.
    pub(super) fn keep_only(&mut self, state: &State) {
        self.records
            .retain(|service, _| state.records.contains_key(service));
        self.unreadable
            .retain(|service, _| state.records.contains_key(service));
    }

    pub(super) fn unreadable(&self) -> Vec<UnreadableRecord> {
        self.unreadable.values().cloned().collect()
    }

    pub(super) fn view(&self, version: u64) -> Arc<ConfigView> {
        Arc::new(ConfigView {
            version,
            records: self.records.values().cloned().collect(),
        })
    }
}
