//! The daemon program: accepts calls as an entry and protects the target beside it as a guard.

use std::process::ExitCode;

use dragonflylug::cli::{DaemonArguments, daemon_arguments};
use dragonflylug::host::{daemon, logs};
use dragonflylug::settings::Settings;

/// The exit code for unreadable or invalid settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let arguments = daemon_arguments().run();
    let settings = match read_settings(&arguments) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("dragonflylugd: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: ok", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    logs::start(&settings.log);
    match daemon::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dragonflylugd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(
    arguments: &DaemonArguments,
) -> Result<Settings, dragonflylug::json_file::JsonFileError> {
    let mut settings = Settings::read(&arguments.settings)?;
    if let Some(address) = arguments.caller_address {
        settings.caller_address = address;
    }
    Ok(settings)
}
