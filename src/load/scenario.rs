//! Scenarios: the kinds of request, how callers behave, and the phases of a load.

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

/// The greatest rate of a phase.
const RATE_PER_S_MAX: f64 = 100_000.0;

/// A load: kinds of request in a mix, and phases one after the other.
#[apply(settings!)]
pub struct Scenario {
    /// The name, for the report.
    pub name: String,
    /// Feeds the arrivals, the mix and the identifiers.
    pub seed: u64,
    /// The name under which daemons count the callers' retries.
    pub caller: Caller,
    /// The connections open at once, over all daemons.
    pub connections_max: usize,
    /// How requests follow each other.
    pub arrivals: Arrivals,
    /// The kinds of request.
    pub kinds: Vec<RequestKind>,
    /// The phases; the first is the baseline for the recovery time.
    pub phases: Vec<Phase>,
}

/// How requests follow each other.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
pub enum Arrivals {
    /// At random, independent of each other.
    Poisson,
    /// At equal distances.
    Uniform,
}

/// A kind of request and its callers.
#[apply(settings!)]
pub struct RequestKind {
    /// The name, for the report.
    pub name: String,
    /// The service.
    pub service: ServiceName,
    /// The method.
    pub method: String,
    /// The path below the service.
    pub path: String,
    /// Further headers.
    pub headers: Vec<Header>,
    /// The size of the body; from 64 bytes on it carries a key of its own.
    pub body_bytes: usize,
    /// The priority under which the report counts it; the daemons go by their records.
    pub priority: Priority,
    /// The share in the mix.
    pub weight: f64,
    /// Whether it may run more than once; else the caller takes tickets.
    pub is_idempotent: bool,
    /// Whether the answer must be equal to the body.
    pub is_echo: bool,
    /// The time that the caller waits, repeats included.
    pub deadline_ms: u32,
    /// Whether the caller repeats its requests.
    #[serde(rename = "repeats")]
    pub retry_policy: RetryPolicy,
    /// The repeats of one request where the caller repeats hard.
    #[serde(rename = "hard_repeats_max")]
    pub immediate_retries_max: u32,
}

/// Whether a caller repeats its requests.
#[apply(value!)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// It does not.
    Never,
    /// As far as the daemons allow, and not before the time that they name.
    #[serde(rename = "as_told")]
    WithinAllowance,
    /// At once, without a mark, and without heed to what the daemons say.
    #[serde(rename = "hard")]
    Immediate,
}

/// A part of a load.
#[apply(settings!)]
pub struct Phase {
    /// The name, for the report.
    pub name: String,
    /// The length.
    pub duration_ms: u64,
    /// The requests a second.
    pub rate_per_s: f64,
    /// Whether the system is under pressure; recovery counts from the end of the last such phase.
    pub is_pressure: bool,
}

/// A request that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Arrival {
    pub(super) due_us: u64,
    pub(super) kind: usize,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "load".into(),
            seed: 1,
            caller: Caller::from("load"),
            connections_max: 512,
            arrivals: Arrivals::Poisson,
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
    /// Fails with the file and the field that is not allowed.
    pub fn read(path: &Path) -> Result<Self, JsonFileError> {
        json_file::read(path, Self::from_value)
    }

    /// Returns the length of all phases.
    pub fn duration_ms(&self) -> u64 {
        let mut sum_ms = 0;
        for phase in &self.phases {
            sum_ms += phase.duration_ms;
        }
        sum_ms
    }

    fn from_value(given: Value) -> Result<Self, FieldError> {
        read_elements::<RequestKind>(&given, "kinds")?;
        read_elements::<Phase>(&given, "phases")?;
        let scenario: Self = read_object("", given)?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), FieldError> {
        ensure(
            !self.kinds.is_empty(),
            "kinds",
            "must name one kind or more",
        )?;
        ensure(
            !self.phases.is_empty(),
            "phases",
            "must name one phase or more",
        )?;
        let is_allowed = (1..=10_000).contains(&self.connections_max);
        ensure(is_allowed, "connections_max", "must be 1 to 10000")?;
        for (at, kind) in self.kinds.iter().enumerate() {
            let field = |name: &str| format!("kinds[{at}].{name}");
            ensure(
                kind.path.starts_with('/'),
                field("path"),
                "must start with /",
            )?;
            ensure(
                kind.deadline_ms > 0,
                field("deadline_ms"),
                "must be 1 or more",
            )?;
            let is_allowed = kind.weight.is_finite() && kind.weight > 0.0;
            ensure(is_allowed, field("weight"), "must be more than 0")?;
        }
        for (at, phase) in self.phases.iter().enumerate() {
            let field = |name: &str| format!("phases[{at}].{name}");
            ensure(
                phase.duration_ms > 0,
                field("duration_ms"),
                "must be 1 or more",
            )?;
            let is_allowed = (0.0..=RATE_PER_S_MAX).contains(&phase.rate_per_s);
            ensure(is_allowed, field("rate_per_s"), "must be 0 to 100000")?;
        }
        Ok(())
    }

    /// Draws the requests of all phases in the order of their time.
    pub(super) fn draw_arrivals(&self) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        let mut start_us = 0;
        for phase in &self.phases {
            let end_us = start_us + phase.duration_ms * 1_000;
            let mut at_us = start_us as f64;
            if self.arrivals == Arrivals::Poisson {
                at_us += self.arrivals.draw_gap_us(phase.rate_per_s, &mut rng);
            }
            while phase.rate_per_s > 0.0 && at_us < end_us as f64 {
                arrivals.push(Arrival {
                    due_us: at_us as u64,
                    kind: self.draw_kind(&mut rng),
                });
                at_us += self.arrivals.draw_gap_us(phase.rate_per_s, &mut rng);
            }
            start_us = end_us;
        }
        arrivals
    }

    fn draw_kind(&self, rng: &mut ChaCha8Rng) -> usize {
        let mut sum = 0.0;
        for kind in &self.kinds {
            sum += kind.weight;
        }
        let mut drawn = rng.random::<f64>() * sum;
        for (at, kind) in self.kinds.iter().enumerate() {
            drawn -= kind.weight;
            if drawn < 0.0 {
                return at;
            }
        }
        self.kinds.len() - 1
    }
}

impl Arrivals {
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

/// Checks each element of a list, so that an error can name it.
fn read_elements<T: DeserializeOwned>(given: &Value, field: &str) -> Result<(), FieldError> {
    let Some(Value::Array(elements)) = given.get(field) else {
        return Ok(());
    };
    for (at, element) in elements.iter().enumerate() {
        read_object::<T>(&format!("{field}[{at}]."), element.clone())?;
    }
    Ok(())
}

/// Reads an object; on an error each field is read by itself to find the one that fails.
fn read_object<T: DeserializeOwned>(prefix: &str, given: Value) -> Result<T, FieldError> {
    let Value::Object(fields) = &given else {
        let field = prefix.trim_end_matches('.').to_string();
        return Err(FieldError::new(field, "must be an object"));
    };
    for (name, value) in fields {
        let mut alone = serde_json::Map::new();
        alone.insert(name.clone(), value.clone());
        if let Err(error) = serde_json::from_value::<T>(Value::Object(alone)) {
            return Err(FieldError::new(
                format!("{prefix}{name}"),
                error.to_string(),
            ));
        }
    }
    serde_json::from_value(given).map_err(|error| FieldError::new(prefix, error.to_string()))
}
