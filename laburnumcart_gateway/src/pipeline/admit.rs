//! Whether the stages of a request are begun at all.

use std::time;

use laburnumcart::{
    batch,
    event,
    forecast,
    id,
    ingress,
    unit, //
};

use crate::{
    dispatcher,
    pipeline::Run, //
};

impl Run<'_> {
    /// Tells the owners of the stages' queues of their jobs, and judges the request by what they
    /// say.
    pub(super) async fn admit(&mut self) -> Result<(), batch::Failure> {
        let stages = &self.request.route.stages;
        if !(0..stages.len()).all(|i| self.pieces(i) == 0 || self.has_target(&stages[i].service)) {
            return Err(batch::Failure::Unavailable);
        }
        let needed = (0..stages.len()).filter(|i| self.pieces(*i) > 0);
        let notices: Vec<_> = needed.map(|i| (i, self.notice(i, &stages[i]))).collect();
        let asked: Vec<_> = notices.iter().map(|(i, _)| *i).collect();
        let outlooks = self.notices.announce(self.gateway, notices).await;
        let mut steps: Vec<_> = (0..stages.len()).map(|i| self.step(i)).collect();
        for (i, outlook) in asked.into_iter().zip(outlooks) {
            steps[i].estimate = outlook;
        }
        let time = forecast::TimeBudget {
            slack: self.request.slack(),
            left: self.request.left(),
            rest: self.prompt(),
            is_repeat: self.again,
        };
        match forecast::judge(&steps, time) {
            forecast::Judgement::OnTime => Ok(()),
            forecast::Judgement::Late => {
                self.late = true;
                self.notices.withdraw();
                self.report("late", &steps, time);
                Ok(())
            }
            forecast::Judgement::Refused(after) => {
                self.gateway.metrics.refused_early.inc();
                self.report("refused", &steps, time);
                let millis = after.as_millis().try_into().unwrap_or(u32::MAX);
                Err(batch::Failure::Busy(millis))
            }
        }
    }

    fn step(&self, i: usize) -> forecast::Stage {
        let own = match self.pieces(i) {
            0 => time::Duration::ZERO,
            _ => self.length(i),
        };
        forecast::Stage {
            after: self.request.route.stages[i].inputs.clone(),
            duration: own,
            estimate: None,
        }
    }

    fn report(&self, judgement: &str, steps: &[forecast::Stage], time: forecast::TimeBudget) {
        let turn = |step: &forecast::Stage| {
            let turn = step.estimate.map(|outlook| outlook.turn.0);
            turn.map_or("?".into(), |turn| turn.as_millis().to_string())
        };
        let turns: Vec<_> = steps.iter().map(turn).collect();
        event!(
            Info,
            "forecast",
            request = self.request.call.attempt,
            judgement = judgement,
            queues_ms = turns.join(","),
            slack_ms = time.slack.as_millis(),
            left_ms = time.left.as_millis(),
            again = time.is_repeat
        );
    }

    fn notice(&self, i: usize, stage: &ingress::Stage) -> dispatcher::Notice {
        let request = self.request;
        let rest = self.rest(i);
        dispatcher::Notice {
            id: rand::random(),
            service: stage.service.clone(),
            pieces: self.pieces(i),
            size: stage.result_size,
            due: unit::Period(request.slack().saturating_sub(rest)),
            deadline: unit::Period(request.left().saturating_sub(rest)),
            rank: request.urgency(),
        }
    }

    /// Reports whether a service has a target where the request may run.
    ///
    /// Without one the job of a confined request would wait for its deadline, behind targets that
    /// are free.
    fn has_target(&self, service: &id::ServiceName) -> bool {
        let Some(places) = &self.request.places else {
            return true;
        };
        let targets = self.gateway.view.targets.load();
        let mut targets = targets.service(service).iter();
        targets.any(|target| places.contains(&target.data_centre))
    }
}
