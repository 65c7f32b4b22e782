//! What the engines of a service report of their speed, and what their answers show of it.

use std::time;

use tokio::time::Instant;

use crate::{
    placement::{
        Assignment,
        EngineKey,
        Engines, //
    },
    speed, //
};

impl Engines {
    /// Sets whether engines are chosen by their speed while they report their slowdown.
    pub fn set_speed(&mut self, enabled: bool) {
        self.speed.set_enabled(enabled);
    }

    /// Records the slowdown that an engine reports; returns whether a fault is to be logged.
    pub fn record_figure(&mut self, key: EngineKey, figure: speed::Figure, now: Instant) -> bool {
        let speed = &mut self.speed;
        let engine = self.engines.get_mut(key);
        engine.is_some_and(|engine| speed.record_figure(&mut engine.speed, figure, now))
    }

    /// Records the time from sending a request to its first token.
    pub fn record_answer_time(
        &mut self,
        assignment: Assignment,
        taken: time::Duration,
        now: Instant,
    ) {
        if let Some(engine) = self.engines.get_mut(assignment.engine) {
            let estimate = &mut engine.speed;
            self.speed
                .record_first_token(estimate, assignment.expected, taken, now);
        }
    }

    /// Records the mean pause between the events of a stream.
    pub fn record_pause(&mut self, key: EngineKey, pause: time::Duration, now: Instant) {
        if let Some(engine) = self.engines.get_mut(key) {
            self.speed.record_pause(&mut engine.speed, pause, now);
        }
    }

    /// Updates the speeds, about once a second; see [`speed::Service::update`].
    pub fn update_speed(&mut self, now: Instant) -> (Vec<EngineKey>, Option<bool>) {
        let estimates = self.engines.iter_mut();
        let estimates = estimates.map(|(key, engine)| (key, &mut engine.speed));
        self.speed.update(estimates, now)
    }

    /// Reports whether engines are chosen by their speed.
    pub fn uses_speed(&self) -> bool {
        self.speed.is_active()
    }

    /// Lists the estimated speeds.
    pub fn speeds(&self) -> impl Iterator<Item = (EngineKey, &speed::Estimate)> {
        self.engines.iter().map(|(key, e)| (key, &e.speed))
    }
}
