//! Runs the stages of a request before it goes to its target.

mod admit;
mod notices;
mod times;

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

use self::notices::Notices;

/// Longest time after which a refused caller is told to come again.
const RETRY_MAX: time::Duration = time::Duration::from_secs(2);

/// Failures of stages that a request survives, less one: their inputs are made again.
const TRIES: usize = 3;

/// Results that a target needs; freed when dropped.
pub struct Inputs {
    /// Results of the last stages.
    pub handles: Vec<batch::Handle>,
    /// Sizes by data centre.
    pub places: Vec<(id::DataCentre, unit::Size)>,
    _held: Vec<Held>,
}

/// One run of the stages of a request.
struct Run<'a> {
    gateway: &'a Arc<gateway::Gateway>,
    request: &'a admission::Request,
    near: Option<id::DataCentre>,
    results: Vec<Option<Held>>,
    notices: Notices,
    /// Whether its caller was refused before, or work was done for it in vain.
    again: bool,
    /// Whether it was admitted although it will be late.
    late: bool,
    /// Stages whose pieces were, or may have been, sent before.
    asked: Vec<bool>,
}

/// Results of one stage, freed when dropped.
struct Held {
    gateway: Arc<gateway::Gateway>,
    service: id::ServiceName,
    handles: Vec<batch::Handle>,
    /// Process that accounts for their room; none for a stage without pieces.
    owner: Option<Arc<view::Member>>,
}

impl Drop for Held {
    /// Frees the results: they take room at their target that other requests wait for.
    fn drop(&mut self) {
        if let Some(owner) = &self.owner {
            let handles = std::mem::take(&mut self.handles);
            self.gateway.peers.free(&self.service, owner, handles);
        }
    }
}

/// Runs the stages; a refusal is a proof that the request itself did not run.
pub async fn run(
    gateway: &Arc<gateway::Gateway>,
    request: &admission::Request,
) -> Result<Inputs, verdict::Refusal> {
    let asked = vec![false; request.route.stages.len()];
    run_as(gateway, request, request.is_again(), asked).await
}

/// Runs the stages once more, as their results have disappeared before they were used.
pub async fn run_again(
    gateway: &Arc<gateway::Gateway>,
    request: &admission::Request,
) -> Result<Inputs, verdict::Refusal> {
    let asked = vec![true; request.route.stages.len()];
    run_as(gateway, request, true, asked).await
}

/// Runs the stages; with `again`, a request is taken that will be late. `asked` are the stages
/// whose pieces were sent before.
async fn run_as(
    gateway: &Arc<gateway::Gateway>,
    request: &admission::Request,
    again: bool,
    asked: Vec<bool>,
) -> Result<Inputs, verdict::Refusal> {
    let run = Run {
        gateway,
        request,
        near: gateway.near(request),
        results: request.route.stages.iter().map(|_| None).collect(),
        notices: Notices::new(request.route.stages.len()),
        again,
        late: false,
        asked,
    };
    let finish = tokio::time::timeout(request.left(), run.finish());
    let result = tokio::select! {
        result = finish => result,
        // A request that waits when the process must exit is refused while there is time.
        () = gateway.view.exiting() => {
            return Err(verdict::Refusal::not_run(verdict::Reason::Leaving));
        }
    };
    result.unwrap_or(Err(batch::Failure::Late)).map_err(refusal)
}

fn refusal(failure: batch::Failure) -> verdict::Refusal {
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

impl Run<'_> {
    async fn finish(mut self) -> Result<Inputs, batch::Failure> {
        self.admit().await?;
        let stages = &self.request.route.stages;
        let mut started = vec![false; stages.len()];
        let mut running = stream::FuturesUnordered::new();
        let mut tries = TRIES;
        loop {
            self.drop_lost(&mut started);
            for (i, begun) in started.iter_mut().enumerate() {
                if !*begun && self.is_ready(i) {
                    *begun = true;
                    running.push(self.stage(i));
                }
            }
            let Some((i, result)) = running.next().await else {
                break;
            };
            tries -= usize::from(result.is_err());
            match result {
                Ok(held) => self.results[i] = Some(held),
                Err(batch::Failure::Gone) if tries > 0 => self.forget(i, &mut started),
                Err(failure) => return Err(failure),
            }
        }
        drop(running);
        Ok(self.collect())
    }

    /// Returns the number of pieces of a stage.
    fn pieces(&self, i: usize) -> u32 {
        self.request.call.pieces.get(i).copied().unwrap_or(0)
    }

    /// Has the inputs of a stage made again, as they have disappeared.
    ///
    /// They were at a target that has gone, or were freed when they had been read and a piece then
    /// failed. What those inputs were made of often still exists.
    fn forget(&mut self, i: usize, started: &mut [bool]) {
        started[i] = false;
        for k in &self.request.route.stages[i].inputs {
            self.results[*k] = None;
            started[*k] = false;
        }
    }

    /// Has the results made again that are still to be read and whose target has started again
    /// since it made them.
    fn drop_lost(&mut self, started: &mut [bool]) {
        for i in 0..started.len() {
            if self.is_unread(i, started) && self.is_lost(i) {
                self.results[i] = None;
                started[i] = false;
            }
        }
    }

    /// Reports whether a stage that has not begun, or the target itself, will read the results of
    /// one.
    fn is_unread(&self, i: usize, started: &[bool]) -> bool {
        let stages = &self.request.route.stages;
        let mut readers = (0..stages.len()).filter(|k| stages[*k].inputs.contains(&i));
        let is_last = readers.clone().next().is_none();
        is_last || readers.any(|k| !started[k])
    }

    fn is_lost(&self, i: usize) -> bool {
        let mut handles = self.results[i].iter().flat_map(|held| &held.handles);
        handles.any(|handle| self.gateway.is_lost(handle))
    }

    /// Reports whether a stage alone reads the results that it takes.
    fn consumes(&self, i: usize) -> bool {
        let stages = &self.request.route.stages;
        let readers = |k: usize| stages.iter().filter(|s| s.inputs.contains(&k)).count();
        self.pieces(i) > 0 && stages[i].inputs.iter().all(|k| readers(*k) == 1)
    }

    /// Reports whether all that a stage takes has been made.
    fn is_ready(&self, i: usize) -> bool {
        let after = &self.request.route.stages[i].inputs;
        after.iter().all(|k| self.results[*k].is_some())
    }

    /// Runs one stage.
    fn stage(
        &mut self,
        i: usize,
    ) -> impl Future<Output = (usize, Result<Held, batch::Failure>)> + Send + 'static {
        let gateway = self.gateway.clone();
        let stage = &self.request.route.stages[i];
        let service = stage.service.clone();
        let job = self.job(i, stage);
        let start = tokio::time::Instant::now();
        async move {
            let held = |handles, owner| Held {
                gateway: gateway.clone(),
                service: service.clone(),
                handles,
                owner,
            };
            if job.pieces == 0 {
                return (i, Ok(held(Vec::new(), None)));
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
            (i, result.map(|made| held(made.handles, Some(made.owner))))
        }
    }

    fn job(&mut self, i: usize, stage: &ingress::Stage) -> dispatcher::Job {
        let request = self.request;
        let input = match stage.inputs.is_empty() {
            true => dialect::Input::Key(request.call.key_input.clone().unwrap_or_default()),
            false => dialect::Input::Results(self.handles(&stage.inputs)),
        };
        // A request that will be late in any case must not delay those that can be on time.
        let due = match self.late {
            true => time::Duration::ZERO,
            false => request.slack().saturating_sub(self.rest(i)),
        };
        let (near, moved) = self.best_place(i);
        dispatcher::Job {
            id: self.notices.come(i).unwrap_or_else(rand::random),
            attempt: request.call.attempt.clone(),
            stage: i as u32,
            service: stage.service.clone(),
            pieces: self.pieces(i),
            size: stage.result_size,
            input,
            due: unit::Period(due),
            deadline: unit::Period(request.left().saturating_sub(self.rest(i))),
            rank: request.urgency(),
            near,
            moved,
            places: request.places.clone(),
            consumes: self.consumes(i),
            last: false,
            arrival: self.arrival(i),
        }
    }

    /// Returns what a stage's job is to the budget of its service, for a job that is made now.
    fn arrival(&mut self, i: usize) -> dispatcher::Arrival {
        let is_repeated = std::mem::replace(&mut self.asked[i], true);
        match (is_repeated, self.is_first(i)) {
            (true, _) => dispatcher::Arrival::Repeated,
            (false, true) => dispatcher::Arrival::First,
            (false, false) => dispatcher::Arrival::Further,
        }
    }

    /// Reports whether nothing else of the request counts it at the service of a stage.
    fn is_first(&self, i: usize) -> bool {
        let route = &self.request.route;
        let service = &route.stages[i].service;
        let mut before = (0..i).filter(|k| self.pieces(*k) > 0);
        let is_other = |k: usize| route.stages[k].service != *service;
        before.all(is_other) && route.choose_backend(0) != Some(service)
    }

    /// Returns where a stage is best executed, and the bytes that cross when it is not.
    ///
    /// Each piece reads all its inputs, which is often far more than the stage makes of them.
    fn best_place(&self, i: usize) -> (Option<id::DataCentre>, unit::Size) {
        let stages = &self.request.route.stages;
        let mut places: collections::HashMap<id::DataCentre, u64> = collections::HashMap::new();
        if let Some(near) = &self.near {
            places.insert(near.clone(), stages[i].result_size.0);
        }
        for k in &stages[i].inputs {
            let held = self.results[*k].iter().flat_map(|held| &held.handles);
            for place in held.filter_map(|handle| self.place(handle)) {
                *places.entry(place).or_default() += stages[*k].result_size.0;
            }
        }
        let pieces = u64::from(self.pieces(i));
        let best = places.into_iter().max_by_key(|(_, bytes)| *bytes);
        best.map_or((None, unit::Size(0)), |(place, bytes)| {
            (Some(place), unit::Size(bytes.saturating_mul(pieces)))
        })
    }

    fn handles(&self, stages: &[usize]) -> Vec<batch::Handle> {
        let held = stages.iter().filter_map(|k| self.results[*k].as_ref());
        held.flat_map(|h| h.handles.iter().cloned()).collect()
    }

    /// Keeps the results of the last stages and frees the others.
    fn collect(mut self) -> Inputs {
        let route = &self.request.route;
        let mut inputs = Inputs {
            handles: Vec::new(),
            places: Vec::new(),
            _held: Vec::new(),
        };
        for i in route.last_stages() {
            let Some(held) = self.results[i].take() else {
                continue;
            };
            for handle in &held.handles {
                let places = self
                    .place(handle)
                    .map(|zone| (zone, route.stages[i].result_size));
                inputs.places.extend(places);
            }
            inputs.handles.extend(held.handles.iter().cloned());
            inputs._held.push(held);
        }
        inputs
    }

    fn place(&self, handle: &batch::Handle) -> Option<id::DataCentre> {
        let addr = self.gateway.dialect.holder(handle)?;
        let targets = self.gateway.view.targets.load();
        Some(targets.at(&addr, handle.life)?.data_centre.clone())
    }
}
