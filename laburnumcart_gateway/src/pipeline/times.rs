//! How long the steps of a request usually take.

use std::time;

use crate::pipeline::Run;

/// Time that a later stage takes beside its call: the wait for a free target.
const WAIT: time::Duration = time::Duration::from_millis(60);

/// Time to the first token beside the reading of the prompt.
const FIRST_TOKEN: time::Duration = time::Duration::from_millis(120);

/// Prompt tokens read in a millisecond, with other prompts between.
const TOKENS_PER_MS: u64 = 30;

impl Run<'_> {
    /// Returns the time that is needed once stage `i` is done.
    pub(super) fn rest(&self, i: usize) -> time::Duration {
        let stages = &self.request.route.stages;
        let next = (0..stages.len()).filter(|k| stages[*k].inputs.contains(&i));
        let after = next.map(|k| self.length(k) + self.rest(k)).max();
        after.unwrap_or_else(|| self.prompt())
    }

    /// Returns the time that a stage usually takes.
    pub(super) fn length(&self, k: usize) -> time::Duration {
        let stage = &self.request.route.stages[k];
        let service = self.request.table.service(&stage.service);
        let Some(shape) = service.and_then(|s| s.batching) else {
            return time::Duration::ZERO;
        };
        // Calls are about half full in the mean.
        let pieces = shape.pieces.div_ceil(2) as u32;
        shape.call_time + shape.piece_time * pieces + WAIT
    }

    /// Returns the usual time to the first token.
    pub(super) fn prompt(&self) -> time::Duration {
        let tokens = self.request.call.prompt.as_ref().map_or(0, |p| p.input);
        FIRST_TOKEN + time::Duration::from_millis(tokens / TOKENS_PER_MS)
    }
}
