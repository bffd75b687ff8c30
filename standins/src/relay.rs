//! A byte relay between two processes that can stop forwarding.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// A relay that listens on loopback and forwards to one address.
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::AbortHandle,
}

struct Shared {
    destination: watch::Sender<Option<SocketAddr>>,
    /// Connections of an earlier generation than this one carry nothing any more.
    silent_before: watch::Sender<u64>,
    /// The bytes towards the caller after which one is altered; `None` for never.
    alter_after: Mutex<Option<usize>>,
    /// The bytes that were altered.
    altered: AtomicUsize,
    /// Whether connections are cut and new ones are closed.
    is_cut: watch::Sender<bool>,
}

impl Relay {
    /// Starts a relay on a port of the system's choice, inside the present tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails where no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            destination: watch::Sender::new(None),
            silent_before: watch::Sender::new(0),
            alter_after: Mutex::new(None),
            altered: AtomicUsize::new(0),
            is_cut: watch::Sender::new(false),
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

    /// Makes all present connections silent for good; new ones work.
    pub fn stall_connections(&self) {
        self.shared
            .silent_before
            .send_modify(|generation| *generation += 1);
    }

    /// Alters one byte towards the caller, after so many more.
    pub fn corrupt_byte_after(&self, bytes: usize) {
        *self.shared.alter_after() = Some(bytes);
    }

    /// Returns the number of bytes that were altered.
    pub fn corrupted_bytes(&self) -> usize {
        self.shared.altered.load(Ordering::Relaxed)
    }

    /// Cuts all present connections and closes new ones until [`Relay::restore`].
    pub fn disconnect(&self) {
        self.shared.is_cut.send_replace(true);
    }

    /// Lets new connections work again.
    pub fn restore(&self) {
        self.shared.is_cut.send_replace(false);
    }
}

impl Shared {
    fn alter_after(&self) -> MutexGuard<'_, Option<usize>> {
        self.alter_after
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Alters the byte that is due, if it is in this chunk.
    fn alter(&self, chunk: &mut [u8]) {
        let mut after = self.alter_after();
        let Some(left) = *after else {
            return;
        };
        if left >= chunk.len() {
            *after = Some(left - chunk.len());
            return;
        }
        chunk[left] ^= 1;
        *after = None;
        self.altered.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        if *shared.is_cut.borrow() {
            continue;
        }
        tokio::spawn(relay(stream, Arc::clone(&shared)));
    }
}

async fn relay(caller: TcpStream, shared: Arc<Shared>) {
    let generation = *shared.silent_before.borrow();
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
    let mut cut = shared.is_cut.subscribe();
    tokio::select! {
        () = forward(caller_read, destination_write, &shared, generation, |_| {}) => {}
        () = forward(destination_read, caller_write, &shared, generation, |chunk| {
            shared.alter(chunk);
        }) => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}

/// Forwards until one end closes; a silent connection stays open and drops what it reads.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    generation: u64,
    change: impl Fn(&mut [u8]),
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut chunk).await {
        let is_silent = *shared.silent_before.borrow() > generation;
        if is_silent {
            std::future::pending::<()>().await;
        }
        change(&mut chunk[..count]);
        if count == 0 || to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
