//! A TCP relay between two processes that injects network faults: stalled connections, corrupted
//! bytes and lost connectivity.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// A relay that listens on loopback and forwards to one address.
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::AbortHandle,
}

/// The state that the relay shares with the tasks of its connections.
struct Shared {
    /// The address that new connections are forwarded to; without one they are closed.
    destination: watch::Sender<Option<SocketAddr>>,
    /// The current generation; connections of earlier generations no longer forward anything.
    generation: watch::Sender<u64>,
    /// The number of further bytes to callers, over all connections, before the byte to corrupt;
    /// `None` if no byte is to be corrupted.
    corrupt_after: Mutex<Option<usize>>,
    /// The number of bytes that were corrupted.
    corrupted: AtomicUsize,
    /// Whether open connections are closed and new ones are closed at once.
    is_disconnected: watch::Sender<bool>,
}

impl Relay {
    /// Starts a relay on a port chosen by the system, inside the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            destination: watch::Sender::new(None),
            generation: watch::Sender::new(0),
            corrupt_after: Mutex::new(None),
            corrupted: AtomicUsize::new(0),
            is_disconnected: watch::Sender::new(false),
        });
        let accepting = accept(listener, Arc::clone(&shared));
        let task = tokio::spawn(accepting).abort_handle();
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address that new connections are forwarded to.
    pub fn set_destination(&self, destination: SocketAddr) {
        self.shared.destination.send_replace(Some(destination));
    }

    /// Stops forwarding on all current connections for good, but leaves them open; new connections
    /// work.
    pub fn stall_connections(&self) {
        self.shared
            .generation
            .send_modify(|generation| *generation += 1);
    }

    /// Forwards `bytes` more bytes to callers unchanged, counted over all connections, and flips a
    /// bit of the byte after them.
    pub fn corrupt_byte_after(&self, bytes: usize) {
        *self.shared.lock_corrupt_after() = Some(bytes);
    }

    /// Returns the number of bytes that were corrupted.
    pub fn corrupted_bytes(&self) -> usize {
        self.shared.corrupted.load(Ordering::Relaxed)
    }

    /// Closes all current connections, and new ones at once, until [`Relay::restore`].
    pub fn disconnect(&self) {
        self.shared.is_disconnected.send_replace(true);
    }

    /// Forwards new connections again after [`Relay::disconnect`].
    pub fn restore(&self) {
        self.shared.is_disconnected.send_replace(false);
    }
}

impl Shared {
    fn lock_corrupt_after(&self) -> MutexGuard<'_, Option<usize>> {
        self.corrupt_after
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Corrupts the byte that is due, if it is in this chunk.
    fn corrupt(&self, chunk: &mut [u8]) {
        let mut after = self.lock_corrupt_after();
        let Some(left) = *after else {
            return;
        };
        if left >= chunk.len() {
            *after = Some(left - chunk.len());
            return;
        }
        chunk[left] ^= 1;
        *after = None;
        self.corrupted.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        if *shared.is_disconnected.borrow() {
            continue;
        }
        tokio::spawn(relay(stream, Arc::clone(&shared)));
    }
}

async fn relay(caller: TcpStream, shared: Arc<Shared>) {
    let generation = *shared.generation.borrow();
    let Some(address) = *shared.destination.borrow() else {
        return;
    };
    let Ok(destination) = TcpStream::connect(address).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = destination.set_nodelay(true);
    let (caller_read, caller_write) = caller.into_split();
    let (destination_read, destination_write) = destination.into_split();
    let mut disconnected = shared.is_disconnected.subscribe();
    tokio::select! {
        () = forward(caller_read, destination_write, &shared, generation, |_| {}) => {}
        () = forward(destination_read, caller_write, &shared, generation, |chunk| {
            shared.corrupt(chunk);
        }) => {}
        _ = disconnected.wait_for(|is_disconnected| *is_disconnected) => {}
    }
}

/// Forwards until one end closes. A stalled connection drops the next chunk that it reads, reads no
/// further and stays open.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    generation: u64,
    transform: impl Fn(&mut [u8]),
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut chunk).await {
        let is_stalled = *shared.generation.borrow() > generation;
        if is_stalled {
            std::future::pending::<()>().await;
        }
        transform(&mut chunk[..count]);
        if count == 0 || to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
