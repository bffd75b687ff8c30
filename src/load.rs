//! An open-loop load generator: sends the requests of a scenario and reports their outcomes.
//!
//! Requests start at times that do not depend on the answers, and each latency is measured from the
//! time at which the request was due. A stall therefore shows in the latencies instead of being
//! hidden by requests that are sent later (coordinated omission).

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
pub use scenario::{GapDistribution, Phase, RequestKind, RetryPolicy, Scenario};
pub use tally::{Percentiles, Tally};
