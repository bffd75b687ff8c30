//! The pool of connections to a target must reuse connections under load instead of opening new ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use dragonflylug::host::pool::{Exchange, HttpPool, PoolSettings};
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Barrier;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Starts a server that keeps its connections open and answers once a number of requests wait.
/// Returns its address and the number of connections that it accepted.
async fn start_server(concurrent: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    let all_waiting = Arc::new(Barrier::new(concurrent));
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(serve(stream, Arc::clone(&all_waiting)));
        }
    });
    (address, accepted)
}

async fn serve(mut stream: TcpStream, all_waiting: Arc<Barrier>) {
    let mut request = [0; 1_024];
    while stream.read(&mut request).await.is_ok_and(|count| count > 0) {
        all_waiting.wait().await;
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}

async fn exchange(pool: &HttpPool) {
    let exchange = Exchange {
        request: Request::get("/").body(Full::<Bytes>::default()).unwrap(),
        is_idempotent: true,
        matches_request: &|_, _| true,
        permit: None,
    };
    assert_eq!(pool.exchange(exchange).await.unwrap().status(), 200);
}

#[tokio::test]
async fn request_that_follows_a_response_at_once_takes_its_connection() {
    let (address, accepted) = start_server(1).await;
    let pool = HttpPool::new(address, PoolSettings::default());
    for _ in 0..50 {
        exchange(&pool).await;
    }
    assert_eq!(accepted.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn connections_of_a_large_target_are_kept_between_waves() {
    let (address, accepted) = start_server(100).await;
    let pool = HttpPool::new(address, PoolSettings::default());
    for _ in 0..5 {
        futures::future::join_all((0..100).map(|_| exchange(&pool))).await;
    }
    assert_eq!(accepted.load(Ordering::Relaxed), 100);
}
