//! The implementation of the operator command.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use quick_error::quick_error;

use crate::cli::{Command, OperatorEndpoint};
use crate::config::{SCHEMA_VERSION_MAX, Submission};
use crate::demo;
use crate::load::{self, Report, Scenario};
use crate::settings::Settings;

/// The exit code for an invalid argument or file.
const EXIT_INVALID_INPUT: u8 = 2;

/// The exit code for all other failures.
const EXIT_FAILURE: u8 = 1;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// An argument or file is invalid.
        Input(problem: String) {
            display("{problem}")
        }
        /// The daemon answered with a status of 300 or above.
        ErrorStatus(status: u16, body: String) {
            display("the daemon answered {status}: {body}")
        }
        /// The daemon could not be reached.
        Unreachable(address: SocketAddr, problem: String) {
            display("cannot reach the daemon at {address}: {problem}")
        }
        /// The command failed while it ran.
        Failed(problem: String) {
            display("{problem}")
        }
    }
}

impl CommandError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Input(_) => EXIT_INVALID_INPUT,
            _ => EXIT_FAILURE,
        }
    }
}

/// Runs a command until it completes.
///
/// # Errors
///
/// Fails if a file or argument is invalid, the daemon is unreachable or answers with an error
/// status, or the command fails while it runs.
pub fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Check { settings, records } => check(settings, records),
        Command::Submit { operator, file } => submit(&operator, &file),
        Command::Stop { operator } => {
            print_reply(send_operator_request(&operator, "POST", "/stop", "")?)
        }
        Command::Status { operator, metrics } => {
            let path = if metrics { "/metrics" } else { "/status" };
            print_reply(send_operator_request(&operator, "GET", path, "")?)
        }
        Command::Load {
            to,
            json,
            svg,
            scenario,
        } => run_load(&to, json, svg, &scenario),
        Command::Demo { seconds } => {
            let text = block_on(demo::run(seconds))?.map_err(run_failure)?;
            print!("{text}");
            Ok(())
        }
    }
}

fn run_failure(error: impl std::fmt::Display) -> CommandError {
    CommandError::Failed(error.to_string())
}

fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(run_failure)?;
    Ok(runtime.block_on(future))
}

fn check(settings: Option<PathBuf>, records: Option<PathBuf>) -> Result<(), CommandError> {
    if settings.is_none() && records.is_none() {
        let problem = "give --settings FILE, --records FILE or both".to_string();
        return Err(CommandError::Input(problem));
    }
    if let Some(path) = settings {
        Settings::read(&path).map_err(|error| CommandError::Input(error.to_string()))?;
        println!("{}: ok", path.display());
    }
    if let Some(path) = records {
        read_submission(&path)?;
        println!("{}: ok", path.display());
    }
    Ok(())
}

/// Reads a submission and validates its records with the checks of the daemon.
fn read_submission(path: &Path) -> Result<(String, Submission), CommandError> {
    let invalid = |problem: String| CommandError::Input(format!("{}: {problem}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
    let checked = Submission::read(&text)
        .and_then(|submission| submission.check(SCHEMA_VERSION_MAX).map(|()| submission));
    let submission =
        checked.map_err(|error| invalid(format!("{}: {}", error.field, error.problem)))?;
    Ok((text, submission))
}

fn submit(operator: &OperatorEndpoint, file: &Path) -> Result<(), CommandError> {
    let (text, _) = read_submission(file)?;
    print_reply(send_operator_request(operator, "POST", "/records", &text)?)
}

fn print_reply(body: String) -> Result<(), CommandError> {
    println!("{}", body.trim_end());
    Ok(())
}

/// Sends one request to the operator interface of a daemon and returns the body of the answer.
fn send_operator_request(
    operator: &OperatorEndpoint,
    method: &str,
    path: &str,
    body: &str,
) -> Result<String, CommandError> {
    let address = operator.address;
    let unreachable = |problem: String| CommandError::Unreachable(address, problem);
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {}", operator.token))
        .body(body.to_string())
        .map_err(|error| CommandError::Input(error.to_string()))?;
    let mut response = agent
        .run(request)
        .map_err(|error| unreachable(error.to_string()))?;
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .read_to_string()
        .map_err(|error| unreachable(error.to_string()))?;
    if status >= 300 {
        return Err(CommandError::ErrorStatus(status, body));
    }
    Ok(body)
}

fn run_load(
    to: &[SocketAddr],
    json: Option<PathBuf>,
    svg: Option<PathBuf>,
    scenario: &Path,
) -> Result<(), CommandError> {
    let scenario =
        Scenario::read(scenario).map_err(|error| CommandError::Input(error.to_string()))?;
    let report: Report = block_on(load::run(scenario, to))?;
    print!("{}", report.to_text());
    if let Some(path) = json {
        write_file(&path, &report.to_json())?;
    }
    if let Some(path) = svg {
        write_file(&path, &report.to_svg())?;
    }
    Ok(())
}

fn write_file(path: &Path, content: &str) -> Result<(), CommandError> {
    std::fs::write(path, content)
        .map_err(|error| CommandError::Failed(format!("{}: {error}", path.display())))
}
