//! A model of daemons that share a quota, in virtual time: messages with delays, faults drawn from a
//! seed, clocks that differ, and membership views that lag behind and disagree.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use dragonflylug::ids::{CallKey, MemberId, Priority};
use dragonflylug::organisations::Quota;
use dragonflylug::quota::{
    Actions, Message, OrganisationHash, Outcome, Pending, QuotaSettings, QuotaState, Take,
};
use dragonflylug::sorted::SortedMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::quota_bound::{SECOND_US, WINDOW_US, bound};

const ORGANISATION: OrganisationHash = OrganisationHash(7);
const CHECK_US: u64 = 50_000;
const TIMEOUT_US: u64 = 150_000;
const REQUEST_LEFT_US: u64 = 3 * SECOND_US;

/// The probability that a request which has its token does not run after all.
const NOT_RUN: f64 = 0.05;

/// How the demand is spread over the daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    Even,
    /// All callers are at two daemons.
    Two,
    /// All callers are at one daemon, and at another one every second.
    Moving,
}

/// A change of the state of a daemon or its links.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Pause,
    Restart,
    RestartAll,
    Kill,
    Cut,
    CutOneWay,
    StoreDown,
    WrongView,
}

#[derive(Debug)]
enum Event {
    Request {
        call: usize,
    },
    Message {
        from: usize,
        key: u64,
        message: Message,
    },
    Response {
        key: u64,
        message: Option<Message>,
    },
    Check,
    Renew,
    Gossip,
    SetQuota,
    Start,
}

struct Daemon {
    state: QuotaState,
    /// How far the daemon's clock is ahead.
    clock_us: u64,
    is_up: bool,
    paused_until_us: u64,
    /// Counts the starts; events of earlier processes are dropped.
    start: u64,
    pending: SortedMap<u64, Pending>,
    /// The start of each daemon that this one takes for live.
    believed: Vec<Option<u64>>,
    quota: Quota,
}

pub struct Model {
    pub rng: ChaCha8Rng,
    now_us: u64,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<(usize, u64, Event)>>,
    next_key: u64,
    daemons: Vec<Daemon>,
    /// Until when the link from one daemon to another is cut.
    cut_until_us: Vec<Vec<u64>>,
    /// Until when the platform's table, from which new daemons read of others, is down.
    store_down_until_us: u64,
    quota: Quota,
    spread: Spread,
    /// Whether no message is late and each request runs that has a token.
    pub is_steady: bool,
    sent_us: Vec<u64>,
    /// When each request that ran was sent, and when it ran.
    pub runs: Vec<(u64, u64)>,
}

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + daemon as u16))
}

fn member(daemon: usize, start: u64) -> MemberId {
    MemberId(daemon as u64 * 1_000_000 + start)
}

impl Model {
    pub fn new(seed: u64, daemons: usize, quota: Quota, spread: Spread) -> Self {
        let mut model = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_us: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            next_key: 0,
            daemons: Vec::new(),
            cut_until_us: vec![vec![0; daemons]; daemons],
            store_down_until_us: 0,
            quota,
            spread,
            is_steady: false,
            sent_us: Vec::new(),
            runs: Vec::new(),
        };
        for daemon in 0..daemons {
            let clock_us = model.rng.random_range(0..1_000 * SECOND_US);
            let settings = QuotaSettings::default();
            let state = QuotaState::new(settings, clock_us, member(daemon, 0), address(daemon));
            model.daemons.push(Daemon {
                state,
                clock_us,
                is_up: true,
                paused_until_us: 0,
                start: 0,
                pending: SortedMap::default(),
                believed: vec![None; daemons],
                quota,
            });
            model.start(daemon);
        }
        model
    }

    /// Runs until a time with a demand, and with faults that begin at random at some rate.
    pub fn run(&mut self, until_us: u64, demand_per_s: f64, fault_period_us: u64) {
        let mut next_request_us = self.now_us;
        let mut next_fault_us = self.now_us + fault_period_us;
        loop {
            let next_us = self
                .queue
                .peek()
                .map_or(u64::MAX, |Reverse((at_us, _))| *at_us);
            let at_us = next_us.min(next_request_us).min(next_fault_us);
            if at_us >= until_us {
                break;
            }
            self.now_us = at_us;
            if at_us == next_request_us {
                self.send_request();
                let period_us = SECOND_US as f64 / demand_per_s;
                next_request_us += (period_us * self.rng.random_range(0.0..2.0)) as u64 + 1;
            } else if at_us == next_fault_us {
                self.begin_fault();
                next_fault_us += self.rng.random_range(1..2 * fault_period_us);
            } else if let Some(Reverse((_, key))) = self.queue.pop()
                && let Some((daemon, start, event)) = self.events[key].take()
            {
                self.process(daemon, start, event);
            }
        }
        self.now_us = until_us;
    }

    /// Changes the quota; daemons apply it within 2.5 s.
    pub fn change_quota(&mut self, quota: Quota) {
        self.quota = quota;
        for daemon in 0..self.daemons.len() {
            let delay_us = self.rng.random_range(0..5 * SECOND_US / 2);
            self.schedule(delay_us, daemon, Event::SetQuota);
        }
    }

    /// Checks the invariant in each window that begins within a range of times.
    pub fn check_bound(&self, from_us: u64, to_us: u64, quota: Quota) {
        let mut runs = self.runs.clone();
        runs.sort_unstable();
        for (index, (sent_us, _)) in runs.iter().enumerate() {
            if !(from_us..to_us).contains(sent_us) {
                continue;
            }
            let end_us = sent_us + WINDOW_US;
            let window = &runs[index..runs.partition_point(|run| run.0 <= end_us)];
            if window.len() <= bound(quota) {
                continue;
            }
            let ran = window.iter().filter(|run| run.1 <= end_us).count();
            assert!(ran <= bound(quota), "{ran} ran from {sent_us}, {quota:?}");
        }
    }

    fn schedule(&mut self, after_us: u64, daemon: usize, event: Event) {
        let start = self.daemons[daemon].start;
        let key = self.events.len();
        self.queue.push(Reverse((self.now_us + after_us, key)));
        self.events.push(Some((daemon, start, event)));
    }

    fn send_request(&mut self) {
        let count = self.daemons.len();
        let daemon = match self.spread {
            Spread::Even => self.rng.random_range(0..count),
            Spread::Two => self.rng.random_range(0..2),
            Spread::Moving => (self.now_us / SECOND_US) as usize * 7 % count,
        };
        let call = self.sent_us.len();
        self.sent_us.push(self.now_us);
        self.schedule(0, daemon, Event::Request { call });
    }

    fn process(&mut self, daemon: usize, start: u64, event: Event) {
        let to = &self.daemons[daemon];
        let is_restart = matches!(event, Event::Start);
        if !is_restart && (!to.is_up || to.start != start) {
            return;
        }
        if to.paused_until_us > self.now_us {
            let left_us = to.paused_until_us - self.now_us;
            self.schedule(left_us, daemon, event);
            return;
        }
        let now_us = self.now_us + to.clock_us;
        let state = &mut self.daemons[daemon].state;
        match event {
            Event::Request { call } => self.take(daemon, call),
            Event::Message { from, key, message } => {
                let (response, actions) = state.respond(now_us, message);
                self.execute(daemon, actions);
                if self.is_connected(daemon, from) {
                    let delay_us = self.delay_us();
                    let message = Some(response);
                    self.schedule(delay_us, from, Event::Response { key, message });
                }
            }
            Event::Response { key, message } => {
                let Some(pending) = self.daemons[daemon].pending.remove(&key) else {
                    return;
                };
                let state = &mut self.daemons[daemon].state;
                let actions = state.handle_response(now_us, pending, message);
                self.execute(daemon, actions);
            }
            Event::Check => {
                let actions = state.check(now_us);
                self.execute(daemon, actions);
                self.schedule(CHECK_US, daemon, Event::Check);
            }
            Event::Renew => {
                let actions = state.renew(now_us);
                self.execute(daemon, actions);
                let renew_us = u64::from(QuotaSettings::default().renew_ms) * 1_000;
                self.schedule(renew_us, daemon, Event::Renew);
            }
            Event::Gossip => self.gossip(daemon),
            Event::SetQuota => self.set_quota(daemon, self.quota),
            Event::Start => self.restart(daemon),
        }
    }

    fn take(&mut self, daemon: usize, call: usize) {
        let now_us = self.now_us + self.daemons[daemon].clock_us;
        let priority = Priority::ALL[call % Priority::ALL.len()];
        let state = &mut self.daemons[daemon].state;
        let (take, actions) = state.take(
            now_us,
            ORGANISATION,
            CallKey(call as u64),
            priority,
            REQUEST_LEFT_US,
        );
        self.execute(daemon, actions);
        if let Take::Granted(expires_us) = take {
            self.use_token(daemon, call, expires_us);
        }
    }

    fn use_token(&mut self, daemon: usize, call: usize, expires_us: u64) {
        if !self.is_steady && self.rng.random_bool(NOT_RUN) {
            let now_us = self.now_us + self.daemons[daemon].clock_us;
            let state = &mut self.daemons[daemon].state;
            let actions = state.give_back(now_us, ORGANISATION, expires_us);
            self.execute(daemon, actions);
            return;
        }
        self.runs.push((self.sent_us[call], self.now_us));
    }

    fn execute(&mut self, daemon: usize, actions: Actions) {
        for outgoing in actions.outgoing {
            self.next_key += 1;
            let key = self.next_key;
            if let Some(pending) = outgoing.pending {
                self.daemons[daemon].pending.insert(key, pending);
                let message = None;
                self.schedule(TIMEOUT_US, daemon, Event::Response { key, message });
            }
            let to = usize::from(outgoing.to.port() - 1_000);
            if self.is_connected(daemon, to) {
                let message = outgoing.message;
                let event = Event::Message {
                    from: daemon,
                    key,
                    message,
                };
                let delay_us = if to == daemon { 0 } else { self.delay_us() };
                self.schedule(delay_us, to, event);
            }
        }
        for (call, outcome) in actions.decided {
            if let Outcome::Granted(expires_us) = outcome {
                self.use_token(daemon, call.0 as usize, expires_us);
            }
        }
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        self.cut_until_us[from][to] <= self.now_us
    }

    /// Most messages take about a millisecond, some so long that their sender no longer waits.
    fn delay_us(&mut self) -> u64 {
        match !self.is_steady && self.rng.random_bool(0.01) {
            true => self.rng.random_range(0..2 * SECOND_US),
            false => self.rng.random_range(200..5_000),
        }
    }

    fn set_quota(&mut self, daemon: usize, quota: Quota) {
        let now_us = self.now_us + self.daemons[daemon].clock_us;
        let mut quotas = SortedMap::default();
        quotas.insert(ORGANISATION, quota);
        self.daemons[daemon].state.set_quotas(now_us, quotas);
    }

    fn start(&mut self, daemon: usize) {
        self.set_quota(daemon, self.quota);
        for (delay_us, event) in [(1, Event::Gossip), (2, Event::Check), (3, Event::Renew)] {
            self.schedule(delay_us, daemon, event);
        }
    }

    fn restart(&mut self, daemon: usize) {
        let old = &mut self.daemons[daemon];
        old.is_up = true;
        old.start += 1;
        old.pending = SortedMap::default();
        old.believed.fill(None);
        old.clock_us = self.rng.random_range(0..1_000 * SECOND_US);
        let (id, now_us) = (member(daemon, old.start), self.now_us + old.clock_us);
        let settings = QuotaSettings::default();
        old.state = QuotaState::new(settings, now_us, id, address(daemon));
        self.start(daemon);
    }

    /// Updates what a daemon believes of the others; each change is found or missed at random. A new
    /// daemon finds the others by the platform's table, or is found by one that is not new.
    fn gossip(&mut self, daemon: usize) {
        let delay_us = self.rng.random_range(200_000..2 * SECOND_US);
        self.schedule(delay_us, daemon, Event::Gossip);
        let is_new = self.is_new(daemon);
        if is_new && !self.join(daemon) {
            return;
        }
        for other in 0..self.daemons.len() {
            let is_linked = self.is_connected(daemon, other) && self.is_connected(other, daemon);
            let start = self.daemons[other].start;
            let is_live = is_linked && self.daemons[other].is_up;
            let is_noticed = (is_new && !self.is_new(other)) || self.rng.random_bool(0.4);
            if other == daemon || !is_noticed {
                continue;
            }
            let believed = self.daemons[daemon].believed[other];
            if is_live && believed != Some(start) {
                self.believe(daemon, other, Some(start));
            } else if !is_live && believed.is_some() && self.rng.random_bool(0.6) {
                self.believe(daemon, other, None);
            }
        }
        if self.daemons[daemon].believed.iter().any(Option::is_some) {
            self.daemons[daemon].state.view_mut().record_members_read();
        }
    }

    fn is_new(&self, daemon: usize) -> bool {
        self.daemons[daemon].believed.iter().all(Option::is_none)
    }

    /// Reads the rows of a new daemon's table; returns whether it may find others.
    fn join(&mut self, daemon: usize) -> bool {
        let count = self.daemons.len();
        if self.store_down_until_us <= self.now_us {
            let at = &mut self.daemons[daemon];
            for other in (0..count).filter(|other| *other != daemon) {
                let now_us = self.now_us + at.clock_us;
                at.state.view_mut().record_row(now_us, address(other));
            }
            return true;
        }
        (0..count).any(|other| {
            let is_linked = self.is_connected(daemon, other) && self.is_connected(other, daemon);
            is_linked && self.daemons[other].is_up && !self.is_new(other)
        })
    }

    fn believe(&mut self, daemon: usize, other: usize, start: Option<u64>) {
        let at = &mut self.daemons[daemon];
        let now_us = self.now_us + at.clock_us;
        let before = std::mem::replace(&mut at.believed[other], start);
        match (start, before) {
            (Some(start), _) => {
                let id = member(other, start);
                at.state
                    .view_mut()
                    .record_member(now_us, address(other), id, false);
            }
            (None, Some(before)) => at
                .state
                .view_mut()
                .record_gone(now_us, member(other, before)),
            (None, None) => {}
        }
        let actions = at.state.follow_view(now_us);
        self.execute(daemon, actions);
    }

    fn begin_fault(&mut self) {
        const FAULTS: [Fault; 10] = [
            Fault::Pause,
            Fault::Pause,
            Fault::Restart,
            Fault::WrongView,
            Fault::RestartAll,
            Fault::Kill,
            Fault::Cut,
            Fault::CutOneWay,
            Fault::WrongView,
            Fault::StoreDown,
        ];
        let count = self.daemons.len();
        let daemon = self.rng.random_range(0..count);
        let last_us = self.rng.random_range(SECOND_US / 5..6 * SECOND_US);
        match FAULTS[self.rng.random_range(0..FAULTS.len())] {
            Fault::Pause => self.daemons[daemon].paused_until_us = self.now_us + last_us,
            Fault::Restart => self.kill_and_restart(daemon, last_us),
            Fault::RestartAll => {
                for daemon in 0..count {
                    let delay_us = self.rng.random_range(0..last_us);
                    self.kill_and_restart(daemon, delay_us);
                }
            }
            Fault::Kill => {
                let owner = self.daemons[daemon].state.view_mut().owner(ORGANISATION);
                let owner = owner.map_or(daemon, |owner| usize::from(owner.port() - 1_000));
                self.kill_and_restart(owner, 4 * last_us);
            }
            fault @ (Fault::Cut | Fault::CutOneWay) => {
                let is_both_ways = matches!(fault, Fault::Cut);
                let sides: Vec<bool> = (0..count).map(|_| self.rng.random_bool(0.5)).collect();
                for (from, to) in (0..count * count).map(|pair| (pair / count, pair % count)) {
                    if sides[from] != sides[to] && (is_both_ways || sides[from]) {
                        self.cut_until_us[from][to] = self.now_us + 3 * last_us;
                    }
                }
            }
            Fault::StoreDown => self.store_down_until_us = self.now_us + 3 * last_us,
            Fault::WrongView => {
                let owner = self.daemons[daemon].state.view_mut().owner(ORGANISATION);
                let suspect = owner.map_or(daemon, |owner| usize::from(owner.port() - 1_000));
                for other in 0..count {
                    let is_misled = self.daemons[other].is_up && self.rng.random_bool(0.6);
                    if other != suspect && is_misled {
                        self.believe(other, suspect, None);
                    }
                }
            }
        }
    }

    fn kill_and_restart(&mut self, daemon: usize, after_us: u64) {
        self.daemons[daemon].is_up = false;
        self.schedule(after_us, daemon, Event::Start);
    }
}
