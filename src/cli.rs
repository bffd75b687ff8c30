//! The arguments of the two programs.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Runs the daemon beside one target.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer("Example: dragonflylugd --settings daemon.json")
)]
pub struct DaemonArguments {
    /// The settings, a JSON file
    #[bpaf(long, short, argument("FILE"))]
    pub settings: PathBuf,
    /// Only check the settings
    #[bpaf(long)]
    pub check: bool,
    /// Listen for callers here instead of at the address in the settings
    #[bpaf(long, argument("ADDRESS"))]
    pub caller_address: Option<SocketAddr>,
}

/// The operators' command of dragonflylug, with its load tool.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer("Example: dragonflylug status --operator 127.0.0.1:8081 --token secret")
)]
pub enum Command {
    /// Check settings and records without a daemon
    #[bpaf(
        command,
        footer("Example: dragonflylug check --settings daemon.json --records records.json")
    )]
    Check {
        /// The settings of a daemon, a JSON file
        #[bpaf(long, argument("FILE"))]
        settings: Option<PathBuf>,
        /// A submission of records, a JSON file
        #[bpaf(long, argument("FILE"))]
        records: Option<PathBuf>,
    },
    /// Submit records; the same change submitted again is accepted once
    #[bpaf(
        command,
        footer(
            "Example: dragonflylug submit --operator 127.0.0.1:8081 --token secret records.json"
        )
    )]
    Submit {
        /// Where the daemon listens for operators
        #[bpaf(external(operator))]
        operator: Operator,
        /// The submission: change_id, expected_version, records, removed
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Announce a planned stop of a daemon
    #[bpaf(
        command,
        footer("Example: dragonflylug stop --operator 127.0.0.1:8081 --token secret")
    )]
    Stop {
        /// Where the daemon listens for operators
        #[bpaf(external(operator))]
        operator: Operator,
    },
    /// Show the status of a daemon
    #[bpaf(
        command,
        footer("Example: dragonflylug status --operator 127.0.0.1:8081 --token secret")
    )]
    Status {
        /// Where the daemon listens for operators
        #[bpaf(external(operator))]
        operator: Operator,
        /// Show the counters instead
        #[bpaf(long)]
        metrics: bool,
    },
    /// Send an open-loop load and report on it
    #[bpaf(
        command,
        footer("Example: dragonflylug load --to 127.0.0.1:8080 --svg load.svg scenario.json")
    )]
    Load {
        /// The caller address of a daemon; may be given several times
        #[bpaf(long, argument("ADDRESS"), some("at least one --to ADDRESS is needed"))]
        to: Vec<SocketAddr>,
        /// Write the report as JSON to a file
        #[bpaf(long, argument("FILE"))]
        json: Option<PathBuf>,
        /// Write a plot as SVG to a file
        #[bpaf(long, argument("FILE"))]
        svg: Option<PathBuf>,
        /// The scenario, a JSON file
        #[bpaf(positional("FILE"))]
        scenario: PathBuf,
    },
    /// Run the whole path in one process on loopback, with stand-ins, and report on it
    #[bpaf(command, footer("Example: dragonflylug demo --seconds 5"))]
    Demo {
        /// The length of each phase
        #[bpaf(long, argument("SECONDS"), fallback(4))]
        seconds: u32,
    },
}

/// Where a daemon listens for operators.
#[derive(Clone, Debug, Bpaf)]
pub struct Operator {
    /// The operator address of the daemon
    #[bpaf(long("operator"), argument("ADDRESS"))]
    pub address: SocketAddr,
    /// The operator token of the daemon
    #[bpaf(long, argument("TOKEN"), env("DRAGONFLYLUG_TOKEN"))]
    pub token: String,
}
