//! Overload control for service call graphs.
//!
//! All decisions are made by state machines that have no clock, thread, socket or lock: see
//! [`kernel`]. The daemon hosts these state machines; another program can host them too.

mod backoff;
mod derives;

pub mod admission;
pub mod calls;
pub mod cli;
pub mod client;
pub mod command;
pub mod config;
pub mod decision;
pub mod demo;
pub mod fairness;
pub mod fields;
pub mod headers;
pub mod host;
pub mod ids;
pub mod json_file;
pub mod kernel;
pub mod load;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod organisations;
pub mod peer;
pub mod pressure;
pub mod quarantine;
pub mod quota;
pub mod request;
pub mod retry;
pub mod routes;
pub mod routing;
pub mod run_once;
pub mod settings;
pub mod sorted;
pub mod table;
pub mod target;
pub mod verdict;
