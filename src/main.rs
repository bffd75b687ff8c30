//! The command-line tool for operators.

use std::process::ExitCode;

use dragonflylug::{cli, command};

fn main() -> ExitCode {
    match command::run(cli::command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dragonflylug: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
