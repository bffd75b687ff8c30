//! The load tool: an open-loop load by a scenario, and a report on what came of it.
//!
//! Requests start at times that do not depend on the answers, and each latency counts from the
//! time at which its request was due, so that a stall is not hidden.

mod generator;
mod pacer;
mod plot;
mod recovery;
mod report;
mod sample;
mod scenario;
mod tally;
mod text;

pub use generator::run;
pub use pacer::Pacer;
pub use recovery::Recovery;
pub use report::{KindReport, PhaseReport, PriorityReport, Report, SecondReport, VerdictCount};
pub use sample::{Sample, SampleOutcome};
pub use scenario::{Arrivals, Phase, RequestKind, RetryPolicy, Scenario};
pub use tally::{Percentiles, Tally};
