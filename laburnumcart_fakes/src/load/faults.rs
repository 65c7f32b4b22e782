//! Injects the faults of a plan at their times.

use std::sync;

use laburnumcart::event;
use tokio::time::Instant;

use crate::{
    client,
    load::plan, //
};

/// Injects the faults in the order of their times, relative to `start`.
pub(super) async fn inject(client: client::Client, plan: sync::Arc<plan::Plan>, start: Instant) {
    let mut faults: Vec<_> = plan.faults.iter().collect();
    faults.sort_by_key(|fault| fault.at);
    for fault in faults {
        tokio::time::sleep_until(start + fault.at.0).await;
        inject_fault(&client, &plan, fault).await;
    }
}

async fn inject_fault(client: &client::Client, plan: &plan::Plan, fault: &plan::Fault) {
    let body = serde_json::to_string(&fault.change).unwrap_or_default();
    let targets = plan
        .targets()
        .filter(|(name, _)| fault.targets.contains(name));
    for (name, address) in targets {
        let url = format!("http://{address}/admin/behave");
        match client.post(&url, &[], body.clone()).await {
            Ok(answer) => {
                let status = answer.status;
                event!(Info, "fault", target = name, change = body, status = status);
            }
            Err(error) => {
                event!(
                    Warn,
                    "fault-lost",
                    target = name,
                    change = body,
                    error = error
                );
            }
        }
    }
}
