//! Counts of requests and repeats over sliding windows, in a ring buffer of slices.

/// The number of slices into which a window is divided for counting.
pub(super) const SLICES_PER_WINDOW: usize = 10;

/// The age in slices from which on a report is ignored.
pub(super) const REPORT_AGE_SLICES_MAX: u64 = 3;

/// The number of slices by which the window that a guard's report describes may be older than the
/// current one: the report's maximum age, and one because the slices of two daemons begin at
/// different times.
pub(super) const REPORT_LAG_SLICES: usize = REPORT_AGE_SLICES_MAX as usize + 1;

/// The number of slices that are kept: those of the current window and of the window that ended
/// before it and before the oldest report.
const SLICES_KEPT: usize = 2 * SLICES_PER_WINDOW + REPORT_LAG_SLICES;

/// The counts of the latest windows.
#[derive(Default)]
pub(super) struct SliceRing {
    slices: [SliceCounts; SLICES_KEPT],
    /// The number of the current slice, counted from time 0.
    current_slice: u64,
}

/// The counts of one slice of the window.
#[derive(Clone, Copy, Default)]
pub(super) struct SliceCounts {
    /// All requests.
    pub(super) requests: u32,
    /// The direct requests of callers.
    pub(super) directs: u32,
    /// The repeats that count in the part that is not reserved.
    pub(super) repeats: u32,
    /// The repeats of direct requests that count in the reserved part.
    pub(super) direct_repeats: u32,
}

impl SliceRing {
    /// Advances to a slice and clears the slices that are reused on the way.
    pub(super) fn advance(&mut self, slice: u64) {
        let advanced = slice
            .saturating_sub(self.current_slice)
            .min(SLICES_KEPT as u64);
        for step in 1..=advanced {
            let index = (self.current_slice + step) % SLICES_KEPT as u64;
            self.slices[index as usize] = SliceCounts::default();
        }
        if slice > self.current_slice + SLICES_KEPT as u64 {
            self.slices = [SliceCounts::default(); SLICES_KEPT];
        }
        self.current_slice = self.current_slice.max(slice);
    }

    /// Returns the counts of the current slice.
    pub(super) fn slice_mut(&mut self) -> &mut SliceCounts {
        &mut self.slices[(self.current_slice % SLICES_KEPT as u64) as usize]
    }

    /// Returns the counts of the window that ended `slices_ago` slices ago; 0 is the current one.
    pub(super) fn sum(&self, slices_ago: usize) -> SliceCounts {
        let mut sum = SliceCounts::default();
        for ago in slices_ago..slices_ago + SLICES_PER_WINDOW {
            let index = (self.current_slice + (SLICES_KEPT - ago) as u64) % SLICES_KEPT as u64;
            let slice = self.slices[index as usize];
            sum.requests += slice.requests;
            sum.directs += slice.directs;
            sum.repeats += slice.repeats;
            sum.direct_repeats += slice.direct_repeats;
        }
        sum
    }

    /// Returns the maximum number of requests in three windows: those that ended now, half a window
    /// ago and one window ago. Thus the budget does not shrink at once when requests pause.
    pub(super) fn peak_requests(&self) -> u32 {
        let current = self.sum(0).requests;
        let half_before = self.sum(SLICES_PER_WINDOW / 2).requests;
        current
            .max(half_before)
            .max(self.sum(SLICES_PER_WINDOW).requests)
    }

    /// Returns the minimum number of direct requests in the windows that a guard's report may
    /// describe.
    pub(super) fn min_directs(&self) -> u32 {
        let mut fewest = u32::MAX;
        for slices_ago in 0..=REPORT_LAG_SLICES {
            fewest = fewest.min(self.sum(slices_ago).directs);
        }
        fewest
    }
}
