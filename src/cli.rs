//! The command line arguments of the daemon and of the operator command.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// The daemon beside one target: overload control for service call graphs.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer("Example: dragonflylugd --settings daemon.json")
)]
pub struct DaemonArguments {
    /// The settings file, in JSON
    #[bpaf(long, short, argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings and exit
    #[bpaf(long)]
    pub check: bool,
    /// The address to listen on for callers, instead of the one in the settings
    #[bpaf(long, argument("ADDRESS"))]
    pub caller_address: Option<SocketAddr>,
}

/// The operator command of dragonflylug, with a load generator.
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
        /// The settings file of a daemon, in JSON
        #[bpaf(long, argument("FILE"))]
        settings: Option<PathBuf>,
        /// A submission of records, a JSON file
        #[bpaf(long, argument("FILE"))]
        records: Option<PathBuf>,
    },
    /// Submit configuration records; a change that is submitted again is applied only once
    #[bpaf(
        command,
        footer(
            "Example: dragonflylug submit --operator 127.0.0.1:8081 --token secret records.json"
        )
    )]
    Submit {
        /// How to reach the operator interface of the daemon
        #[bpaf(external(operator_endpoint))]
        operator: OperatorEndpoint,
        /// The submission: change_id, expected_version, records, removed
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shut a daemon down gracefully
    #[bpaf(
        command,
        footer("Example: dragonflylug stop --operator 127.0.0.1:8081 --token secret")
    )]
    Stop {
        /// How to reach the operator interface of the daemon
        #[bpaf(external(operator_endpoint))]
        operator: OperatorEndpoint,
    },
    /// Print the status of a daemon
    #[bpaf(
        command,
        footer("Example: dragonflylug status --operator 127.0.0.1:8081 --token secret")
    )]
    Status {
        /// How to reach the operator interface of the daemon
        #[bpaf(external(operator_endpoint))]
        operator: OperatorEndpoint,
        /// Print the metrics instead
        #[bpaf(long)]
        metrics: bool,
    },
    /// Send an open-loop load and print a report
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
        /// Write a plot of the report as SVG to a file
        #[bpaf(long, argument("FILE"))]
        svg: Option<PathBuf>,
        /// The scenario, a JSON file
        #[bpaf(positional("FILE"))]
        scenario: PathBuf,
    },
    /// Compare a load with and without daemons, in one process on loopback
    /// (the platform and the targets are stand-ins)
    #[bpaf(command, footer("Example: dragonflylug demo --seconds 5"))]
    Demo {
        /// The duration of each phase in seconds
        #[bpaf(long, argument("SECONDS"), fallback(4))]
        seconds: u32,
    },
}

/// How to reach the operator interface of a daemon.
#[derive(Clone, Debug, Bpaf)]
pub struct OperatorEndpoint {
    /// The operator address of the daemon
    #[bpaf(long("operator"), argument("ADDRESS"))]
    pub address: SocketAddr,
    /// The operator token of the daemon
    #[bpaf(long, argument("TOKEN"), env("DRAGONFLYLUG_TOKEN"))]
    pub token: String,
}
