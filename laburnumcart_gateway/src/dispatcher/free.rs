//! Calls that free results at their targets.

use std::{
    sync::Arc,
    time, //
};

use tokio::time::Instant;

use laburnumcart::{
    batch,
    event,
    id, //
};

use crate::{
    dispatcher::{
        Dispatcher,
        owned_queue::OwnedQueue, //
    },
    outbound,
    pool,
    view, //
};

/// Time for which results to free at one target are collected into one call.
const FREE_DELAY: time::Duration = time::Duration::from_millis(10);

/// Timeout of a call that frees results, which also expire without it.
const FREE_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

impl Dispatcher {
    /// Schedules a task that frees the collected results, unless one is scheduled.
    pub(super) fn schedule_flush(
        self: &Arc<Self>,
        service: &id::ServiceName,
        owned: &mut OwnedQueue,
    ) {
        if owned.flush_scheduled || owned.to_free.is_empty() {
            return;
        }
        owned.flush_scheduled = true;
        let (dispatcher, service) = (self.clone(), service.clone());
        tokio::spawn(async move {
            tokio::time::sleep(FREE_DELAY).await;
            dispatcher.flush(&service);
        });
    }

    fn flush(self: &Arc<Self>, service: &id::ServiceName) {
        let mut queues = view::lock(&self.queues);
        let Some(owned) = queues.get_mut(service) else {
            return;
        };
        owned.flush_scheduled = false;
        let targets = self.view.targets.load();
        let now = Instant::now();
        for (holder, handles) in std::mem::take(&mut owned.to_free) {
            let (addr, life) = holder;
            let Some(target) = targets.find(&addr, life) else {
                // The target has restarted or is gone, and its results with it.
                continue;
            };
            // A target that executes no more pieces needs no room.
            if target.leaving {
                continue;
            }
            let limiter = self.call_limiter(target);
            // The last request that the limit allows is left to a call that executes pieces;
            // results expire without being freed.
            if !limiter.has_spare(now) {
                owned.defer_free(holder, handles);
                continue;
            }
            limiter.record_send(now);
            let bounds = self.connection_bounds(service);
            tokio::spawn(free(
                self.clone(),
                service.clone(),
                target.clone(),
                handles,
                bounds,
            ));
        }
    }
}

/// Frees results at their target.
async fn free(
    dispatcher: Arc<Dispatcher>,
    service: id::ServiceName,
    target: Arc<view::Target>,
    handles: Vec<batch::Handle>,
    bounds: pool::Bounds,
) {
    let request = dispatcher.dialect.encode_free(&target.name, &handles);
    let exchange = async {
        let outgoing = outbound::Outgoing {
            request,
            label: None,
            deadline: None,
            connected: None,
        };
        let sent = dispatcher.outbound.send(&target, outgoing, &bounds).await;
        let outbound::Received { response, head } = sent?;
        response.read_all(head.idle_timeout).await
    };
    let result = tokio::time::timeout(FREE_TIMEOUT, exchange).await;
    if !matches!(result, Ok(Ok(_))) {
        // Their room stays accounted until they expire.
        event!(
            Warn,
            "free-failed",
            target = target.name,
            results = handles.len()
        );
        return;
    }
    if let Some(owned) = view::lock(&dispatcher.queues).get_mut(&service) {
        for handle in &handles {
            owned.queue.free_result(handle);
        }
    }
    dispatcher.dispatch_calls(&service);
}
