//! The links between daemons on real sockets: bodies in chunks and altered bytes.

#[path = "support/loopback.rs"]
mod loopback;
#[path = "support/processes.rs"]
mod processes;
#[path = "support/sized_answers.rs"]
mod sized_answers;

use dragonflylug::host::PeerTransport;
use dragonflylug::kernel::LinkError;
use dragonflylug::peer::PeerResponse;
use dragonflylug::verdict::Verdict;
use dragonflylug_standins::target::TargetConfig;
use processes::{Call, start_behind_relay};
use sized_answers::{REQUEST_TIMEOUT, peer_links, sized_request, start_sized_answer_node};
use tokio::net::TcpListener;

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
