//! Freeing of results at their targets.

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
        line::Line, //
    },
    outbound,
    pool,
    view, //
};

/// Time in which the results to free at one target are collected into one call.
const FREE_DELAY: time::Duration = time::Duration::from_millis(10);

/// Longest time for a call that frees results; they expire by themselves in any case.
const FREE_LIMIT: time::Duration = time::Duration::from_millis(1500);

impl Dispatcher {
    /// Frees what has been collected, after a short while.
    pub(super) fn flush_later(self: &Arc<Self>, service: &id::ServiceName, line: &mut Line) {
        if line.flushing || line.frees.is_empty() {
            return;
        }
        line.flushing = true;
        let (dispatcher, service) = (self.clone(), service.clone());
        tokio::spawn(async move {
            tokio::time::sleep(FREE_DELAY).await;
            dispatcher.flush(&service);
        });
    }

    fn flush(self: &Arc<Self>, service: &id::ServiceName) {
        let mut lines = view::lock(&self.lines);
        let Some(line) = lines.get_mut(service) else {
            return;
        };
        line.flushing = false;
        let targets = self.view.targets.load();
        let now = Instant::now();
        for (holder, handles) in std::mem::take(&mut line.frees) {
            let (addr, life) = holder;
            let Some(target) = targets.find(&addr, life) else {
                // Its results have gone with that life of the target.
                continue;
            };
            // Nobody needs the room of a target that makes nothing any more.
            if target.leaving {
                continue;
            }
            let gate = self.gate(target);
            // Without its last request it would make nothing; results expire by themselves.
            if !gate.has_spare(now) {
                line.keep(holder, handles);
                continue;
            }
            gate.record_send(now);
            let bounds = self.bounds(service);
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
    let sent = async {
        let sent = dispatcher
            .outbound
            .send(&target, request, &bounds, None)
            .await;
        let outbound::Received {
            response: answer,
            head: reply,
        } = sent?;
        answer.read_all(reply.idle_timeout).await
    };
    let result = tokio::time::timeout(FREE_LIMIT, sent).await;
    if !matches!(result, Ok(Ok(_))) {
        // They expire by themselves; until then their room stays accounted.
        event!(
            Warn,
            "free-failed",
            target = target.name,
            results = handles.len()
        );
        return;
    }
    if let Some(line) = view::lock(&dispatcher.lines).get_mut(&service) {
        for handle in &handles {
            line.queue.free_result(handle);
        }
    }
    dispatcher.pump(&service);
}
