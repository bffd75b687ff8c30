//! The links between daemons on real sockets: bodies in chunks and altered bytes.

#[path = "support/loopback.rs"]
mod loopback;
#[path = "support/processes.rs"]
mod processes;
#[path = "support/sized_answers.rs"]
mod sized_answers;

use std::net::SocketAddr;
use std::sync::Arc;

use dragonflylug::host::PeerTransport;
use dragonflylug::kernel::LinkError;
use dragonflylug::peer::PeerResponse;
use dragonflylug::verdict::Verdict;
use dragonflylug_standins::target::TargetConfig;
use processes::{Call, start_behind_relay};
use sized_answers::{REQUEST_TIMEOUT, peer_links, sized_request, start_sized_answer_node};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// The body size of a large response, which is sent in chunks.
const LARGE_BYTES: usize = 12 * 1024 * 1024;

fn body_bytes(result: Result<PeerResponse, LinkError>) -> usize {
    let Ok(PeerResponse::Call(reply)) = result else {
        panic!("{result:?}")
    };
    let Verdict::Ran(answer) = reply.verdict else {
        panic!("{:?}", reply.verdict)
    };
    assert!(answer.is_intact());
    answer.body.len()
}

#[tokio::test]
async fn small_responses_pass_between_the_chunks_of_a_large_one() {
    let address = start_sized_answer_node().await;
    let links = peer_links();
    let mut large =
        std::pin::pin!(links.request(address, sized_request(LARGE_BYTES), REQUEST_TIMEOUT));
    let mut small = 0;
    let large = loop {
        tokio::select! {
            biased;
            result = &mut large => break result,
            result = links.request(address, sized_request(10), REQUEST_TIMEOUT) => {
                assert_eq!(body_bytes(result), 10);
                small += 1;
            }
        }
    };
    assert_eq!(body_bytes(large), LARGE_BYTES);
    assert!(small >= 20, "{small} small responses meanwhile");
}

/// The chunk space would fill up if a fetched body were not released from it.
#[tokio::test]
async fn large_responses_release_their_chunk_space() {
    let address = start_sized_answer_node().await;
    let links = peer_links();
    for _ in 0..20 {
        let answer = links
            .request(address, sized_request(LARGE_BYTES), REQUEST_TIMEOUT)
            .await;
        assert_eq!(body_bytes(answer), LARGE_BYTES);
    }
}

#[tokio::test]
async fn large_responses_without_chunk_space_are_sent_whole() {
    let address = start_sized_answer_node().await;
    let links = peer_links();
    let requests =
        (0..16).map(|_| links.request(address, sized_request(LARGE_BYTES), REQUEST_TIMEOUT));
    for answer in futures::future::join_all(requests).await {
        assert_eq!(body_bytes(answer), LARGE_BYTES);
    }
}

#[tokio::test]
async fn a_request_to_a_closed_port_reports_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let answer = peer_links()
        .request(address, sized_request(10), REQUEST_TIMEOUT)
        .await;
    assert_eq!(answer.err(), Some(LinkError::NotSent));
}

/// Forwards one connection to an address, with each response preceded by a copy of the one before.
async fn forward_with_late_copies(listener: TcpListener, to: SocketAddr) -> std::io::Result<()> {
    let (caller, _) = listener.accept().await?;
    let (mut requests, mut responses) = caller.into_split();
    let (mut from_node, mut to_node) = TcpStream::connect(to).await?.into_split();
    let forwarding = tokio::io::copy(&mut requests, &mut to_node);
    let copying = async {
        let mut previous = Vec::new();
        loop {
            let length = from_node.read_u32().await?;
            let mut frame = length.to_be_bytes().to_vec();
            frame.resize(frame.len() + length as usize, 0);
            from_node.read_exact(&mut frame[4..]).await?;
            responses.write_all(&previous).await?;
            responses.write_all(&frame).await?;
            previous = frame;
        }
    };
    tokio::select! {
        forwarded = forwarding => forwarded.map(|_| ()),
        copied = copying => copied,
    }
}

/// Guards against a response that is taken for that of the next request on the link.
#[tokio::test]
async fn a_late_copy_of_a_response_answers_no_other_request() {
    let node = start_sized_answer_node().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = listener.local_addr().unwrap();
    let forwarding = tokio::spawn(forward_with_late_copies(listener, node));
    let links = peer_links();
    for bytes in 1..20 {
        let answer = links
            .request(relay, sized_request(bytes), REQUEST_TIMEOUT)
            .await;
        assert_eq!(body_bytes(answer), bytes);
    }
    assert!(!forwarding.is_finished(), "the link was closed");
}

/// Forwards connections to an address, each until `close` is notified; then closes it as a stopping daemon
/// does, and notifies `closed` once the other side has closed it too.
async fn forward_until_closed(
    listener: TcpListener,
    to: SocketAddr,
    close: Arc<Notify>,
    closed: Arc<Notify>,
) {
    loop {
        let (mut caller, _) = listener.accept().await.unwrap();
        let mut node = TcpStream::connect(to).await.unwrap();
        tokio::select! {
            _ = tokio::io::copy_bidirectional(&mut caller, &mut node) => continue,
            () = close.notified() => {}
        }
        caller.shutdown().await.unwrap();
        let _ = caller.read_to_end(&mut Vec::new()).await;
        closed.notify_one();
    }
}

/// Guards against a request that counts as sent on a connection which the other daemon closed when it
/// stopped, so that it is lost although it was never sent.
#[tokio::test]
async fn a_request_is_lost_on_a_link_that_its_peer_closed() {
    let node = start_sized_answer_node().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = listener.local_addr().unwrap();
    let (close, closed) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let forwarding = forward_until_closed(listener, node, Arc::clone(&close), Arc::clone(&closed));
    tokio::spawn(forwarding);
    let links = peer_links();
    for _ in 0..5 {
        let request = links.request(relay, sized_request(10), REQUEST_TIMEOUT);
        assert_eq!(body_bytes(request.await), 10);
        close.notify_one();
        closed.notified().await;
    }
}

#[test]
fn an_altered_answer_is_never_returned_to_a_caller() {
    let config = TargetConfig {
        service: "lookups".to_string(),
        ..TargetConfig::default()
    };
    let (cluster, relay) = start_behind_relay(config);
    let headers = [
        ("x-standin-answer-bytes", "100000"),
        ("x-dragonflylug-deadline-ms", "5000"),
    ];
    let lookup = Call {
        method: "GET",
        path: "/lookups/free",
        headers: &headers,
        body: b"",
    };
    let whole = cluster.call(0, &lookup).body;
    assert_eq!(whole.len(), 100_000);
    for offset in [50_000, 99_000, 20, 150_000, 75_000, 3] {
        relay.corrupt_byte_after(offset);
        for _ in 0..3 {
            let reply = cluster.call(0, &lookup);
            let has_answer = reply.verdict == "ran";
            assert!(!has_answer || reply.body == whole, "after {offset} bytes");
        }
    }
    assert!(
        relay.corrupted_bytes() >= 5,
        "{} bytes altered",
        relay.corrupted_bytes()
    );
    assert_eq!(cluster.call(0, &lookup).body, whole);
}
