//! Runs the platform stand-in until the process is killed; prints the address that it listens on.

use std::net::SocketAddr;
use std::process::ExitCode;

use dragonflylug_standins::platform::PlatformStandin;

const USAGE: &str = "usage: platform-standin ADDRESS\nexample: platform-standin 127.0.0.1:0";

fn main() -> ExitCode {
    let address: Option<SocketAddr> = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let Some(address) = address else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let platform = match PlatformStandin::start(address) {
        Ok(platform) => platform,
        Err(error) => {
            eprintln!("platform-standin: cannot listen on {address}: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("{}", platform.address());
    loop {
        std::thread::park();
    }
}
