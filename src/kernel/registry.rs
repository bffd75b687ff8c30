//! The registry of the services of a node, by name.

use std::any::Any;

use super::{Context, Event};
use crate::sorted::SortedMap;

/// A component of a node: a state machine that handles events. It is not a service of the call
/// graph, which a [`ServiceName`](crate::ids::ServiceName) identifies.
pub trait Service: Any + Send {
    /// Returns the name under which the service is registered.
    fn name(&self) -> &'static str;

    /// Handles one event.
    fn handle(&mut self, context: &mut Context<'_>, event: Event);
}

/// The registered services. The slot of a service is `None` while that service runs.
#[derive(Default)]
pub(super) struct Registry {
    services: SortedMap<&'static str, Option<Box<dyn Service>>>,
}

impl Registry {
    pub(super) fn insert(&mut self, service: Box<dyn Service>) {
        self.services.insert(service.name(), Some(service));
    }

    pub(super) fn names(&self) -> Vec<&'static str> {
        self.services.keys().copied().collect()
    }

    pub(super) fn take(&mut self, name: &'static str) -> Option<Box<dyn Service>> {
        self.services.get_mut(&name)?.take()
    }

    pub(super) fn restore(&mut self, service: Box<dyn Service>) {
        if let Some(slot) = self.services.get_mut(&service.name()) {
            *slot = Some(service);
        }
    }

    pub(super) fn find<T: Service>(&mut self, name: &str) -> Option<&mut T> {
        for (key, slot) in self.services.iter_mut() {
            if *key != name {
                continue;
            }
            let service: &mut dyn Any = slot.as_deref_mut()?;
            return service.downcast_mut();
        }
        None
    }
}
