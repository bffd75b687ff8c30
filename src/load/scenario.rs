//! Scenarios of the load generator: kinds of request, caller behaviour and phases, read from JSON.

use std::path::Path;

use macro_rules_attribute::apply;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::derives::{settings, value};
use crate::fields::FieldError;
use crate::ids::{Caller, Priority, ServiceName};
use crate::json_file::{self, JsonFileError};
use crate::request::Header;

/// The maximum rate of a phase.
const RATE_PER_S_MAX: f64 = 100_000.0;

/// A load: a weighted mix of kinds of request, sent in successive phases.
#[apply(settings!)]
pub struct Scenario {
    /// The name in the report.
    pub name: String,
    /// The seed of the arrival times, the mix of kinds and the request identifiers.
    pub seed: u64,
    /// The caller name by which the daemons account for retries.
    pub caller: Caller,
    /// The maximum number of simultaneous connections, over all daemons.
    pub connections_max: usize,
    /// The distribution of the times between requests.
    pub arrivals: GapDistribution,
    /// The kinds of request.
    pub kinds: Vec<RequestKind>,
    /// The phases in order; the first is the baseline of the recovery measurement.
    pub phases: Vec<Phase>,
}

/// The distribution of the times between requests.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
pub enum GapDistribution {
    /// Exponentially distributed gaps: arrivals are random and independent.
    Poisson,
    /// Equal gaps.
    Uniform,
}

/// A kind of request and the behaviour of its callers.
#[apply(settings!)]
pub struct RequestKind {
    /// The name in the report.
    pub name: String,
    /// The service that is called.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: String,
    /// The path below the service, starting with `/`.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<Header>,
    /// The size of the body; a body of at least 64 bytes contains a value that is unique in
    /// the load.
    pub body_bytes: usize,
    /// The priority under which the report counts it. The daemons use the one in their records.
    pub priority: Priority,
    /// The relative frequency in the mix.
    pub weight: f64,
    /// Whether it may run more than once; otherwise a caller with [`RetryPolicy::WithinAllowance`]
    /// uses tickets. With the other policies the caller sends no ticket, whatever this says.
    pub is_idempotent: bool,
    /// Whether the answer must equal the body that was sent.
    pub is_echo: bool,
    /// How long the caller waits, including retries. With [`RetryPolicy::Immediate`] it is the
    /// limit of each attempt, so that the caller may wait `1 + immediate_retries_max` times as
    /// long.
    pub deadline_ms: u32,
    /// How the caller retries.
    #[serde(rename = "repeats")]
    pub retry_policy: RetryPolicy,
    /// The maximum number of retries of a request with [`RetryPolicy::Immediate`].
    #[serde(rename = "hard_repeats_max")]
    pub immediate_retries_max: u32,
}

/// How a caller retries its requests.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// It never retries.
    Never,
    /// It retries within the allowance that the daemons report, not before the retry-after time.
    #[serde(rename = "as_told")]
    WithinAllowance,
    /// It retries immediately, without marking the retry, and ignores what the daemons report.
    #[serde(rename = "hard")]
    Immediate,
}

/// A part of a load with a constant rate.
#[apply(settings!)]
pub struct Phase {
    /// The name in the report.
    pub name: String,
    /// The duration.
    pub duration_ms: u64,
    /// The requests per second.
    pub rate_per_s: f64,
    /// Whether the scenario marks this phase as pressure. It does not change the load: recovery is
    /// measured from the end of the last such phase, the plot shades it, and the demo slows a
    /// target down in it.
    pub is_pressure: bool,
}

/// A scheduled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ScheduledRequest {
    /// The due time, relative to the start of the load.
    pub(super) due_us: u64,
    /// The index of the kind in the scenario.
    pub(super) kind_index: usize,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "load".into(),
            seed: 1,
            caller: Caller::from("load"),
            connections_max: 512,
            arrivals: GapDistribution::Poisson,
            kinds: Vec::new(),
            phases: Vec::new(),
        }
    }
}

impl Default for RequestKind {
    fn default() -> Self {
        Self {
            name: "request".into(),
            service: ServiceName::from("echo"),
            method: "GET".into(),
            path: "/".into(),
            headers: Vec::new(),
            body_bytes: 0,
            priority: Priority::Normal,
            weight: 1.0,
            is_idempotent: true,
            is_echo: false,
            deadline_ms: 1_000,
            retry_policy: RetryPolicy::WithinAllowance,
            immediate_retries_max: 3,
        }
    }
}

impl Default for Phase {
    fn default() -> Self {
        Self {
            name: "phase".into(),
            duration_ms: 1_000,
            rate_per_s: 100.0,
            is_pressure: false,
        }
    }
}

impl Scenario {
    /// Reads and checks the scenario in a JSON file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not JSON or has an invalid field. The error names the
    /// file and the field.
    pub fn read(path: &Path) -> Result<Self, JsonFileError> {
        json_file::read(path, Self::from_value)
    }

    /// Returns the total duration of all phases.
    pub fn duration_ms(&self) -> u64 {
        let mut sum_ms = 0;
        for phase in &self.phases {
            sum_ms += phase.duration_ms;
        }
        sum_ms
    }

    fn from_value(value: Value) -> Result<Self, FieldError> {
        check_elements::<RequestKind>(&value, "kinds")?;
        check_elements::<Phase>(&value, "phases")?;
        let scenario: Self = read_object("", value)?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), FieldError> {
        ensure(
            !self.kinds.is_empty(),
            "kinds",
            "must contain at least one kind",
        )?;
        ensure(
            !self.phases.is_empty(),
            "phases",
            "must contain at least one phase",
        )?;
        let is_allowed = (1..=10_000).contains(&self.connections_max);
        ensure(is_allowed, "connections_max", "must be between 1 and 10000")?;
        for (index, kind) in self.kinds.iter().enumerate() {
            let field = |name: &str| format!("kinds[{index}].{name}");
            ensure(
                kind.path.starts_with('/'),
                field("path"),
                "must start with '/'",
            )?;
            ensure(
                kind.deadline_ms > 0,
                field("deadline_ms"),
                "must be at least 1",
            )?;
            let is_allowed = kind.weight.is_finite() && kind.weight > 0.0;
            ensure(is_allowed, field("weight"), "must be greater than 0")?;
        }
        for (index, phase) in self.phases.iter().enumerate() {
            let field = |name: &str| format!("phases[{index}].{name}");
            ensure(
                phase.duration_ms > 0,
                field("duration_ms"),
                "must be at least 1",
            )?;
            let is_allowed = (0.0..=RATE_PER_S_MAX).contains(&phase.rate_per_s);
            ensure(
                is_allowed,
                field("rate_per_s"),
                "must be between 0 and 100000",
            )?;
        }
        Ok(())
    }

    /// Draws the requests of all phases in the order of their due times.
    pub(super) fn draw_schedule(&self) -> Vec<ScheduledRequest> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut schedule = Vec::new();
        let mut start_us = 0;
        for phase in &self.phases {
            let end_us = start_us + phase.duration_ms * 1_000;
            let mut at_us = start_us as f64;
            if self.arrivals == GapDistribution::Poisson {
                at_us += self.arrivals.draw_gap_us(phase.rate_per_s, &mut rng);
            }
            while phase.rate_per_s > 0.0 && at_us < end_us as f64 {
                schedule.push(ScheduledRequest {
                    due_us: at_us as u64,
                    kind_index: self.draw_kind_index(&mut rng),
                });
                at_us += self.arrivals.draw_gap_us(phase.rate_per_s, &mut rng);
            }
            start_us = end_us;
        }
        schedule
    }

    fn draw_kind_index(&self, rng: &mut ChaCha8Rng) -> usize {
        let mut sum = 0.0;
        for kind in &self.kinds {
            sum += kind.weight;
        }
        let mut drawn = rng.random::<f64>() * sum;
        for (index, kind) in self.kinds.iter().enumerate() {
            drawn -= kind.weight;
            if drawn < 0.0 {
                return index;
            }
        }
        self.kinds.len() - 1
    }
}

impl GapDistribution {
    /// Draws the time to the next request.
    fn draw_gap_us(self, rate_per_s: f64, rng: &mut ChaCha8Rng) -> f64 {
        let mean_us = 1_000_000.0 / rate_per_s;
        match self {
            Self::Uniform => mean_us,
            Self::Poisson => -(1.0 - rng.random::<f64>()).ln() * mean_us,
        }
    }
}

fn ensure(is_allowed: bool, field: impl Into<String>, problem: &str) -> Result<(), FieldError> {
    match is_allowed {
        true => Ok(()),
        false => Err(FieldError::new(field, problem)),
    }
}

/// Parses each element of a list separately so that an error names the element.
fn check_elements<T: DeserializeOwned>(value: &Value, field: &str) -> Result<(), FieldError> {
    let Some(Value::Array(elements)) = value.get(field) else {
        return Ok(());
    };
    for (index, element) in elements.iter().enumerate() {
        read_object::<T>(&format!("{field}[{index}]."), element.clone())?;
    }
    Ok(())
}

/// Parses an object. Each field is first parsed alone so that an error names the invalid field.
fn read_object<T: DeserializeOwned>(prefix: &str, value: Value) -> Result<T, FieldError> {
    let Value::Object(fields) = &value else {
        let field = prefix.trim_end_matches('.').to_string();
        return Err(FieldError::new(field, "must be an object"));
    };
    for (name, field) in fields {
        let mut single = serde_json::Map::new();
        single.insert(name.clone(), field.clone());
        if let Err(error) = serde_json::from_value::<T>(Value::Object(single)) {
            return Err(FieldError::new(
                format!("{prefix}{name}"),
                error.to_string(),
            ));
        }
    }
    serde_json::from_value(value).map_err(|error| FieldError::new(prefix, error.to_string()))
}
