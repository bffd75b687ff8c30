//! A stand-in for a target: an HTTP server with slots, service times and a log of what it ran.
//!
//! It answers each request with the request's body and, in the header [`WORK_US_HEADER`], the work
//! done for it: its own service time and the work of its child calls, without the time in queues.
//! Paths that start with `/_` control it: `/_log`, `/_faults`, `/_drain`, `/_health`.

mod announce;
mod children;
mod config;
mod execution;
mod http;
mod log;
mod state;

pub use config::{Behaviour, ChildCall, Distribution, Health, TargetConfig, TargetMode};
pub use log::{Run, RunLog, RunState};

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use state::State;

/// The request header that sets the mean service time of one request, in microseconds; the
/// distribution and the factor of a cold target still apply.
pub const SERVICE_US_HEADER: &str = "x-standin-service-us";

/// The request header that asks for an answer of this many bytes instead of an echo.
pub const ANSWER_BYTES_HEADER: &str = "x-standin-answer-bytes";

/// The request header that ends the process of the target while it runs the request, after this many
/// microseconds. It starts again after a while.
pub const CRASH_AFTER_US_HEADER: &str = "x-standin-crash-after-us";

/// The answer header that names the rate that the target accepts, in requests per second.
const RATE_LIMIT_HEADER: &str = "x-dragonflylug-rate-limit";

/// The answer header with which the target says that it drains.
const LEAVING_HEADER: &str = "x-dragonflylug-leaving";

/// The answer header that gives the work done for a request and its child calls, in microseconds.
pub const WORK_US_HEADER: &str = "x-standin-work-us";

/// A running stand-in; it stops when dropped.
pub struct TargetStandin {
    address: SocketAddr,
    state: Arc<State>,
    tasks: Vec<AbortHandle>,
}

impl TargetStandin {
    /// Starts a stand-in on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(config: TargetConfig) -> std::io::Result<Self> {
        let listener = TcpListener::bind(config.bind).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::new(config));
        let mut tasks =
            vec![tokio::spawn(http::serve(listener, address, state.clone())).abort_handle()];
        if let Some(daemon) = state.config.announce_address {
            let announcing = announce::run(daemon, address, state.clone());
            tasks.push(tokio::spawn(announcing).abort_handle());
        }
        Ok(Self {
            address,
            state,
            tasks,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its current behaviour.
    pub fn behaviour(&self) -> Behaviour {
        self.state.behaviour()
    }

    /// Replaces its behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.set_behaviour(behaviour);
    }

    /// Starts a drain: it announces that it accepts no new work, but still runs what it receives.
    pub fn drain(&self) {
        self.state.drain();
    }

    /// Returns the times at which its runs started, with their paths.
    pub fn run_starts(&self) -> Vec<(std::time::Instant, String)> {
        self.state.run_starts()
    }

    /// Returns the times at which its runs started whose body has `key` as the value of its field
    /// `key`.
    pub fn run_starts_with_key(&self, key: &str) -> Vec<std::time::Instant> {
        self.state.run_starts_with_key(key)
    }

    /// Returns the times at which its process ended.
    pub fn ends(&self) -> Vec<std::time::Instant> {
        self.state.ends()
    }

    /// Returns a copy of the log of what it ran so far.
    pub fn log(&self) -> RunLog {
        self.state.log()
    }
}

impl Drop for TargetStandin {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
