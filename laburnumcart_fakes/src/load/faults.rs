//! Lets the faults of a plan happen at their times.

use std::sync;

use laburnumcart::event;
use tokio::time::Instant;

use crate::{
    client,
    load::plan, //
};

/// Applies the faults in the order of their times, counted from `start`.
pub(super) async fn happen(client: client::Client, plan: sync::Arc<plan::Plan>, start: Instant) {
    let mut faults: Vec<_> = plan.faults.iter().collect();
    faults.sort_by_key(|fault| fault.at);
    for fault in faults {
        tokio::time::sleep_until(start + fault.at.0).await;
        apply(&client, &plan, fault).await;
    }
}

async fn apply(client: &client::Client, plan: &plan::Plan, fault: &plan::Fault) {
    let body = serde_json::to_string(&fault.change).unwrap_or_default();
    let hit = plan
        .targets()
        .filter(|(name, _)| fault.targets.contains(name));
    for (name, address) in hit {
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
