//! Events of the model.

use laburnumcart::id;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    SendSound,
    SendCrashing {
        part: usize,
    },
    Admit {
        request: usize,
        since: u64,
    },
    /// A request completes, or crashes its target.
    End {
        request: usize,
    },
    /// A target has gone on for a while after the start of a response.
    Survive {
        request: usize,
    },
    Notice {
        gateway: usize,
        request: usize,
        failed: u64,
    },
    Completed {
        gateway: usize,
        cause: id::Fingerprint,
        at: u64,
    },
    Return {
        target: usize,
    },
    TrialEnd {
        request: usize,
    },
    /// A number of targets crash at once.
    Rack {
        size: usize,
    },
}
