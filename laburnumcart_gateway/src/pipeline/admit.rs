//! Admission of a request by estimates of the queues of its stages.

use std::time;

use laburnumcart::{
    batch,
    event,
    forecast,
    ingress,
    unit, //
};

use crate::{
    dispatcher,
    pipeline::StageRun, //
};

impl StageRun<'_> {
    /// Announces the jobs to the queue owners, and admits or refuses the request by the estimates
    /// that they return.
    pub(super) async fn admit(&mut self) -> Result<(), batch::Failure> {
        let stages = &self.request.route.stages;
        if !(0..stages.len()).all(|i| {
            let service = &stages[i].service;
            self.piece_count(i) == 0 || self.gateway.can_run_stage(self.request, service)
        }) {
            return Err(batch::Failure::Unavailable);
        }
        let needed = (0..stages.len()).filter(|i| self.piece_count(*i) > 0);
        let announcements: Vec<_> = needed
            .map(|i| (i, self.announcement(i, &stages[i])))
            .collect();
        let indices: Vec<_> = announcements.iter().map(|(i, _)| *i).collect();
        let estimates = self
            .announcements
            .announce(self.gateway, announcements)
            .await;
        let mut forecast_stages: Vec<_> =
            (0..stages.len()).map(|i| self.forecast_stage(i)).collect();
        for (i, estimate) in indices.into_iter().zip(estimates) {
            forecast_stages[i].estimate = estimate;
        }
        let time = forecast::TimeBudget {
            slack: self.request.slack(),
            remaining: self.request.remaining(),
            rest: self.first_token_time(),
            is_repeat: self.is_retry,
        };
        match forecast::judge(&forecast_stages, time) {
            forecast::Judgement::OnTime => Ok(()),
            forecast::Judgement::Late => {
                self.late = true;
                self.announcements.withdraw();
                self.log_judgement("late", &forecast_stages, time);
                Ok(())
            }
            forecast::Judgement::Refused(after) => {
                self.gateway.metrics.refused_early.inc();
                self.log_judgement("refused", &forecast_stages, time);
                let millis = after.as_millis().try_into().unwrap_or(u32::MAX);
                Err(batch::Failure::Busy(millis))
            }
        }
    }

    fn forecast_stage(&self, i: usize) -> forecast::Stage {
        let own = match self.piece_count(i) {
            0 => time::Duration::ZERO,
            _ => self.stage_time(i),
        };
        forecast::Stage {
            after: self.request.route.stages[i].inputs.clone(),
            duration: own,
            estimate: None,
        }
    }

    fn log_judgement(
        &self,
        judgement: &str,
        forecast_stages: &[forecast::Stage],
        time: forecast::TimeBudget,
    ) {
        let queue_time = |stage: &forecast::Stage| {
            let time = stage.estimate.map(|estimate| estimate.by_rank.0);
            time.map_or("?".into(), |time| time.as_millis().to_string())
        };
        let queue_times: Vec<_> = forecast_stages.iter().map(queue_time).collect();
        event!(
            Info,
            "forecast",
            request = self.request.call.attempt,
            judgement = judgement,
            queues_ms = queue_times.join(","),
            slack_ms = time.slack.as_millis(),
            left_ms = time.remaining.as_millis(),
            again = time.is_repeat
        );
    }

    fn announcement(&self, i: usize, stage: &ingress::Stage) -> dispatcher::Announcement {
        let request = self.request;
        let rest = self.time_after(i);
        dispatcher::Announcement {
            id: rand::random(),
            service: stage.service.clone(),
            pieces: self.piece_count(i),
            size: stage.result_size,
            due: unit::Period(request.slack().saturating_sub(rest)),
            deadline: unit::Period(request.remaining().saturating_sub(rest)),
            rank: request.batch_rank(),
        }
    }
}
