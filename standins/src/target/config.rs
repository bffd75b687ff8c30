//! The configuration of a target stand-in and its behaviour.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// The configuration of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetConfig {
    /// The address to listen on; port 0 for any port.
    pub bind: SocketAddr,
    /// The address of the daemon beside it, for announcements and child calls; without one it makes
    /// neither.
    pub announce_address: Option<SocketAddr>,
    /// The service that it serves.
    pub service: String,
    /// The maximum number of requests that it runs at once.
    pub slots: u32,
    /// The maximum number of requests that wait for a slot; further ones get a 503.
    pub backlog: u32,
    /// The maximum number of open connections; further ones are closed.
    pub connections: u32,
    /// How long it is cold after its start.
    pub cold_start_ms: u64,
    /// The factor on the service time while it is cold.
    pub cold_factor: f64,
    /// The time between two announcements.
    pub announce_period_ms: u64,
    /// The seed of its random number generator.
    pub seed: u64,
    /// Its initial behaviour.
    pub behaviour: Behaviour,
}

impl Default for TargetConfig {
    fn default() -> Self {
        Self {
            bind: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
            announce_address: None,
            service: "echo".into(),
            slots: 16,
            backlog: 16,
            connections: 300,
            cold_start_ms: 0,
            cold_factor: 4.0,
            announce_period_ms: 1_000,
            seed: 1,
            behaviour: Behaviour::default(),
        }
    }
}

/// How a target behaves; it may change while it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// The mean service time of a request while the target is not cold.
    pub service_ms: f64,
    /// The distribution of the service time.
    pub distribution: Distribution,
    /// How it handles requests.
    pub mode: TargetMode,
    /// How its health endpoint responds.
    pub health: Health,
    /// The calls that each request makes through the daemon beside it.
    pub children: Vec<ChildCall>,
    /// Whether these calls are made in parallel rather than in sequence.
    pub are_children_parallel: bool,
    /// The rate limit that its answers name, in requests per second, if they name one.
    pub rate_limit_per_s: Option<f64>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_ms: 0.0,
            distribution: Distribution::Fixed,
            mode: TargetMode::Normal,
            health: Health::Honest,
            children: Vec::new(),
            are_children_parallel: false,
            rate_limit_per_s: None,
        }
    }
}

/// The distribution of the service time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// Always the mean.
    Fixed,
    /// Exponential with the given mean.
    Exponential,
}

/// How a target handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetMode {
    /// It runs them and answers.
    Normal,
    /// It accepts them as far as slots and backlog allow, and never answers.
    Hang,
    /// It answers 500 without work as soon as the request has a slot.
    Error,
    /// It runs them and closes the connection in the middle of the answer.
    CutAnswer,
}

/// How a health endpoint responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It reports success only while the target handles requests normally.
    Honest,
    /// It always reports success.
    AlwaysOk,
    /// It always reports a failure.
    AlwaysFailing,
}

/// A call that a request makes through the daemon beside the target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChildCall {
    /// The service that is called.
    pub service: String,
    /// The method.
    pub method: String,
    /// The path below the service, starting with `/`.
    pub path: String,
}
