//! Starts requests at their due times.

use std::time::{Duration, Instant};

use tokio::sync::mpsc;

/// The wait before the first due time, for the threads to get ready.
const LEAD: Duration = Duration::from_millis(20);

/// A thread that reports each due time as it comes, whatever became of earlier ones.
///
/// It is a thread of its own because the timers of a runtime are good to a millisecond only.
pub struct Pacer {
    start: Instant,
    due: mpsc::UnboundedReceiver<usize>,
}

impl Pacer {
    /// Starts a pacer for due times in ascending order, counted from [`Pacer::start_time`].
    pub fn start(due_us: Vec<u64>) -> Self {
        let start = Instant::now() + LEAD;
        let (sender, due) = mpsc::unbounded_channel();
        std::thread::spawn(move || pace(start, &due_us, &sender));
        Self { start, due }
    }

    /// Returns the time from which the due times count.
    pub fn start_time(&self) -> Instant {
        self.start
    }

    /// Waits for the next due time and returns its position.
    pub async fn next(&mut self) -> Option<usize> {
        self.due.recv().await
    }
}

fn pace(start: Instant, due_us: &[u64], sender: &mpsc::UnboundedSender<usize>) {
    for (at, due_us) in due_us.iter().enumerate() {
        let due = start + Duration::from_micros(*due_us);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if sender.send(at).is_err() {
            return;
        }
    }
}
