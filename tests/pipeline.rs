//! The order of requests that a caller sends without waiting for responses.

use std::collections::VecDeque;

use dragonflylug::host::caller::pipeline::Pipeline;
use proptest::prelude::*;

const STARTED_MAX: usize = 4;

/// A step on a connection.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The caller sends a request, which may be the last one that it announces.
    Send { is_idempotent: bool, is_last: bool },
    /// The oldest started request is answered.
    Answer,
    /// The daemon begins to drain its connections.
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (prop::bool::weighted(0.8), prop::bool::weighted(0.05)).prop_map(
            |(is_idempotent, is_last)| Step::Send { is_idempotent, is_last }
        ),
        6 => Just(Step::Answer),
        1 => Just(Step::Drain),
    ]
}

/// A connection as its owner drives the pipeline, with the requests that it knows of.
struct Model {
    pipeline: Pipeline,
    sent: VecDeque<(bool, bool)>,
    held: Option<bool>,
    started: VecDeque<bool>,
    is_draining: bool,
    is_closed: bool,
}

impl Model {
    fn new() -> Self {
        Self {
            pipeline: Pipeline::new(STARTED_MAX),
            sent: VecDeque::new(),
            held: None,
            started: VecDeque::new(),
            is_draining: false,
            is_closed: false,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Send {
                is_idempotent,
                is_last,
            } => self.sent.push_back((is_idempotent, is_last)),
            Step::Answer => self.answer(),
            Step::Drain => self.is_draining = true,
        }
        self.read();
    }

    fn answer(&mut self) {
        if self.started.pop_front().is_none() {
            return;
        }
        if self.pipeline.finish(self.is_draining, self.held.is_some()) {
            assert!(
                self.started.is_empty() && self.held.is_none(),
                "closed with requests behind the response"
            );
            self.is_closed = true;
        }
    }

    fn read(&mut self) {
        if self.is_closed {
            return;
        }
        if let Some(is_idempotent) = self.held
            && self.pipeline.may_start(is_idempotent)
        {
            self.held = None;
            self.start(is_idempotent);
        }
        while self.held.is_none() && self.pipeline.may_read(self.is_draining) {
            let Some((is_idempotent, is_last)) = self.sent.pop_front() else {
                return;
            };
            if is_last {
                self.pipeline.end_reading();
            }
            match self.pipeline.may_start(is_idempotent) {
                true => self.start(is_idempotent),
                false => self.held = Some(is_idempotent),
            }
        }
    }

    fn start(&mut self, is_idempotent: bool) {
        self.pipeline.start(is_idempotent);
        self.started.push_back(is_idempotent);
        assert!(self.started.len() <= STARTED_MAX);
        let is_shared = self.started.len() > 1;
        assert!(!is_shared || self.started.iter().all(|is_idempotent| *is_idempotent));
    }
}

proptest! {
    #[test]
    fn started_requests_are_answered_before_the_connection_closes(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut model = Model::new();
        for step in steps {
            if model.is_closed {
                break;
            }
            model.apply(step);
        }
        let is_closing = model.is_draining && !model.started.is_empty();
        while !model.started.is_empty() {
            model.apply(Step::Answer);
        }
        prop_assert!(model.held.is_none());
        prop_assert!(!is_closing || model.is_closed);
    }
}
