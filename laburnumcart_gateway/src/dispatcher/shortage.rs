//! Log lines and metrics of shortages.

use laburnumcart::{
    event,
    id,
    shedding, //
};

use crate::dispatcher::{
    Dispatcher,
    owned_queue::OwnedQueue, //
};

impl Dispatcher {
    /// Reports the beginning or the end of a shortage of a queue.
    pub(super) fn report_shortage(&self, service: &id::ServiceName, owned: &mut OwnedQueue) {
        match owned.queue.take_shortage_change() {
            None => {}
            Some(shedding::Change::Began { offered, ranks }) => {
                self.metrics.shortages.begun.inc();
                self.metrics.shortages.current.inc();
                event!(
                    Warn,
                    "shortage-began",
                    service = service,
                    offered_percent = (offered * 100.0) as u64,
                    ranks = ranks,
                    waiting = owned.queue.waiting_pieces()
                );
            }
            Some(shedding::Change::Ended(lasted)) => {
                self.metrics.shortages.current.dec();
                event!(
                    Info,
                    "shortage-ended",
                    service = service,
                    lasted_ms = lasted.as_millis(),
                    waiting = owned.queue.waiting_pieces()
                );
            }
        }
    }
}
