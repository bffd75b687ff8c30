//! A request whose permission to be sent expired while it waited must not reach the target.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dragonflylug::host::pool::{Exchange, ExchangeError, HttpPool, PoolSettings};
use dragonflylug::host::send_permit::SendPermit;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How long to wait for a connection before the listener's queue counts as full.
const CONNECT_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Longer than the system waits until it repeats an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a permission is valid that expires before the connection opens.
const SHORT_PERMIT: Duration = Duration::from_millis(300);

/// How long a permission is valid that outlasts the wait for the connection.
const LONG_PERMIT: Duration = Duration::from_secs(60);

/// Sends a request to a listener whose queue of connections is full, and then accepts connections
/// once the short permission has expired. Returns the result and the bytes that arrived.
async fn send_while_the_queue_is_full(valid: Duration) -> (Result<(), ExchangeError>, usize) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let waiting = fill_connection_queue(address).await;
    let pool = HttpPool::new(
        address,
        PoolSettings {
            connect_timeout: CONNECT_TIMEOUT,
            ..PoolSettings::default()
        },
    );
    let exchange = Exchange {
        request: Request::get("/").body(Full::new(Bytes::new())).unwrap(),
        request_id: None,
        is_idempotent: true,
        matches_request: &|_, _| true,
        permit: Some(SendPermit::new(valid)),
    };
    let accept = async {
        tokio::time::sleep(2 * SHORT_PERMIT).await;
        let skipped = waiting.len();
        drop(waiting);
        count_bytes(&listener, skipped).await
    };
    let (result, bytes) = tokio::join!(pool.exchange(exchange), accept);
    (result.map(|_| ()), bytes)
}

async fn fill_connection_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    loop {
        let connecting = TcpStream::connect(address);
        match tokio::time::timeout(CONNECT_PROBE_TIMEOUT, connecting).await {
            Ok(connection) => connections.push(connection.unwrap()),
            Err(_) => return connections,
        }
    }
}

/// Accepts connections, skips the first ones, and returns the number of bytes that the first read
/// of the next one gets.
async fn count_bytes(listener: &TcpListener, skipped: usize) -> usize {
    for _ in 0..skipped {
        listener.accept().await.unwrap();
    }
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buffer = [0; 1_024];
    stream.read(&mut buffer).await.unwrap()
}

#[tokio::test]
async fn request_is_sent_on_a_connection_that_opened_after_its_permission_expired() {
    let (result, bytes) = send_while_the_queue_is_full(SHORT_PERMIT).await;
    assert_eq!(result, Err(ExchangeError::NotSent));
    assert_eq!(bytes, 0);
}

/// The same wait with a permission that outlasts it, so that the test above can fail.
#[tokio::test]
async fn request_is_sent_while_its_permission_is_valid() {
    let (_, bytes) = send_while_the_queue_is_full(LONG_PERMIT).await;
    assert!(bytes > 0);
}
