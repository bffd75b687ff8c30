//! Runs a target stand-in until the process is killed; prints the address that it listens on.

use std::process::ExitCode;

use dragonflylug_standins::target::{TargetConfig, TargetStandin};

const USAGE: &str = "usage: target-standin SETTINGS_FILE\nexample: target-standin target.json";

fn main() -> ExitCode {
    let Some(file) = std::env::args().nth(1) else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let config = match read_config(&file) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("target-standin: cannot load settings file {file}: {error}");
            return ExitCode::from(2);
        }
    };
    match run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("target-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_config(file: &str) -> Result<TargetConfig, Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(file)?;
    Ok(serde_json::from_str(&text)?)
}

fn run(config: TargetConfig) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let target = TargetStandin::start(config).await?;
        println!("{}", target.address());
        std::future::pending().await
    })
}
