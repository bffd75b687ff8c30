//! The pool of connections to a target must reuse connections under load instead of opening new ones,
//! and must take no response for whole that ended early.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use dragonflylug::host::pool::{Exchange, ExchangeError, HttpPool, PoolSettings};
use http_body_util::Full;
use hyper::{Request, Response};
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

async fn try_exchange(pool: &HttpPool) -> Result<Response<Bytes>, ExchangeError> {
    try_exchange_as(pool, None).await
}

async fn try_exchange_as(
    pool: &HttpPool,
    request_id: Option<&str>,
) -> Result<Response<Bytes>, ExchangeError> {
    let exchange = Exchange {
        request: Request::get("/").body(Full::<Bytes>::default()).unwrap(),
        request_id,
        is_idempotent: true,
        matches_request: &|_, _| true,
        permit: None,
    };
    pool.exchange(exchange).await
}

async fn exchange(pool: &HttpPool) {
    assert_eq!(try_exchange(pool).await.unwrap().status(), 200);
}

/// Starts a server that sends a whole response to the first request, and to each later one as many
/// bytes of it as `sent_bytes` says, after which it closes.
async fn start_cutting_server(response: &'static str, sent_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(send_cut(
                stream,
                response,
                sent_bytes,
                Arc::clone(&requests),
            ));
        }
    });
    address
}

async fn send_cut(
    mut stream: TcpStream,
    response: &'static str,
    sent_bytes: usize,
    requests: Arc<AtomicUsize>,
) {
    let mut request = [0; 1_024];
    while stream.read(&mut request).await.is_ok_and(|count| count > 0) {
        let is_first = requests.fetch_add(1, Ordering::Relaxed) == 0;
        let length = if is_first { response.len() } else { sent_bytes };
        let _ = stream.write_all(&response.as_bytes()[..length]).await;
        if !is_first {
            return;
        }
    }
}

/// Cuts a response after each of its bytes, on a kept connection.
fn check_cuts(response: &'static str) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        for sent_bytes in 0..response.len() {
            let address = start_cutting_server(response, sent_bytes).await;
            let pool = HttpPool::new(address, PoolSettings::default());
            exchange(&pool).await;
            let cut = try_exchange(&pool).await;
            assert!(cut.is_err(), "after {sent_bytes} bytes: {cut:?}");
        }
    });
}

// Guards against a response whose head or body ended early and that is taken for whole.
cases! { check_cuts:
    cut_response_with_a_length_is_lost => "HTTP/1.1 200 OK\r\nx-mark: s\r\ncontent-length: 12\r\n\r\nthe answer 1",
    cut_response_in_chunks_is_lost => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nthe a\r\n6\r\nnswer1\r\n0\r\n\r\n",
    cut_response_after_an_interim_one_is_lost => "HTTP/1.1 102 x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
    cut_response_without_a_body_is_lost => "HTTP/1.1 200 OK\r\nx-mark: s\r\ncontent-length: 0\r\n\r\n",
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

/// Sends requests one after the other on a pool and returns the number of connections that it opened.
fn count_connections(request_ids: impl Iterator<Item = u32>) -> usize {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (address, accepted) = start_server(1).await;
        let pool = HttpPool::new(address, PoolSettings::default());
        for request_id in request_ids {
            let response = try_exchange_as(&pool, Some(&request_id.to_string())).await;
            assert_eq!(response.unwrap().status(), 200);
        }
        accepted.load(Ordering::Relaxed)
    })
}

fn check_connections((request_ids, expected): (Vec<u32>, usize)) {
    assert_eq!(count_connections(request_ids.into_iter()), expected);
}

// Guards against two responses on one connection that name the same request, of which one may be a late
// copy of the other.
cases! { check_connections:
    connection_carries_two_sendings_of_a_request => (vec![1, 1, 1], 3),
    connection_carries_a_second_sending_after_other_requests => (vec![1, 2, 3, 1, 2], 2),
    request_that_was_not_sent_before_opens_a_connection => ((0..500).collect(), 1),
}

/// Guards against a connection whose identifiers take up more and more memory.
#[test]
fn identifiers_of_a_connection_are_kept_without_a_bound() {
    assert_eq!(count_connections(0..3_000), 3);
}
