//! Cache of the final answers of claimed requests, for resends.

use std::{
    collections,
    sync, //
};

use tokio::{
    sync::watch,
    time, //
};

use laburnumcart::id;
use laburnumcart_wire::entry;

/// Maximum size of the cache in bytes.
const MAX_BYTES: usize = 64 << 20;

/// Answers by request, limited in bytes; the oldest is evicted first.
#[derive(Debug, Default)]
pub struct Answers {
    inner: sync::Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    slots: collections::HashMap<id::RequestId, watch::Receiver<Option<entry::Answer>>>,
    queue: collections::VecDeque<(id::RequestId, usize, time::Instant)>,
    bytes: usize,
}

/// Slot for the answer of a running request; removed when dropped without an answer.
#[derive(Debug)]
pub struct Slot {
    answers: sync::Arc<Answers>,
    request: id::RequestId,
    sender: watch::Sender<Option<entry::Answer>>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.sender.borrow().is_none() {
            self.answers.lock().slots.remove(&self.request);
        }
    }
}

fn size(answer: &entry::Answer) -> usize {
    match answer {
        entry::Answer::Whole { body } => body.len() + 256,
        _ => 256,
    }
}

impl Answers {
    /// Opens the slot for a request's answer, before the request runs.
    pub fn open(self: &sync::Arc<Self>, request: id::RequestId) -> Slot {
        let (sender, receiver) = watch::channel(None);
        self.lock().slots.insert(request, receiver);
        Slot {
            answers: self.clone(),
            request,
            sender,
        }
    }

    /// Stores the final answer for `period`, or until it is evicted for lack of space.
    pub fn store(&self, slot: Slot, answer: entry::Answer, period: time::Duration) {
        let mut inner = self.lock();
        let bytes = size(&answer);
        let until = time::Instant::now() + period;
        inner.queue.push_back((slot.request, bytes, until));
        inner.bytes += bytes;
        slot.sender.send_replace(Some(answer));
        inner.evict(time::Instant::now());
    }

    /// Waits up to `wait` for the answer of a request.
    pub async fn fetch(&self, request: id::RequestId, wait: time::Duration) -> entry::Answer {
        let Some(mut slot) = self.lock().slots.get(&request).cloned() else {
            return entry::Answer::Unknown;
        };
        match time::timeout(wait, slot.wait_for(Option::is_some)).await {
            Ok(Ok(answer)) => answer.clone().unwrap_or(entry::Answer::Unknown),
            Ok(Err(_)) => entry::Answer::Unknown,
            Err(_) => entry::Answer::Running,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Inner {
    /// Evicts the oldest answers as long as they are expired or the cache is too large.
    fn evict(&mut self, now: time::Instant) {
        while let Some((request, bytes, until)) = self.queue.front().copied() {
            if self.bytes <= MAX_BYTES && until > now {
                return;
            }
            self.queue.pop_front();
            self.slots.remove(&request);
            self.bytes -= bytes;
        }
    }
}
