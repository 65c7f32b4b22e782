//! Estimated times of a request's stages and of the first token.

use std::time;

use crate::pipeline::StageRun;

/// Estimated wait of a stage for a free target.
const QUEUE_WAIT: time::Duration = time::Duration::from_millis(60);

/// Estimated time to the first token, without the prefill of the prompt.
const FIRST_TOKEN_BASE: time::Duration = time::Duration::from_millis(120);

/// Prompt tokens that an engine prefills in a millisecond, interleaved with other prompts.
const TOKENS_PER_MS: u64 = 30;

impl StageRun<'_> {
    /// Returns the estimated time from the end of stage `i` to the first token.
    pub(super) fn time_after(&self, i: usize) -> time::Duration {
        let stages = &self.request.route.stages;
        let next = (0..stages.len()).filter(|k| stages[*k].inputs.contains(&i));
        let after = next.map(|k| self.stage_time(k) + self.time_after(k)).max();
        after.unwrap_or_else(|| self.first_token_time())
    }

    /// Returns the estimated time of a stage.
    pub(super) fn stage_time(&self, k: usize) -> time::Duration {
        let stage = &self.request.route.stages[k];
        let service = self.request.table.service(&stage.service);
        let Some(batching) = service.and_then(|s| s.batching) else {
            return time::Duration::ZERO;
        };
        // Calls are about half full on average.
        let pieces = batching.pieces.div_ceil(2) as u32;
        batching.call_time + batching.piece_time * pieces + QUEUE_WAIT
    }

    /// Returns the estimated time from the end of the stages to the first token.
    pub(super) fn first_token_time(&self) -> time::Duration {
        let tokens = self.request.call.prompt.as_ref().map_or(0, |p| p.input);
        FIRST_TOKEN_BASE + time::Duration::from_millis(tokens / TOKENS_PER_MS)
    }
}
