//! Execution of a request's stages, before the request is sent to its target.

mod admit;
mod announcements;
mod estimates;

use std::{
    collections,
    sync::Arc,
    time, //
};

use futures_util::{
    StreamExt,
    stream, //
};

use laburnumcart::{
    batch,
    event,
    id,
    ingress,
    shedding,
    unit,
    verdict, //
};

use crate::{
    admission,
    dialect,
    dispatcher,
    gateway,
    reply,
    view, //
};

use self::announcements::Announcements;

/// Longest retry delay that is sent with a refusal.
const RETRY_MAX: time::Duration = time::Duration::from_secs(2);

/// Number of failed stages at which the request fails; after fewer, lost inputs are made again.
const FAILURE_LIMIT: usize = 3;

/// Results that the request's target needs; freed when dropped.
pub struct Inputs {
    /// Results of the last stages.
    pub handles: Vec<batch::Handle>,
    /// Data centre and size of each result.
    pub locations: Vec<(id::DataCentre, unit::Size)>,
    _results: Vec<StageResults>,
}

/// Execution of the stages of one request.
struct StageRun<'a> {
    gateway: &'a Arc<gateway::Gateway>,
    request: &'a admission::Request,
    near: Option<id::DataCentre>,
    results: Vec<Option<StageResults>>,
    announcements: Announcements,
    /// Whether the caller retries, or results for the request were lost.
    is_retry: bool,
    /// Whether the request was admitted although it will miss its objective.
    late: bool,
    /// Whether the pieces of each stage were, or may have been, sent before.
    sent_before: Vec<bool>,
}

/// Results of one stage; freed when dropped, as they take room at targets that others wait for.
struct StageResults {
    gateway: Arc<gateway::Gateway>,
    service: id::ServiceName,
    handles: Vec<batch::Handle>,
    /// Queue owner that accounts for their room; `None` for a stage without pieces.
    owner: Option<Arc<view::Member>>,
}

impl Drop for StageResults {
    fn drop(&mut self) {
        if let Some(owner) = &self.owner {
            let handles = std::mem::take(&mut self.handles);
            self.gateway.peers.free(&self.service, owner, handles);
        }
    }
}

/// Runs the stages; a refusal proves that the request itself did not run.
pub async fn run_stages(
    gateway: &Arc<gateway::Gateway>,
    request: &admission::Request,
) -> Result<Inputs, verdict::Refusal> {
    let sent_before = vec![false; request.route.stages.len()];
    run_until_exit(gateway, request, request.is_retry(), sent_before).await
}

/// Runs the stages again, because results were lost before the target used them.
pub async fn rerun_stages(
    gateway: &Arc<gateway::Gateway>,
    request: &admission::Request,
) -> Result<Inputs, verdict::Refusal> {
    let sent_before = vec![true; request.route.stages.len()];
    run_until_exit(gateway, request, true, sent_before).await
}

/// Runs the stages until they end, the deadline passes or the process exits.
async fn run_until_exit(
    gateway: &Arc<gateway::Gateway>,
    request: &admission::Request,
    is_retry: bool,
    sent_before: Vec<bool>,
) -> Result<Inputs, verdict::Refusal> {
    let run = StageRun {
        gateway,
        request,
        near: gateway.preferred_data_centre(request),
        results: request.route.stages.iter().map(|_| None).collect(),
        announcements: Announcements::new(request.route.stages.len()),
        is_retry,
        late: false,
        sent_before,
    };
    let run = tokio::time::timeout(request.remaining(), run.run_all());
    let result = tokio::select! {
        result = run => result,
        // A request that still waits just before the exit is refused while there is time to answer.
        () = gateway.view.wait_for_exit() => {
            return Err(verdict::Refusal::not_run(verdict::Reason::Leaving));
        }
    };
    result
        .unwrap_or(Err(batch::Failure::Late))
        .map_err(|failure| stage_refusal(spread_retry(gateway, request, failure)))
}

/// Adds a random part to the retry time of a refused request, where ranks share the capacity.
fn spread_retry(
    gateway: &gateway::Gateway,
    request: &admission::Request,
    failure: batch::Failure,
) -> batch::Failure {
    match failure {
        batch::Failure::Busy(millis) if gateway.settings.features.shedding.is_some() => {
            let after = time::Duration::from_millis(millis.into());
            let longest = RETRY_MAX.div_f64(1.0 + shedding::JITTER);
            let after = after.clamp(reply::RETRY_AFTER, longest);
            let after = shedding::spread_retry(after, request.remaining(), rand::random());
            batch::Failure::Busy(after.as_millis().try_into().unwrap_or(u32::MAX))
        }
        other => other,
    }
}

fn stage_refusal(failure: batch::Failure) -> verdict::Refusal {
    let reason = match failure {
        batch::Failure::Late | batch::Failure::Busy(_) => verdict::Reason::DeadlineTooShort,
        batch::Failure::Gone | batch::Failure::Failed => verdict::Reason::TargetFailed,
        batch::Failure::Unavailable | batch::Failure::Moved => verdict::Reason::NoTarget,
    };
    let refusal = verdict::Refusal::not_run(reason);
    match failure {
        batch::Failure::Busy(millis) => {
            let after = time::Duration::from_millis(millis.into());
            refusal.retry_after(unit::Period(after.clamp(reply::RETRY_AFTER, RETRY_MAX)))
        }
        _ => refusal,
    }
}

impl StageRun<'_> {
    async fn run_all(mut self) -> Result<Inputs, batch::Failure> {
        self.admit().await?;
        let stages = &self.request.route.stages;
        let mut started = vec![false; stages.len()];
        let mut running = stream::FuturesUnordered::new();
        let mut failures_left = FAILURE_LIMIT;
        loop {
            self.remake_lost(&mut started);
            for (i, is_started) in started.iter_mut().enumerate() {
                if !*is_started && self.is_ready(i) {
                    *is_started = true;
                    running.push(self.run_stage(i));
                }
            }
            let Some((i, result)) = running.next().await else {
                break;
            };
            failures_left -= usize::from(result.is_err());
            match result {
                Ok(results) => self.results[i] = Some(results),
                Err(batch::Failure::Gone) if failures_left > 0 => {
                    self.remake_inputs(i, &mut started)
                }
                Err(failure) => return Err(failure),
            }
        }
        drop(running);
        Ok(self.into_inputs())
    }

    fn piece_count(&self, i: usize) -> u32 {
        self.request.call.pieces.get(i).copied().unwrap_or(0)
    }

    /// Resets a stage and the stages before it, so that the lost inputs of the stage are made again.
    ///
    /// The inputs were lost with their target, or were freed after they were read and a piece then
    /// failed. The inputs of the stages before often still exist.
    fn remake_inputs(&mut self, i: usize, started: &mut [bool]) {
        started[i] = false;
        for k in &self.request.route.stages[i].inputs {
            self.results[*k] = None;
            started[*k] = false;
        }
    }

    /// Resets the stages whose results are still needed but were lost in a restart of their target.
    fn remake_lost(&mut self, started: &mut [bool]) {
        for i in 0..started.len() {
            if self.is_needed(i, started) && self.has_lost_results(i) {
                self.results[i] = None;
                started[i] = false;
            }
        }
    }

    /// Reports whether the results of a stage are still needed, by a stage that has not started or
    /// by the request's target.
    fn is_needed(&self, i: usize, started: &[bool]) -> bool {
        let stages = &self.request.route.stages;
        let mut readers = (0..stages.len()).filter(|k| stages[*k].inputs.contains(&i));
        let is_last = readers.clone().next().is_none();
        is_last || readers.any(|k| !started[k])
    }

    fn has_lost_results(&self, i: usize) -> bool {
        let mut handles = self.results[i].iter().flat_map(|results| &results.handles);
        handles.any(|handle| self.gateway.is_result_lost(handle))
    }

    /// Reports whether a stage is the only reader of its inputs.
    fn consumes_inputs(&self, i: usize) -> bool {
        let stages = &self.request.route.stages;
        let readers = |k: usize| stages.iter().filter(|s| s.inputs.contains(&k)).count();
        self.piece_count(i) > 0 && stages[i].inputs.iter().all(|k| readers(*k) == 1)
    }

    /// Reports whether all inputs of a stage exist.
    fn is_ready(&self, i: usize) -> bool {
        let after = &self.request.route.stages[i].inputs;
        after.iter().all(|k| self.results[*k].is_some())
    }

    /// Returns a future that submits a stage to the queue owner and waits for the results.
    fn run_stage(
        &mut self,
        i: usize,
    ) -> impl Future<Output = (usize, Result<StageResults, batch::Failure>)> + Send + 'static {
        let gateway = self.gateway.clone();
        let stage = &self.request.route.stages[i];
        let service = stage.service.clone();
        let job = self.build_job(i, stage);
        let start = tokio::time::Instant::now();
        async move {
            let stage_results = |handles, owner| StageResults {
                gateway: gateway.clone(),
                service: service.clone(),
                handles,
                owner,
            };
            if job.pieces == 0 {
                return (i, Ok(stage_results(Vec::new(), None)));
            }
            let attempt = job.attempt.clone();
            let result = gateway.peers.submit(job).await;
            event!(
                Info,
                "stage-ended",
                request = attempt,
                stage = i,
                service = service,
                outcome = result
                    .as_ref()
                    .err()
                    .map_or("done".into(), ToString::to_string),
                taken_ms = start.elapsed().as_millis()
            );
            (
                i,
                result.map(|made| stage_results(made.handles, Some(made.owner))),
            )
        }
    }

    fn build_job(&mut self, i: usize, stage: &ingress::Stage) -> dispatcher::Job {
        let request = self.request;
        let input = match stage.inputs.is_empty() {
            true => dialect::Input::Key(request.call.input_key.clone().unwrap_or_default()),
            false => dialect::Input::Results(self.result_handles(&stage.inputs)),
        };
        // A request that will be late anyway must not delay those that can be on time.
        let due = match self.late {
            true => time::Duration::ZERO,
            false => request.slack().saturating_sub(self.time_after(i)),
        };
        let (near, moved) = self.preferred_data_centre(i);
        dispatcher::Job {
            id: self.announcements.take_id(i).unwrap_or_else(rand::random),
            attempt: request.call.attempt.clone(),
            stage: i as u32,
            service: stage.service.clone(),
            pieces: self.piece_count(i),
            size: stage.result_size,
            input,
            due: unit::Period(due),
            deadline: unit::Period(request.remaining().saturating_sub(self.time_after(i))),
            rank: request.batch_rank(),
            near,
            moved,
            places: request.data_centres.clone(),
            consumes: self.consumes_inputs(i),
            last: false,
            arrival: self.arrival(i),
            content: Some(request.stage_fingerprint(&stage.service)),
        }
    }

    /// Returns how a new job of a stage counts in the retry budget, and marks the stage as sent.
    fn arrival(&mut self, i: usize) -> dispatcher::Arrival {
        let is_repeated = std::mem::replace(&mut self.sent_before[i], true);
        match (is_repeated, self.is_first_arrival(i)) {
            (true, _) => dispatcher::Arrival::Repeated,
            (false, true) => dispatcher::Arrival::First,
            (false, false) => dispatcher::Arrival::Further,
        }
    }

    /// Reports whether no earlier stage and not the request itself is counted at a stage's service.
    fn is_first_arrival(&self, i: usize) -> bool {
        let route = &self.request.route;
        let service = &route.stages[i].service;
        let mut before = (0..i).filter(|k| self.piece_count(*k) > 0);
        let is_other = |k: usize| route.stages[k].service != *service;
        before.all(is_other) && route.choose_backend(0) != Some(service)
    }

    /// Returns the preferred data centre of a stage, and the bytes that are sent between data
    /// centres if it is executed in another one.
    ///
    /// Each piece reads all inputs of the stage, which are often far larger than its results.
    fn preferred_data_centre(&self, i: usize) -> (Option<id::DataCentre>, unit::Size) {
        let stages = &self.request.route.stages;
        let mut bytes: collections::HashMap<id::DataCentre, u64> = collections::HashMap::new();
        if let Some(near) = &self.near {
            bytes.insert(near.clone(), stages[i].result_size.0);
        }
        for k in &stages[i].inputs {
            let results = self.results[*k].iter().flat_map(|results| &results.handles);
            for data_centre in results.filter_map(|handle| self.data_centre(handle)) {
                *bytes.entry(data_centre).or_default() += stages[*k].result_size.0;
            }
        }
        let pieces = u64::from(self.piece_count(i));
        let best = bytes.into_iter().max_by_key(|(_, bytes)| *bytes);
        best.map_or((None, unit::Size(0)), |(data_centre, bytes)| {
            (Some(data_centre), unit::Size(bytes.saturating_mul(pieces)))
        })
    }

    fn result_handles(&self, stages: &[usize]) -> Vec<batch::Handle> {
        let results = stages.iter().filter_map(|k| self.results[*k].as_ref());
        results.flat_map(|h| h.handles.iter().cloned()).collect()
    }

    /// Returns the results of the last stages and frees the others.
    fn into_inputs(mut self) -> Inputs {
        let route = &self.request.route;
        let mut inputs = Inputs {
            handles: Vec::new(),
            locations: Vec::new(),
            _results: Vec::new(),
        };
        for i in route.last_stages() {
            let Some(results) = self.results[i].take() else {
                continue;
            };
            for handle in &results.handles {
                let location = self
                    .data_centre(handle)
                    .map(|data_centre| (data_centre, route.stages[i].result_size));
                inputs.locations.extend(location);
            }
            inputs.handles.extend(results.handles.iter().cloned());
            inputs._results.push(results);
        }
        inputs
    }

    fn data_centre(&self, handle: &batch::Handle) -> Option<id::DataCentre> {
        let addr = self.gateway.dialect.result_addr(handle)?;
        let targets = self.gateway.view.targets.load();
        Some(targets.find(&addr, handle.life)?.data_centre.clone())
    }
}
