//! A stand-in for the platform of `dragonflylugd`: a table service and an object store over HTTP,
//! with injected faults.
//!
//! It uses hyper because [`FaultMode::AnswerLost`] must close a connection without a response, and
//! [`FaultMode::Slow`] must keep many requests open at once without a thread for each.

mod http;
mod table;

pub use table::{Expected, Row, Table, TableRequest, TableResponse, TableWrite};

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// The kinds of fault that the stand-in can inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// No fault.
    #[default]
    None,
    /// It executes no request to the table or the objects and responds with 503.
    Down,
    /// It executes each request and responds after a delay.
    Slow,
    /// It executes each request and closes the connection without a response.
    AnswerLost,
}

/// A fault that the stand-in injects until the next one is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub mode: FaultMode,
    /// The delay of each response, with [`FaultMode::Slow`].
    #[serde(default)]
    pub delay_ms: u64,
}

/// The number of requests that were executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads from the table and of objects.
    pub reads: u64,
    /// Writes to the table and of objects.
    pub writes: u64,
}

/// The state of the stand-in: its data, its current fault and its request counts.
#[derive(Default)]
struct PlatformState {
    table: Table,
    objects: BTreeMap<String, String>,
    fault: Fault,
    counts: Counts,
}

/// A running stand-in; it stops when dropped.
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl PlatformStandin {
    /// Listens on an address (port 0 for any port) and serves on its own thread.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound, or if the runtime or the thread cannot be created.
    pub fn start(bind: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(bind)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let state = Arc::new(Mutex::new(PlatformState::default()));
        let (stop, stopped) = oneshot::channel();
        let shared = state.clone();
        let thread = std::thread::Builder::new()
            .name("platform".into())
            .spawn(move || runtime.block_on(http::serve(listener, shared, stopped)))?;
        Ok(Self {
            address,
            state,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the fault that it injects.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }

    /// Returns the number of requests that were executed so far.
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn lock(state: &Mutex<PlatformState>) -> MutexGuard<'_, PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
