//! Signals the due times of requests, independently of how long earlier requests take.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;

/// The delay before the first due time, in which the pacer thread starts.
const START_DELAY: Duration = Duration::from_millis(20);

/// Reports each due time when it is reached, regardless of whether earlier requests have ended.
///
/// It runs on a separate thread because the timers of the async runtime have a resolution of only a
/// millisecond.
pub struct Pacer {
    start: Instant,
    due_indexes: mpsc::UnboundedReceiver<usize>,
}

impl Pacer {
    /// Starts a pacer for due times in ascending order, relative to [`Pacer::start_time`].
    pub fn start(due_us: Vec<u64>) -> Self {
        let start = Instant::now() + START_DELAY;
        let (sender, due_indexes) = mpsc::unbounded_channel();
        std::thread::spawn(move || signal_due_times(start, &due_us, &sender));
        Self { start, due_indexes }
    }

    /// Returns the time to which the due times are relative.
    pub fn start_time(&self) -> Instant {
        self.start
    }

    /// Waits for the next due time and returns its index; `None` after the last one.
    pub async fn next(&mut self) -> Option<usize> {
        self.due_indexes.recv().await
    }
}

fn signal_due_times(start: Instant, due_us: &[u64], sender: &mpsc::UnboundedSender<usize>) {
    for (index, due_us) in due_us.iter().enumerate() {
        let due = start + Duration::from_micros(*due_us);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if sender.send(index).is_err() {
            return;
        }
    }
}
