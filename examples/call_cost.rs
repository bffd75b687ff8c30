//! Measures the work that the daemons add to a call, without the context switches between
//! processes.
//!
//! Except for the platform, everything runs on one thread of this process: a target, the daemon
//! beside it, a second daemon, and a caller that makes one call at a time, on three paths in turn.
//!
//! Example: `cargo run --release --example call_cost`

use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dragonflylug::host::daemon::Daemon;
use dragonflylug::settings::Settings;
use dragonflylug_standins::platform::PlatformStandin;
use dragonflylug_standins::target::{TargetConfig, TargetStandin};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

type BoxResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// The number of initial calls on each path that are not measured.
const WARM_UP_CALLS: usize = 500;

/// The number of measured calls on each path.
const MEASURED_CALLS: usize = 5_000;

/// The maximum time that the histogram records; longer times count as this value.
const TIME_MAX_NS: u64 = 10_000_000_000;

/// The interval between test calls while waiting for a daemon to discover the target.
const POLL_PERIOD: Duration = Duration::from_millis(50);

const BODY: &[u8] = b"a small body of an ordinary lookup call";

/// A path to the target, with its connection.
struct CallPath {
    name: &'static str,
    url_path: &'static str,
    sender: SendRequest<Full<Bytes>>,
    times_ns: Histogram<u64>,
}

impl CallPath {
    async fn open(name: &'static str, to: SocketAddr, url_path: &'static str) -> BoxResult<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self {
            name,
            url_path,
            sender,
            times_ns: Histogram::new_with_max(TIME_MAX_NS, 3)?,
        })
    }

    /// Calls once and returns whether the answer is the echo of the target.
    async fn call(&mut self) -> BoxResult<bool> {
        self.sender.ready().await?;
        let request = Request::put(self.url_path)
            .header("host", "loopback")
            .body(Full::new(Bytes::from_static(BODY)))?;
        let response = self.sender.send_request(request).await?;
        let is_ok = response.status().is_success();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(is_ok && body == BODY)
    }

    async fn wait_until_target_is_discovered(&mut self) -> BoxResult<()> {
        while !self.call().await? {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        Ok(())
    }

    /// Calls once, checks the answer and records the time if `should_record` is set.
    async fn call_and_check(&mut self, should_record: bool) -> BoxResult<()> {
        let start = Instant::now();
        if !self.call().await? {
            return Err(format!("{}: the answer is not the echo of the target", self.name).into());
        }
        let time_ns = u64::try_from(start.elapsed().as_nanos())?;
        if should_record {
            self.times_ns.saturating_record(time_ns);
        }
        Ok(())
    }

    fn print(&self) {
        let quantile_us = |quantile| self.times_ns.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "{:<14}{:>10.1}{:>10.1}{:>10.1}",
            self.name,
            quantile_us(0.5),
            quantile_us(0.9),
            quantile_us(0.99)
        );
    }
}

async fn run() -> BoxResult<()> {
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    let platform = PlatformStandin::start(any)?;
    let settings = Settings {
        caller_address: any,
        operator_address: any,
        peer_address: any,
        announce_address: any,
        operator_token: "0123456789abcdef".into(),
        platform_url: format!("http://{}", platform.address()),
        ..Settings::default()
    };
    let guard = Daemon::start(&settings).await?;
    let entry = Daemon::start(&settings).await?;
    let config = TargetConfig {
        announce_address: Some(guard.addresses().announce),
        ..TargetConfig::default()
    };
    let target = TargetStandin::start(config).await?;
    let mut call_paths = [
        CallPath::open("direct", target.address(), "/call").await?,
        CallPath::open("one daemon", guard.addresses().caller, "/echo/call").await?,
        CallPath::open("two daemons", entry.addresses().caller, "/echo/call").await?,
    ];
    for call_path in &mut call_paths {
        call_path.wait_until_target_is_discovered().await?;
    }
    for index in 0..WARM_UP_CALLS + MEASURED_CALLS {
        for call_path in &mut call_paths {
            call_path.call_and_check(index >= WARM_UP_CALLS).await?;
        }
    }
    println!("{:<14}{:>10}{:>10}{:>10}", "us", "p50", "p90", "p99");
    for call_path in &call_paths {
        call_path.print();
    }
    Ok(())
}

fn main() -> BoxResult<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run())
}
