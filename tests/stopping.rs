//! A stopping daemon must still answer on new connections, because the child calls of the requests
//! that it runs arrive on them. The test sends an ordinary call and accepts any status.

use std::net::SocketAddr;

use dragonflylug::host::daemon::Daemon;
use dragonflylug::settings::Settings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn settings() -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        caller_address: any,
        operator_address: any,
        peer_address: any,
        announce_address: any,
        operator_token: "0123456789abcdef".into(),
        platform_url: "http://127.0.0.1:1".into(),
        ..Settings::default()
    }
}

/// Makes one call on a new connection and returns the whole response.
async fn call(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /bookings/today HTTP/1.1\r\nhost: bookings\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[tokio::test]
async fn a_new_connection_is_answered_after_the_stop_began() {
    let daemon = Daemon::start(&settings()).await.unwrap();
    daemon.request_stop();
    let answer = call(daemon.addresses().caller).await;
    assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}");
    assert!(answer.contains("connection: close"), "{answer:?}");
}
