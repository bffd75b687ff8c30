//! Tests of the kernel: lookup of services by name, order of timers, and the notice after a pause.

#[path = "support/network.rs"]
mod network;

use std::sync::{Arc, Mutex};

use dragonflylug::kernel::{Context, Event, Input, Kernel, Notice, Service};

type EventLog = Arc<Mutex<Vec<String>>>;

struct Recorder {
    name: &'static str,
    event_log: EventLog,
}

impl Service for Recorder {
    fn name(&self) -> &'static str {
        self.name
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        let description = match event {
            Event::Started => {
                context.set_timer(2_000, 2);
                context.set_timer(1_000, 1);
                "started".to_string()
            }
            Event::Timer(tag) => format!("timer {tag}"),
            Event::Notice(Notice::Resumed { paused_us }) => format!("woke {paused_us}"),
            other => format!("{other:?}"),
        };
        let finds_other = context.find::<Recorder>("other").is_some();
        self.event_log
            .lock()
            .unwrap()
            .push(format!("{} {description} {finds_other}", self.name));
    }
}

fn start_recorders(names: &[&'static str]) -> (Kernel, EventLog) {
    let event_log = EventLog::default();
    let mut kernel = Kernel::new(1);
    for &name in names {
        kernel.register(Box::new(Recorder {
            name,
            event_log: event_log.clone(),
        }));
    }
    kernel.start(0);
    event_log.lock().unwrap().clear();
    (kernel, event_log)
}

#[test]
fn timers_fire_in_order_of_due_time() {
    let (mut kernel, event_log) = start_recorders(&["one"]);
    assert_eq!(kernel.next_timer_us(), Some(1_000));
    kernel.advance(1_500);
    kernel.advance(2_500);
    assert_eq!(
        *event_log.lock().unwrap(),
        ["one timer 1 false", "one timer 2 false"]
    );
}

#[test]
fn services_find_each_other_by_name() {
    let (mut kernel, event_log) = start_recorders(&["one", "other"]);
    kernel.handle(10, Input::Event("one", Event::Timer(7)));
    assert_eq!(*event_log.lock().unwrap(), ["one timer 7 true"]);
}

#[test]
fn a_pause_is_notified_before_due_timers_fire() {
    let (mut kernel, event_log) = start_recorders(&["one"]);
    kernel.advance(5_000_000);
    let event_log = event_log.lock().unwrap();
    assert_eq!(event_log[0], "one woke 4999000 false");
    assert_eq!(event_log[1], "one timer 1 false");
}
