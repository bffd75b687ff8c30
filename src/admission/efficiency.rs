//! The efficiency of a target by concurrency: useful work per slot time, over all kinds of work.
//!
//! The time per good answer is kept for each kind of work at each level of concurrency. It is
//! modelled as a time of the kind divided by an efficiency of the level, so that a change of the
//! mix does not appear as a change of the efficiency. The efficiency is assumed not to rise with
//! the concurrency; levels that contradict this are pooled (isotonic regression).

use macro_rules_attribute::apply;

use crate::derives::value;
use crate::ids::WorkKind;
use crate::sorted::SortedMap;

/// The maximum number of kinds of work; calls of further kinds are ignored.
const KINDS_MAX: usize = 8;
/// The number of levels between a number of concurrent calls and its double, for large numbers.
/// Below twice this number each number of calls is a level.
const LEVELS_PER_OCTAVE: u32 = 32;
/// The number of calls in a cell at which all its sums are halved, so that it follows changes.
const CELL_CALLS_MAX: f64 = 1_024.0;
/// The minimum number of calls in a cell whose mean is compared with new calls.
const COMPARED_CALLS_MIN: f64 = 384.0;
/// The number of rounds in which the times of the kinds and the efficiencies are fitted in turn.
const FIT_ROUNDS: usize = 6;

/// The calls of one kind at one level.
#[derive(Clone, Copy, Default)]
struct Cell {
    calls: f64,
    /// The calls that were answered before their deadline.
    good: f64,
    /// The sum of the times of all calls.
    time_us: f64,
}

/// The efficiency at a level of concurrency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LevelEfficiency {
    /// The highest number of concurrent calls of the level.
    pub(super) concurrency: u32,
    /// Useful work per slot time; only its ratio to that of other levels has a meaning.
    pub(super) efficiency: f64,
    /// The number of calls that it is based on; levels that were pooled have all their calls.
    pub(super) calls: f64,
}

impl LevelEfficiency {
    /// Returns the useful work per time while all of the level's slots are in use.
    pub(super) fn goodput(&self) -> f64 {
        f64::from(self.concurrency) * self.efficiency
    }
}

/// A call that is recorded.
#[apply(value!)]
pub(super) struct Sample {
    pub(super) kind: WorkKind,
    pub(super) concurrency: u32,
    pub(super) elapsed_us: u64,
    pub(super) is_good: bool,
}

/// The calls by kind of work and level of concurrency.
#[derive(Default)]
pub(super) struct EfficiencyTable {
    slots: u32,
    kinds: SortedMap<WorkKind, Vec<Cell>>,
    /// The time of the latest call at each level.
    seen_us: Vec<u64>,
}

impl EfficiencyTable {
    /// Creates an empty table for up to a number of concurrent calls.
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            kinds: SortedMap::default(),
            seen_us: vec![0; level_of(slots) + 1],
        }
    }

    /// Returns whether ascending numbers of concurrent calls belong to different levels.
    pub(super) fn are_distinct(ascending: &[u32]) -> bool {
        let is_distinct = |pair: &[u32]| level_of(pair[0]) < level_of(pair[1]);
        ascending.windows(2).all(is_distinct)
    }

    /// Removes all calls.
    pub(super) fn clear(&mut self) {
        *self = Self::new(self.slots);
    }

    /// Records a call and returns the mean time per good answer of its kind at its level before;
    /// `None` if too few calls are known.
    pub(super) fn record(&mut self, now_us: u64, sample: Sample) -> Option<f64> {
        if self.kinds.len() >= KINDS_MAX && !self.kinds.contains_key(&sample.kind) {
            return None;
        }
        let level = level_of(sample.concurrency).min(self.seen_us.len() - 1);
        let level_count = self.seen_us.len();
        let cells = self
            .kinds
            .get_or_insert_with(sample.kind, || vec![Cell::default(); level_count]);
        self.seen_us[level] = now_us;
        let cell = &mut cells[level];
        let is_known = cell.calls >= COMPARED_CALLS_MIN && cell.good > 0.0;
        let time_before_us = is_known.then(|| cell.time_us / cell.good);
        cell.add(sample);
        time_before_us
    }

    /// Forgets the levels above a number of concurrent calls.
    pub(super) fn forget_above(&mut self, concurrency: u32) {
        let first = level_of(concurrency) + 1;
        for (_, cells) in self.kinds.iter_mut() {
            for cell in cells.iter_mut().skip(first) {
                *cell = Cell::default();
            }
        }
    }

    /// Forgets the levels without a call since a time, and the kinds that have no calls left.
    pub(super) fn forget_unseen_since(&mut self, since_us: u64) {
        let seen_us = &self.seen_us;
        self.kinds.retain(|_, cells| {
            for (cell, seen_us) in cells.iter_mut().zip(seen_us) {
                if *seen_us < since_us {
                    *cell = Cell::default();
                }
            }
            cells.iter().any(|cell| cell.calls > 0.0)
        });
    }

    /// Returns the longest mean time of a call over the kinds of work.
    pub(super) fn longest_kind_us(&self) -> f64 {
        let mut longest_us = 0.0_f64;
        for cells in self.kinds.values() {
            let calls: f64 = cells.iter().map(|cell| cell.calls).sum();
            let time_us: f64 = cells.iter().map(|cell| cell.time_us).sum();
            longest_us = longest_us.max(time_us / calls.max(1.0));
        }
        longest_us
    }

    /// Returns the efficiencies of the levels with at least `calls_min` calls, by ascending
    /// concurrency. They do not rise with it.
    pub(super) fn fit(&self, calls_min: f64) -> Vec<LevelEfficiency> {
        let mut kind_times_us = vec![1.0; self.kinds.len()];
        let mut efficiencies = vec![1.0; self.seen_us.len()];
        for _ in 0..FIT_ROUNDS {
            self.fit_kind_times(&efficiencies, &mut kind_times_us);
            self.fit_efficiencies(&kind_times_us, &mut efficiencies);
        }
        self.pool(&kind_times_us, calls_min)
    }

    fn fit_kind_times(&self, efficiencies: &[f64], kind_times_us: &mut [f64]) {
        for (cells, kind_time_us) in self.kinds.values().zip(kind_times_us) {
            let mut useful_us = 0.0;
            let mut good = 0.0;
            for (cell, efficiency) in cells.iter().zip(efficiencies) {
                useful_us += cell.time_us * efficiency;
                good += cell.good;
            }
            *kind_time_us = useful_us / good.max(1.0);
        }
    }

    fn fit_efficiencies(&self, kind_times_us: &[f64], efficiencies: &mut [f64]) {
        for (level, efficiency) in efficiencies.iter_mut().enumerate() {
            let work = self.work_at(level, kind_times_us);
            *efficiency = work.useful_us / work.time_us.max(1.0);
        }
    }

    fn work_at(&self, level: usize, kind_times_us: &[f64]) -> Work {
        let mut work = Work::default();
        for (cells, kind_time_us) in self.kinds.values().zip(kind_times_us) {
            work.calls += cells[level].calls;
            work.useful_us += cells[level].good * kind_time_us;
            work.time_us += cells[level].time_us;
        }
        work
    }

    /// Pools adjacent levels until the efficiency does not rise with the concurrency.
    fn pool(&self, kind_times_us: &[f64], calls_min: f64) -> Vec<LevelEfficiency> {
        let mut pools: Vec<Pool> = Vec::new();
        for level in 0..self.seen_us.len() {
            let work = self.work_at(level, kind_times_us);
            if work.calls < calls_min {
                continue;
            }
            let mut last = Pool {
                work,
                concurrencies: vec![highest_of(level).min(self.slots)],
            };
            while let Some(mut before) = pools.pop() {
                if before.work.efficiency() >= last.work.efficiency() {
                    pools.push(before);
                    break;
                }
                before.work.merge(last.work);
                before.concurrencies.append(&mut last.concurrencies);
                last = before;
            }
            pools.push(last);
        }
        pools.iter().flat_map(Pool::levels).collect()
    }
}

impl Cell {
    fn add(&mut self, sample: Sample) {
        if self.calls >= CELL_CALLS_MAX {
            self.calls /= 2.0;
            self.good /= 2.0;
            self.time_us /= 2.0;
        }
        self.calls += 1.0;
        self.good += f64::from(u8::from(sample.is_good));
        self.time_us += sample.elapsed_us as f64;
    }
}

/// The calls at one level or several, over all kinds of work.
#[derive(Clone, Copy, Default)]
struct Work {
    calls: f64,
    /// The good answers, each by the fitted time of its kind.
    useful_us: f64,
    /// The slot time that the calls took.
    time_us: f64,
}

impl Work {
    fn efficiency(&self) -> f64 {
        self.useful_us / self.time_us.max(1.0)
    }

    fn merge(&mut self, other: Work) {
        self.calls += other.calls;
        self.useful_us += other.useful_us;
        self.time_us += other.time_us;
    }
}

/// Adjacent levels that share one efficiency.
struct Pool {
    work: Work,
    /// The highest number of concurrent calls of each level.
    concurrencies: Vec<u32>,
}

impl Pool {
    fn levels(&self) -> impl Iterator<Item = LevelEfficiency> {
        self.concurrencies
            .iter()
            .map(|concurrency| LevelEfficiency {
                concurrency: *concurrency,
                efficiency: self.work.efficiency(),
                calls: self.work.calls,
            })
    }
}

/// Returns the level of a number of concurrent calls.
fn level_of(concurrency: u32) -> usize {
    let octave = (concurrency / LEVELS_PER_OCTAVE).max(1).ilog2();
    (octave * LEVELS_PER_OCTAVE + (concurrency >> octave)) as usize
}

/// Returns the highest number of concurrent calls of a level.
fn highest_of(level: usize) -> u32 {
    let level = u32::try_from(level).unwrap_or(u32::MAX);
    let octave = (level / LEVELS_PER_OCTAVE).saturating_sub(1);
    ((level - octave * LEVELS_PER_OCTAVE + 1) << octave) - 1
}
