//! The route source of the simulated network.

use dragonflylug::ids::OutboundKey;
use dragonflylug::kernel::Input;
use dragonflylug::routes::{RouteTable, RouteUpdate};
use dragonflylug::table::{PlatformError, RowVersion};

use super::{Delivery, Network};

/// A read of the route source that waits for a change.
#[derive(Clone, Copy)]
pub(super) struct Watch {
    key: OutboundKey,
    began_us: u64,
    timeout_us: u64,
}

impl Network {
    /// Responds to a read of the route table. A read that waits stays open until the end of its wait
    /// or [`Network::publish_routes`].
    pub(super) fn read_routes(
        &mut self,
        node: usize,
        key: OutboundKey,
        after: Option<RowVersion>,
        wait_us: u64,
        timeout_us: u64,
    ) {
        self.route_reads += 1;
        let result = match after {
            _ if !(self.can_reach_routes)(node) => Err(PlatformError::NotApplied),
            None if !self.are_routes_silent => Ok(RouteUpdate {
                position: Some(self.route_position()),
                table: self.route_table.clone(),
            }),
            _ => {
                let watch = Watch {
                    key,
                    began_us: self.now_us,
                    timeout_us,
                };
                self.nodes[node].watch = Some(watch);
                let end_us = self.now_us + wait_us.max(self.delay_us);
                self.schedule(end_us, node, Delivery::WatchEnd(watch));
                return;
            }
        };
        self.schedule_input(self.delay_us, node, Input::RoutesRead { key, result });
    }

    fn route_position(&self) -> RowVersion {
        self.row_version(self.route_changes)
    }

    /// Answers a read whose wait is over, or lets it time out if the source was silent meanwhile.
    pub(super) fn end_watch(&mut self, node: usize, watch: Watch) {
        let is_lost = self.is_watch_lost(&watch);
        let key = watch.key;
        let result = match is_lost {
            true => Err(PlatformError::Lost),
            false => Ok(RouteUpdate {
                position: Some(self.route_position()),
                table: None,
            }),
        };
        let left_us = match is_lost {
            true => (watch.began_us + watch.timeout_us).saturating_sub(self.now_us),
            false => 0,
        };
        self.schedule_input(left_us, node, Input::RoutesRead { key, result });
    }

    fn is_watch_lost(&self, watch: &Watch) -> bool {
        let lost_us = self.watches_lost_us;
        self.are_routes_silent || lost_us.is_some_and(|lost_us| watch.began_us <= lost_us)
    }

    /// Makes the route source answer no read, or answer reads again that begin from now on.
    pub fn set_routes_silent(&mut self, is_silent: bool) {
        self.are_routes_silent = is_silent;
        self.watches_lost_us = Some(self.now_us);
    }

    /// Restores the route source from an older copy: its versions are assigned again, and reads that
    /// are open stay without an answer.
    pub fn restore_routes(&mut self) {
        self.epoch.0 += 1;
        self.watches_lost_us = Some(self.now_us);
    }

    /// Changes the route table; nodes that wait for a change in this epoch are told of it.
    pub fn publish_routes(&mut self, table: RouteTable) {
        self.route_table = Some(table);
        self.route_changes += 1;
        let update = RouteUpdate {
            position: Some(self.route_position()),
            table: self.route_table.clone(),
        };
        for node in 0..self.nodes.len() {
            let Some(watch) = self.nodes[node].watch else {
                continue;
            };
            if !(self.can_reach_routes)(node) || self.is_watch_lost(&watch) {
                continue;
            }
            let (key, result) = (watch.key, Ok(update.clone()));
            self.schedule_input(self.delay_us, node, Input::RoutesRead { key, result });
        }
    }

    /// Delivers an update of the route table to a node that watches the table.
    pub fn deliver_route_update(&mut self, node: usize, update: RouteUpdate) {
        let watch = self.nodes[node].watch.expect("the node watches the table");
        let (key, result) = (watch.key, Ok(update));
        self.deliver(node, Input::RoutesRead { key, result });
    }
}
