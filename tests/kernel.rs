//! The kernel: services by name, timers in order, a pause told before anything else.

#[path = "support/network.rs"]
mod network;

use std::sync::{Arc, Mutex};

use dragonflylug::kernel::{Context, Event, Input, Kernel, Notice, Service};

type Seen = Arc<Mutex<Vec<String>>>;

struct Recorder {
    name: &'static str,
    seen: Seen,
}

impl Service for Recorder {
    fn name(&self) -> &'static str {
        self.name
    }

    fn handle(&mut self, context: &mut Context<'_>, event: Event) {
        let what = match event {
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
        self.seen
            .lock()
            .unwrap()
            .push(format!("{} {what} {finds_other}", self.name));
    }
}

fn recorded(names: &[&'static str]) -> (Kernel, Seen) {
    let seen = Seen::default();
    let mut kernel = Kernel::new(1);
    for &name in names {
        kernel.register(Box::new(Recorder {
            name,
            seen: seen.clone(),
        }));
    }
    kernel.start(0);
    seen.lock().unwrap().clear();
    (kernel, seen)
}

#[test]
fn timers_run_in_order_of_their_time() {
    let (mut kernel, seen) = recorded(&["one"]);
    assert_eq!(kernel.next_timer_us(), Some(1_000));
    kernel.advance(1_500);
    kernel.advance(2_500);
    assert_eq!(
        *seen.lock().unwrap(),
        ["one timer 1 false", "one timer 2 false"]
    );
}

#[test]
fn services_find_each_other_by_name() {
    let (mut kernel, seen) = recorded(&["one", "other"]);
    kernel.handle(10, Input::Event("one", Event::Timer(7)));
    assert_eq!(*seen.lock().unwrap(), ["one timer 7 true"]);
}

#[test]
fn a_pause_is_told_before_the_timers_run() {
    let (mut kernel, seen) = recorded(&["one"]);
    kernel.advance(5_000_000);
    let seen = seen.lock().unwrap();
    assert_eq!(seen[0], "one woke 4999000 false");
    assert_eq!(seen[1], "one timer 1 false");
}
