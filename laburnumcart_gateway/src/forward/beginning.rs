//! Software versions at which a new stream should not begin.

use std::{
    sync::Arc,
    time, //
};

use laburnumcart::{
    id,
    ingress,
    unit, //
};

use crate::{
    admission,
    forward::Forwarder,
    gateway,
    view, //
};

/// Longest time that a new stream waits for its version to be noted.
const NOTE_WAIT: time::Duration = time::Duration::from_millis(250);

impl Forwarder {
    /// Assigns the request to its next target.
    ///
    /// A new stream begins at a version that no note names only if no other target takes it and the
    /// note cannot be written.
    pub(super) async fn assign(
        &self,
        inputs: &[(id::DataCentre, unit::Size)],
    ) -> Option<gateway::Assignment> {
        let (gateway, request, service) = (&self.gateway, &self.request, &self.service);
        let eligible = self.eligible();
        let assign = |avoided: &[id::SoftwareVersion]| {
            let eligible = view::Eligible {
                avoided,
                ..eligible
            };
            gateway.assign_target(request, service, inputs, &eligible)
        };
        if self.origin.is_some() || request.route.retry != ingress::RetryPolicy::Resume {
            return assign(&[]);
        }
        let choose = || {
            let avoided = avoided_versions(&gateway.view, request, service);
            let unused = not_noted(&gateway.view, service);
            // An unstated version cannot be avoided.
            if unused.contains(&None) {
                return None;
            }
            let unused: Vec<_> = unused.into_iter().flatten().collect();
            assign(&avoided).or_else(|| assign(&unused))
        };
        if let Some(assignment) = choose() {
            return Some(assignment);
        }
        if !not_noted(&gateway.view, service).is_empty() {
            let limit = NOTE_WAIT.min(request.remaining() / 2);
            let is_noted = || not_noted(&gateway.view, service).is_empty();
            gateway.view.usage.wait_for_note(limit, is_noted).await;
        }
        choose().or_else(|| assign(&[]))
    }
}

/// Returns the software versions at which a stream of a request should not begin.
pub(crate) fn avoided_versions(
    view: &view::View,
    request: &admission::Request,
    service: &id::ServiceName,
) -> Vec<id::SoftwareVersion> {
    if request.route.retry != ingress::RetryPolicy::Resume {
        return Vec::new();
    }
    let mut avoided = view.versions_not_noted(service);
    avoided.extend(not_noted(view, service).into_iter().flatten());
    avoided.extend(view.targets.load().outgoing(service).iter().cloned());
    avoided
}

/// Returns the versions of targets that the usage note of this process lacks.
fn not_noted(view: &view::View, service: &id::ServiceName) -> Vec<Option<id::SoftwareVersion>> {
    let targets = view.targets.load();
    let targets: &[Arc<view::Target>] = targets.service(service);
    view.usage.not_noted(service, targets)
}
