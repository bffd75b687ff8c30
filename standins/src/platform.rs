//! A stand-in for the platform: its table service and object store over HTTP, with faults.
//!
//! It runs on hyper, since a lost answer needs a connection that closes without an answer, and a
//! slow platform must hold many requests at once without a thread for each.

mod http;
mod table;

pub use table::{Expected, Row, Table, TableRequest, TableResponse, TableWrite};

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// It does not.
    #[default]
    None,
    /// It carries out nothing and says so with 503.
    Down,
    /// It carries out each request and answers late.
    Slow,
    /// It carries out each request and closes the connection without an answer.
    AnswerLost,
}

/// A fault that the platform shows until the next one is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub mode: FaultMode,
    /// The time by which answers are late, with [`FaultMode::Slow`].
    #[serde(default)]
    pub delay_ms: u64,
}

/// The requests that were carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of the table and of objects.
    pub reads: u64,
    /// Writes of the table and of objects.
    pub writes: u64,
}

/// What the platform holds.
#[derive(Default)]
struct Store {
    table: Table,
    objects: BTreeMap<String, String>,
    fault: Fault,
    counts: Counts,
}

/// A running stand-in; it stops when dropped.
pub struct Platform {
    address: SocketAddr,
    store: Arc<Mutex<Store>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Platform {
    /// Listens on an address (port 0 for any) and serves on a thread of its own.
    pub fn start(bind: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(bind)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let store = Arc::new(Mutex::new(Store::default()));
        let (stop, stopped) = oneshot::channel();
        let served = store.clone();
        let thread = std::thread::Builder::new()
            .name("platform".into())
            .spawn(move || runtime.block_on(http::serve(listener, served, stopped)))?;
        Ok(Self {
            address,
            store,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault that it shows from now on.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.store).fault = fault;
    }

    /// Returns the requests that were carried out so far.
    pub fn counts(&self) -> Counts {
        lock(&self.store).counts
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn lock(store: &Mutex<Store>) -> MutexGuard<'_, Store> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}
