//! Checks whether the target ended, after an exchange with it broke off.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::kernel::TargetOutcome;

/// How long to wait for a connection; a target is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Checks whether the target ended. Exchanges that break off together share a check.
#[derive(Default)]
pub struct EndCheck {
    last: Mutex<Option<LastCheck>>,
}

struct LastCheck {
    began_at: Instant,
    has_ended: bool,
}

impl EndCheck {
    /// Returns the outcome of a request whose exchange with the target at an address broke off.
    pub async fn outcome_of_lost(&self, address: SocketAddr) -> TargetOutcome {
        let lost_at = Instant::now();
        let mut last = self.last.lock().await;
        if let Some(check) = last.as_ref().filter(|check| check.began_at >= lost_at) {
            return outcome(check.has_ended);
        }
        let began_at = Instant::now();
        let has_ended = is_refused(address, CONNECT_TIMEOUT).await;
        *last = Some(LastCheck {
            began_at,
            has_ended,
        });
        outcome(has_ended)
    }
}

fn outcome(has_ended: bool) -> TargetOutcome {
    match has_ended {
        true => TargetOutcome::Ended,
        false => TargetOutcome::Lost,
    }
}

/// Returns whether a new connection is refused, so that nothing listens at the address.
pub async fn is_refused(address: SocketAddr, timeout: Duration) -> bool {
    let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
