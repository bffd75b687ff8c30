//! What a target is and how it behaves.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// What a target is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetConfig {
    /// The address to listen on; port 0 for any.
    pub bind: SocketAddr,
    /// The daemon beside it, for announcements and child calls.
    pub announce_address: Option<SocketAddr>,
    /// The service that it serves.
    pub service: String,
    /// The requests that it works on at once.
    pub slots: u32,
    /// The requests that wait for a slot; further ones are answered 503.
    pub backlog: u32,
    /// The connections that it accepts at once; further ones are closed.
    pub connections: u32,
    /// The time from its start during which it is cold.
    pub cold_start_ms: u64,
    /// The factor on the service time while it is cold.
    pub cold_factor: f64,
    /// The time between two announcements.
    pub announce_period_ms: u64,
    /// Feeds its random choices.
    pub seed: u64,
    /// How it behaves at first.
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
    /// The mean time that a request takes.
    pub service_ms: f64,
    /// How the time varies.
    pub distribution: Distribution,
    /// What it does with requests.
    pub mode: TargetMode,
    /// What its health endpoint says.
    pub health: Health,
    /// The calls that each request makes through the daemon beside it.
    pub children: Vec<ChildCall>,
    /// Whether the calls are made all at once rather than one after the other.
    pub are_children_parallel: bool,
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
        }
    }
}

/// How the service time varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// It does not.
    Fixed,
    /// Exponentially around its mean.
    Exponential,
}

/// What a target does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetMode {
    /// It works on them and answers.
    Normal,
    /// It takes them and never answers.
    Hang,
    /// It answers 500 at once, without work.
    Error,
    /// It works on them and closes the connection in the middle of the answer.
    CutAnswer,
}

/// What a health endpoint says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Whether requests are answered.
    Honest,
    /// Always that all is well.
    AlwaysOk,
    /// Always that nothing is well.
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
