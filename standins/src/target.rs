//! A stand-in for a target: an HTTP server with slots, service time and a log of what it ran.
//!
//! It answers each request with the request's own body and the work that was done for it, its child
//! calls included. Paths that start with `/_` steer it: `/_log`, `/_faults`, `/_drain`, `/_health`.

mod announce;
mod children;
mod config;
mod http;
mod log;
mod state;
mod work;

pub use config::{Behaviour, ChildCall, Distribution, Health, TargetConfig, TargetMode};
pub use log::{Run, RunLog, RunState};

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use state::State;

/// The request header that sets the service time of one request, in microseconds.
pub const SERVICE_US_HEADER: &str = "x-standin-service-us";

/// The request header that asks for an answer of this many bytes in place of an echo.
pub const ANSWER_BYTES_HEADER: &str = "x-standin-answer-bytes";

/// The answer header that gives the work done for a request and its child calls, in microseconds.
pub const WORK_US_HEADER: &str = "x-standin-work-us";

/// A running target; it stops when dropped.
pub struct Target {
    address: SocketAddr,
    state: Arc<State>,
    tasks: Vec<AbortHandle>,
}

impl Target {
    /// Starts a target on the present tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn start(config: TargetConfig) -> std::io::Result<Self> {
        let listener = TcpListener::bind(config.bind).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::new(config));
        let mut tasks = vec![tokio::spawn(http::serve(listener, state.clone())).abort_handle()];
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

    /// Returns how it behaves now.
    pub fn behaviour(&self) -> Behaviour {
        self.state.behaviour()
    }

    /// Sets how it behaves from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.set_behaviour(behaviour);
    }

    /// Announces that it takes no new work.
    pub fn drain(&self) {
        self.state.drain();
    }

    /// Returns what it ran so far.
    pub fn log(&self) -> RunLog {
        self.state.log()
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
