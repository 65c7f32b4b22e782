//! Progress of a call whose answer may be large.

use tokio::{
    sync::watch,
    time::Instant, //
};

#[derive(Clone, Copy, Debug, Default)]
struct Received {
    bytes: usize,
    /// Size of the answer, as its head tells; zero if unknown.
    announced: usize,
    last: Option<Instant>,
}

/// Bytes of an answer that have arrived, shared by the client and whoever waits for the answer.
///
/// An answer that is large or passes a slow link takes long; a silent connection stays without
/// progress.
#[derive(Clone, Debug, Default)]
pub struct Progress(watch::Sender<Received>);

impl Progress {
    /// Records that some bytes have arrived.
    pub fn record(&self, bytes: usize) {
        self.0.send_modify(|received| {
            received.bytes += bytes;
            received.last = Some(Instant::now());
        });
    }

    /// Records the size of an answer that has begun to arrive.
    pub fn announce(&self, size: usize) {
        self.0.send_modify(|received| received.announced = size);
    }

    /// Waits until the answer is known to be larger than `size`.
    pub async fn exceeds(&self, size: usize) {
        let mut received = self.0.subscribe();
        let is_larger = |received: &Received| received.bytes.max(received.announced) > size;
        // Never an error, because this value owns a sender.
        let _ = received.wait_for(is_larger).await;
    }

    /// Returns the number of bytes that have arrived.
    pub fn bytes(&self) -> usize {
        self.received().bytes
    }

    /// Returns when the last bytes arrived.
    pub fn last(&self) -> Option<Instant> {
        self.received().last
    }

    fn received(&self) -> Received {
        *self.0.borrow()
    }
}
