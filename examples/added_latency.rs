//! Measures the latency that the daemons add to a call: calls directly to the target and calls
//! through the daemons, in alternating blocks.
//!
//! Usage: `added_latency DIRECT_URL THROUGH_URL BLOCKS RATE [RATE ...]`, where `DIRECT_URL` is the
//! URL of a target that echoes the body of a PUT request, and `THROUGH_URL` that of the same target
//! through a daemon. Example:
//!
//! ```text
//! cargo run --release --example added_latency -- \
//!     http://127.0.0.1:9000/call http://127.0.0.1:8080/echo/call 20 100 1000
//! ```
//!
//! Each block lasts a second; the order is direct, through, through, direct, and so on. The direct
//! blocks are split into two halves; the difference between them is the noise of the machine.

use std::cell::RefCell;
use std::error::Error;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dragonflylug::load::Pacer;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet};

const USAGE: &str = "usage: added_latency DIRECT_URL THROUGH_URL BLOCKS RATE [RATE ...]";

/// The duration of a block.
const BLOCK_US: u64 = 1_000_000;

/// The number of initial calls on each path that are not measured.
const WARM_UP_CALLS: usize = 200;

/// The maximum number of idle connections that are kept.
const IDLE_CONNECTIONS_MAX: usize = 128;

/// The time after which a call counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

const BODY: &[u8] = b"a small body of an ordinary lookup call";

/// A measured path to the target, direct or through the daemons, with its idle connections.
struct CallPath {
    uri: Uri,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
    failed_calls: RefCell<u64>,
}

impl CallPath {
    fn new(url: &str) -> Result<Rc<Self>, Box<dyn Error>> {
        Ok(Rc::new(Self {
            uri: url.parse()?,
            idle: RefCell::default(),
            failed_calls: RefCell::default(),
        }))
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, Box<dyn Error>> {
        let authority = self.uri.authority().ok_or("the URL has no address")?;
        let stream = TcpStream::connect(authority.as_str()).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(connection);
        Ok(sender)
    }

    async fn call(&self) -> Result<(), Box<dyn Error>> {
        let idle = self.idle.borrow_mut().pop();
        let mut sender = match idle {
            Some(sender) if sender.is_ready() => sender,
            _ => self.connect().await?,
        };
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let request = Request::put(path)
            .header("host", "loopback")
            .body(Full::new(Bytes::from_static(BODY)))?;
        let response = sender.send_request(request).await?;
        let is_ok = response.status().is_success();
        let body = response.into_body().collect().await?.to_bytes();
        self.keep_idle(sender);
        match is_ok && body == BODY {
            true => Ok(()),
            false => Err("the answer is an error or differs from the body that was sent".into()),
        }
    }

    /// Keeps an idle connection for later calls, up to [`IDLE_CONNECTIONS_MAX`]. The limit exists
    /// because both paths use connections to the same target, which accepts a limited number.
    fn keep_idle(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(sender);
        }
    }

    async fn call_within_timeout(&self) -> bool {
        matches!(
            tokio::time::timeout(CALL_TIMEOUT, self.call()).await,
            Ok(Ok(()))
        )
    }

    /// Runs one block and records its latencies in a histogram.
    async fn run_block(self: &Rc<Self>, rate_per_s: u64, histogram: &Rc<RefCell<Histogram<u64>>>) {
        let mut due_us = Vec::new();
        for index in 0..rate_per_s {
            due_us.push(index * BLOCK_US / rate_per_s);
        }
        let mut pacer = Pacer::start(due_us.clone());
        let start = pacer.start_time();
        let mut running = JoinSet::new();
        while let Some(index) = pacer.next().await {
            let due = start + Duration::from_micros(due_us[index]);
            let (path, histogram) = (Rc::clone(self), Rc::clone(histogram));
            running.spawn_local(async move { path.measure_call(due, &histogram).await });
        }
        while running.join_next().await.is_some() {}
    }

    async fn measure_call(&self, due: Instant, histogram: &RefCell<Histogram<u64>>) {
        if !self.call_within_timeout().await {
            *self.failed_calls.borrow_mut() += 1;
            return;
        }
        let latency_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        histogram.borrow_mut().saturating_record(latency_us);
    }
}

/// The latencies at one rate; each array holds the blocks of even and of odd index.
struct Latencies {
    direct: [Rc<RefCell<Histogram<u64>>>; 2],
    through: [Rc<RefCell<Histogram<u64>>>; 2],
}

impl Latencies {
    fn new() -> Result<Self, Box<dyn Error>> {
        let new_histogram = || -> Result<_, Box<dyn Error>> {
            let histogram = Histogram::new_with_max(10_000_000, 3)?;
            Ok(Rc::new(RefCell::new(histogram)))
        };
        Ok(Self {
            direct: [new_histogram()?, new_histogram()?],
            through: [new_histogram()?, new_histogram()?],
        })
    }

    fn print(&self, rate_per_s: u64) -> Result<(), Box<dyn Error>> {
        for quantile in [0.5, 0.9, 0.99] {
            let value_us =
                |histogram: &Histogram<u64>| histogram.value_at_quantile(quantile) as i64;
            let direct = value_us(&sum(&self.direct)?);
            let through = value_us(&sum(&self.through)?);
            let noise_us = value_us(&self.direct[1].borrow()) - value_us(&self.direct[0].borrow());
            println!(
                "{rate_per_s:>6} {:>5} {direct:>8} {through:>8} {:>8} {:>8}",
                format!("p{}", quantile * 100.0),
                through - direct,
                noise_us.abs(),
            );
        }
        Ok(())
    }
}

fn sum(halves: &[Rc<RefCell<Histogram<u64>>>; 2]) -> Result<Histogram<u64>, Box<dyn Error>> {
    let mut sum = halves[0].borrow().clone();
    sum.add(&*halves[1].borrow())?;
    Ok(sum)
}

/// Runs the blocks at one rate and prints the results.
async fn measure_and_print_rate(
    direct: &Rc<CallPath>,
    through: &Rc<CallPath>,
    blocks: usize,
    rate_per_s: u64,
) -> Result<(), Box<dyn Error>> {
    let latencies = Latencies::new()?;
    for block in 0..blocks {
        let half = block % 2;
        if half == 0 {
            direct.run_block(rate_per_s, &latencies.direct[half]).await;
            through
                .run_block(rate_per_s, &latencies.through[half])
                .await;
        } else {
            through
                .run_block(rate_per_s, &latencies.through[half])
                .await;
            direct.run_block(rate_per_s, &latencies.direct[half]).await;
        }
    }
    latencies.print(rate_per_s)
}

async fn run(arguments: &[String]) -> Result<(), Box<dyn Error>> {
    let [direct, through, blocks, rates @ ..] = arguments else {
        return Err(USAGE.into());
    };
    let (direct, through) = (CallPath::new(direct)?, CallPath::new(through)?);
    let blocks: usize = blocks.parse()?;
    for path in [&direct, &through] {
        for _ in 0..WARM_UP_CALLS {
            path.call().await?;
        }
    }
    println!("calls/s           direct  through    added    noise");
    println!("                    (us)     (us)     (us)     (us)");
    for rate in rates {
        measure_and_print_rate(&direct, &through, blocks, rate.parse()?).await?;
    }
    let failed_calls = (
        *direct.failed_calls.borrow(),
        *through.failed_calls.borrow(),
    );
    println!(
        "failed calls: direct {}, through {}",
        failed_calls.0, failed_calls.1
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(&arguments))
}
