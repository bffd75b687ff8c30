//! The pool of targets of one service.

use super::spill::SpillShare;
use super::target::TargetKey;

/// The targets of one service: those in the daemon's own availability zone, and those in others.
#[derive(Default)]
pub(super) struct Pool {
    pub(super) local: Vec<TargetKey>,
    pub(super) remote: Vec<TargetKey>,
    pub(super) spill: SpillShare,
}

impl Pool {
    pub(super) fn len(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    pub(super) fn insert(&mut self, key: TargetKey, is_local: bool) {
        if is_local {
            self.local.push(key);
        } else {
            self.remote.push(key);
        }
    }

    pub(super) fn remove(&mut self, key: TargetKey) {
        self.local.retain(|other| *other != key);
        self.remote.retain(|other| *other != key);
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = TargetKey> {
        self.local.iter().chain(&self.remote).copied()
    }
}
