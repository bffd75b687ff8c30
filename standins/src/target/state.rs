//! The state that the connections of a target stand-in share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use super::children::{DaemonClient, build_client};
use super::config::{Behaviour, Distribution, TargetConfig};
use super::log::{Run, RunLog, RunState};

/// The state that the connections of a target stand-in share.
pub(super) struct State {
    pub(super) config: TargetConfig,
    pub(super) connections: Arc<Semaphore>,
    pub(super) announcement_changed: Notify,
    pub(super) client: DaemonClient,
    /// Notified when a request ends the process.
    pub(super) crashed: Notify,
    slots: Arc<Semaphore>,
    start: Instant,
    inner: Mutex<LockedState>,
}

/// The mutable part of the state.
struct LockedState {
    behaviour: Behaviour,
    /// The identifier of the current start; `None` while the process has ended.
    instance: Option<String>,
    ends: Vec<Instant>,
    drain_start: Option<Instant>,
    waiting: u32,
    rng: ChaCha8Rng,
    log: RunLog,
}

/// Counts a request in the backlog until dropped.
struct BacklogEntry<'a>(&'a State);

impl Drop for BacklogEntry<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

impl State {
    pub(super) fn new(config: TargetConfig) -> Self {
        let inner = LockedState {
            behaviour: config.behaviour.clone(),
            instance: Some(new_instance()),
            ends: Vec::new(),
            drain_start: None,
            waiting: 0,
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            log: RunLog::default(),
        };
        Self {
            connections: Arc::new(Semaphore::new(config.connections as usize)),
            announcement_changed: Notify::new(),
            client: build_client(),
            crashed: Notify::new(),
            slots: Arc::new(Semaphore::new(config.slots as usize)),
            start: Instant::now(),
            inner: Mutex::new(inner),
            config,
        }
    }

    fn lock(&self) -> MutexGuard<'_, LockedState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn behaviour(&self) -> Behaviour {
        self.lock().behaviour.clone()
    }

    pub(super) fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Returns the identifier of the current start; `None` while the process has ended.
    pub(super) fn instance(&self) -> Option<String> {
        self.lock().instance.clone()
    }

    /// Records that the process ended.
    pub(super) fn end_process(&self) {
        let mut inner = self.lock();
        inner.instance = None;
        inner.ends.push(Instant::now());
    }

    /// Records that the process started again.
    pub(super) fn start_process(&self) {
        self.lock().instance = Some(new_instance());
        self.announcement_changed.notify_one();
    }

    pub(super) fn ends(&self) -> Vec<Instant> {
        self.lock().ends.clone()
    }

    pub(super) fn drain(&self) {
        self.lock().drain_start.get_or_insert_with(Instant::now);
        self.announcement_changed.notify_one();
    }

    pub(super) fn is_draining(&self) -> bool {
        self.lock().drain_start.is_some()
    }

    pub(super) fn log(&self) -> RunLog {
        self.lock().log.clone()
    }

    pub(super) fn run_starts(&self) -> Vec<(Instant, String)> {
        let mut starts = Vec::new();
        for run in &self.lock().log.runs {
            let started_at = self.start + Duration::from_micros(run.started_us);
            starts.push((started_at, run.path.clone()));
        }
        starts
    }

    pub(super) fn run_starts_with_key(&self, key: &str) -> Vec<Instant> {
        let mut starts = Vec::new();
        for run in &self.lock().log.runs {
            if run.key.as_deref() == Some(key) {
                starts.push(self.start + Duration::from_micros(run.started_us));
            }
        }
        starts
    }

    pub(super) fn record_refused_connection(&self) {
        self.lock().log.connections_refused += 1;
    }

    /// Waits for a slot; returns `None` if slots and backlog are full.
    pub(super) async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(slot);
        }
        {
            let mut inner = self.lock();
            if inner.waiting >= self.config.backlog {
                inner.log.refused += 1;
                return None;
            }
            inner.waiting += 1;
        }
        let _backlog = BacklogEntry(self);
        Arc::clone(&self.slots).acquire_owned().await.ok()
    }

    /// Records the start of a run and returns its index in the log.
    pub(super) fn start_run(&self, mut run: Run) -> usize {
        run.started_us = whole_micros(self.start.elapsed());
        let mut inner = self.lock();
        run.after_drain_us = inner.drain_start.map(|start| whole_micros(start.elapsed()));
        inner.log.runs.push(run);
        inner.log.runs.len() - 1
    }

    /// Records the end of a run.
    pub(super) fn end_run(&self, index: usize, state: RunState, work: Duration) {
        let run = &mut self.lock().log.runs[index];
        run.state = state;
        run.work_us = whole_micros(work);
    }

    /// Draws the service time of one request: its mean, times `cold_factor` while the target is
    /// cold, times the random factor of the distribution.
    pub(super) fn draw_service_time(&self, mean: Duration, distribution: Distribution) -> Duration {
        let cold_start = Duration::from_millis(self.config.cold_start_ms);
        let is_cold = self.start.elapsed() < cold_start;
        let cold_factor = if is_cold {
            self.config.cold_factor
        } else {
            1.0
        };
        let random_factor = match distribution {
            Distribution::Fixed => 1.0,
            Distribution::Exponential => {
                let uniform: f64 = self.lock().rng.random();
                -(1.0 - uniform).ln()
            }
        };
        mean.mul_f64(cold_factor.max(0.0) * random_factor)
    }
}

fn new_instance() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Returns a duration in whole microseconds.
pub(super) fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
