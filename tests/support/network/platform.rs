//! The table and the object store of the simulated network.

use dragonflylug::table::{
    Expected, ObjectRequest, ObjectResponse, PlatformError, Row, RowVersion, TableRequest,
    TableResponse,
};

use super::{Network, PlatformFault};

impl Network {
    pub(super) fn handle_table_request(
        &mut self,
        request: TableRequest,
        timeout_us: u64,
    ) -> (Result<TableResponse, PlatformError>, u64) {
        match self.platform_fault {
            PlatformFault::Down | PlatformFault::TableDown => {
                (Err(PlatformError::NotApplied), self.delay_us)
            }
            PlatformFault::None => (Ok(self.apply_table_request(request)), 2 * self.delay_us),
            PlatformFault::ResponseLost => {
                self.apply_table_request(request);
                (Err(PlatformError::Lost), timeout_us)
            }
            PlatformFault::Slow(latency_us) => {
                let response = self.apply_table_request(request);
                if latency_us > timeout_us {
                    return (Err(PlatformError::Lost), timeout_us);
                }
                (Ok(response), latency_us)
            }
        }
    }

    /// Returns the time on the table's clock after a delay; the nodes' own clocks begin elsewhere.
    pub(super) fn table_now_ms(&self, after_us: u64) -> Option<u64> {
        let zero_ms = self.table_clock_zero_ms?;
        Some(zero_ms + (self.now_us + after_us) / 1_000)
    }

    pub(super) fn row_version(&self, number: u64) -> RowVersion {
        RowVersion {
            epoch: self.epoch,
            number,
        }
    }

    fn apply_table_request(&mut self, request: TableRequest) -> TableResponse {
        match request {
            TableRequest::Get { keys } => {
                self.table_reads += 1;
                let read = self.stale_rows.as_ref().unwrap_or(&self.rows);
                let row = |key: &String| {
                    let (version, value) = read.get(key)?;
                    Some(Row {
                        key: key.clone(),
                        version: self.row_version(*version),
                        value: value.clone(),
                    })
                };
                TableResponse::Rows(keys.iter().filter_map(row).collect())
            }
            TableRequest::Scan {
                prefix,
                after,
                limit,
            } => {
                self.table_reads += 1;
                let mut rows = Vec::new();
                let read = self.stale_rows.as_ref().unwrap_or(&self.rows);
                for (key, (version, value)) in read.iter() {
                    if !key.starts_with(&prefix) || after.as_ref().is_some_and(|last| key <= last) {
                        continue;
                    }
                    if rows.len() == limit as usize {
                        break;
                    }
                    let (key, value) = (key.clone(), value.clone());
                    rows.push(Row {
                        key,
                        version: self.row_version(*version),
                        value,
                    });
                }
                TableResponse::Rows(rows)
            }
            TableRequest::Write { writes } => {
                self.table_writes += 1;
                let mut current = Vec::new();
                let mut are_versions_expected = true;
                for write in &writes {
                    let row = self.rows.get(&write.key);
                    are_versions_expected &= match write.expected {
                        Expected::Any => true,
                        Expected::Absent => row.is_none(),
                        Expected::Version(version) => {
                            row.is_some_and(|row| self.row_version(row.0) == version)
                        }
                    };
                    if let Some((version, value)) = row {
                        let (key, value) = (write.key.clone(), value.clone());
                        current.push(Row {
                            key,
                            version: self.row_version(*version),
                            value,
                        });
                    }
                }
                if !are_versions_expected {
                    return TableResponse::Conflict(current);
                }
                let mut versions = Vec::new();
                for write in writes {
                    self.next_version += 1;
                    versions.push(self.row_version(self.next_version));
                    match write.value {
                        Some(value) => {
                            self.rows.insert(write.key, (self.next_version, value));
                        }
                        None => {
                            self.rows.remove(&write.key);
                        }
                    }
                }
                TableResponse::Written(versions)
            }
        }
    }

    pub(super) fn handle_object_request(
        &mut self,
        request: ObjectRequest,
        timeout_us: u64,
    ) -> (Result<ObjectResponse, PlatformError>, u64) {
        if self.platform_fault == PlatformFault::Down {
            return (Err(PlatformError::NotApplied), self.delay_us);
        }
        let response = match request {
            ObjectRequest::Get { name } => match self.objects.get(&name) {
                Some(content) => ObjectResponse::Content(content.clone()),
                None => ObjectResponse::Missing,
            },
            ObjectRequest::Put { name, content } => {
                self.objects.insert(name, content);
                ObjectResponse::Written
            }
        };
        if self.platform_fault == PlatformFault::ResponseLost {
            return (Err(PlatformError::Lost), timeout_us);
        }
        (Ok(response), 2 * self.delay_us)
    }
}
