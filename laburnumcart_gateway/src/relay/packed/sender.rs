//! Sender of packed answers, with a bound on the large ones that are sent at a time.

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use tokio::{
    sync::Notify,
    time::Instant, //
};

use laburnumcart::event;
use laburnumcart_platform::store;

use crate::{
    relay::{
        Answer,
        FollowRequest,
        Topic,
        packed::{
            self,
            Accept,
            Checksum,
            Data,
            PART_BYTES,
            Packed,
            PartRequest,
            TransferId, //
        }, //
    },
    view, //
};

/// Number of transfers of several parts that one process serves at a time.
///
/// With a part each, they delay other messages on a link of 10 Mbit/s by 50 ms.
const TRANSFERS_MAX: usize = 4;

/// Longest time for which a request for a part waits until its transfer may begin.
const TURN_WAIT: time::Duration = time::Duration::from_millis(200);

/// Time without a request after which a transfer has ended.
const TRANSFER_IDLE: time::Duration = time::Duration::from_millis(300);

/// Number of packed answers that are kept, as many callers ask for the same one.
const KEPT_MAX: usize = 8;

/// What a packed answer was made from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Origin {
    topic: Topic,
    after: Option<store::Revision>,
    base: Option<store::Version>,
    revision: store::Revision,
}

#[derive(Clone, Debug)]
struct Kept {
    origin: Origin,
    checksum: Checksum,
    bytes: Arc<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    /// Packed answers, the newest last.
    kept: collections::VecDeque<Kept>,
    /// Transfers in progress, with the time of their last request.
    transfers: collections::HashMap<TransferId, Instant>,
}

impl State {
    /// Counts a transfer as in progress; returns whether it may be.
    fn begin(&mut self, transfer: TransferId, now: Instant) -> bool {
        self.transfers.retain(|_, last| now < *last + TRANSFER_IDLE);
        let has_begun = self.transfers.contains_key(&transfer);
        let may_begin = has_begun || self.transfers.len() < TRANSFERS_MAX;
        if may_begin {
            self.transfers.insert(transfer, now);
        }
        may_begin
    }
}

/// Packs answers and sends their parts.
#[derive(Debug, Default)]
pub(in crate::relay) struct Sender {
    state: Mutex<State>,
    /// Wakes callers when a transfer has ended.
    ended: Notify,
}

impl Sender {
    /// Packs an answer for a caller that accepts that.
    ///
    /// The first part is empty if the answer needs several parts and too many others are sent.
    pub(in crate::relay) fn pack(
        &self,
        request: &FollowRequest,
        accept: Accept,
        answer: Answer,
        base: Option<&store::Object>,
    ) -> Answer {
        let (listing, revision, age) = match &answer {
            Answer::Listing(listing) => (true, listing.revision, listing.age),
            Answer::Changes(changes) => (false, changes.revision, changes.age),
            _ => return answer,
        };
        let origin = Origin {
            topic: request.topic,
            after: request.after,
            base: base.as_ref().map(|base| base.version),
            revision,
        };
        let Some(kept) = self.get_or_pack(origin, &answer, base) else {
            return answer;
        };
        let is_small = kept.bytes.len() <= PART_BYTES;
        let now = Instant::now();
        let may_begin = is_small || view::lock(&self.state).begin(accept.transfer, now);
        let first = match may_begin {
            true => part_of(&kept.bytes, 0),
            false => Data::default(),
        };
        Answer::Packed(Packed {
            listing,
            revision,
            age,
            base: origin.base,
            size: kept.bytes.len(),
            checksum: kept.checksum,
            first,
        })
    }

    fn get_or_pack(
        &self,
        origin: Origin,
        answer: &Answer,
        base: Option<&store::Object>,
    ) -> Option<Kept> {
        let find = |state: &State| state.kept.iter().find(|k| k.origin == origin).cloned();
        if let Some(kept) = find(&view::lock(&self.state)) {
            return Some(kept);
        }
        let bytes = match packed::pack(&packed::events(answer)?, base) {
            Ok(bytes) => bytes,
            Err(error) => {
                event!(
                    Error,
                    "answer-not-packed",
                    topic = origin.topic,
                    error = error
                );
                return None;
            }
        };
        let kept = Kept {
            origin,
            checksum: Checksum::of(&bytes),
            bytes: Arc::new(bytes),
        };
        let mut state = view::lock(&self.state);
        state.kept.push_back(kept.clone());
        if state.kept.len() > KEPT_MAX {
            state.kept.pop_front();
        }
        Some(kept)
    }

    /// Returns a part, which is empty if the transfer may not begin yet.
    ///
    /// Returns `None` if the answer is not kept any more.
    pub(in crate::relay) async fn part(&self, request: &PartRequest) -> Option<Data> {
        let end = Instant::now() + TURN_WAIT;
        loop {
            let ended = self.ended.notified();
            if let Some(part) = self.part_now(request)? {
                return Some(part);
            }
            if tokio::time::timeout_at(end, ended).await.is_err() {
                return Some(self.part_now(request)?.unwrap_or_default());
            }
        }
    }

    /// Returns a part if its transfer may be in progress.
    fn part_now(&self, request: &PartRequest) -> Option<Option<Data>> {
        let mut state = view::lock(&self.state);
        let kept = state.kept.iter().rev();
        let kept = kept.clone().find(|k| k.checksum == request.checksum)?;
        let bytes = kept.bytes.clone();
        if request.offset >= bytes.len() {
            return None;
        }
        if !state.begin(request.transfer, Instant::now()) {
            return Some(None);
        }
        if request.offset + PART_BYTES >= bytes.len() {
            state.transfers.remove(&request.transfer);
            self.ended.notify_waiters();
        }
        Some(Some(part_of(&bytes, request.offset)))
    }
}

fn part_of(bytes: &[u8], offset: usize) -> Data {
    let end = (offset + PART_BYTES).min(bytes.len());
    Data(bytes[offset.min(end)..end].to_vec())
}
