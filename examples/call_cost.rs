//! Measures the work that the daemons add to a call, without the wake-ups between processes.
//!
//! Platform apart, all parts run on one thread of this process: a target, the daemon beside it, a
//! second daemon, and a caller with one call at a time that takes the three paths in turn.
//!
//! Example: `cargo run --release --example call_cost`

use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dragonflylug::host::daemon::Daemon;
use dragonflylug::settings::Settings;
use dragonflylug_standins::platform::Platform;
use dragonflylug_standins::target::{Target, TargetConfig};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// The calls on each path that are not counted.
const WARM_UP_CALLS: usize = 500;

/// The calls on each path that are counted.
const CALLS: usize = 5_000;

/// The greatest time that is told apart.
const TIME_MAX_NS: u64 = 10_000_000_000;

/// The time between two looks whether a daemon knows the target.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

const BODY: &[u8] = b"a small body of an ordinary lookup call";

/// A way to the target with its connection.
struct Way {
    name: &'static str,
    path: &'static str,
    sender: SendRequest<Full<Bytes>>,
    times_ns: Histogram<u64>,
}

impl Way {
    async fn open(name: &'static str, to: SocketAddr, path: &'static str) -> Outcome<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self {
            name,
            path,
            sender,
            times_ns: Histogram::new_with_max(TIME_MAX_NS, 3)?,
        })
    }

    /// Calls once and returns whether the answer is that of the target.
    async fn call(&mut self) -> Outcome<bool> {
        self.sender.ready().await?;
        let request = Request::put(self.path)
            .header("host", "loopback")
            .body(Full::new(Bytes::from_static(BODY)))?;
        let response = self.sender.send_request(request).await?;
        let is_ok = response.status().is_success();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(is_ok && body == BODY)
    }

    async fn wait_until_known(&mut self) -> Outcome<()> {
        while !self.call().await? {
            tokio::time::sleep(LOOK_PERIOD).await;
        }
        Ok(())
    }

    async fn measure(&mut self, is_counted: bool) -> Outcome<()> {
        let start = Instant::now();
        if !self.call().await? {
            return Err(format!("{}: not the answer of the target", self.name).into());
        }
        let time_ns = u64::try_from(start.elapsed().as_nanos())?;
        if is_counted {
            self.times_ns.saturating_record(time_ns);
        }
        Ok(())
    }

    fn print(&self) {
        let at = |quantile| self.times_ns.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "{:<14}{:>10.1}{:>10.1}{:>10.1}",
            self.name,
            at(0.5),
            at(0.9),
            at(0.99)
        );
    }
}

async fn run() -> Outcome<()> {
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    let platform = Platform::start(any)?;
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
    let target = Target::start(config).await?;
    let mut ways = [
        Way::open("direct", target.address(), "/call").await?,
        Way::open("one daemon", guard.addresses().caller, "/echo/call").await?,
        Way::open("two daemons", entry.addresses().caller, "/echo/call").await?,
    ];
    for way in &mut ways {
        way.wait_until_known().await?;
    }
    for at in 0..WARM_UP_CALLS + CALLS {
        for way in &mut ways {
            way.measure(at >= WARM_UP_CALLS).await?;
        }
    }
    println!("{:<14}{:>10}{:>10}{:>10}", "us", "p50", "p90", "p99");
    for way in &ways {
        way.print();
    }
    Ok(())
}

fn main() -> Outcome<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run())
}
