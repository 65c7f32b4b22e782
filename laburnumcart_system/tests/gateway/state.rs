//! State that a gateway reports to operators.

use std::time;

use laburnumcart::unit;
use laburnumcart_fakes::scripted::Target;
use laburnumcart_gateway::state;
use laburnumcart_wire::gateway::{
    Cause,
    Restricted,
    State, //
};

use crate::{
    stages,
    support::{
        System,
        desk_target,
        response,
        target_entry,
        target_entry_in,
        wait_for, //
    },
};

fn held<'a>(state: &'a State, target: &str) -> Option<&'a Restricted> {
    state
        .held
        .iter()
        .find(|held| held.target.as_str() == target)
}

// Operators must see the cause: leaving, evacuated data centre, advertised limit or backoff.
#[tokio::test]
async fn state_lists_why_targets_are_restricted() {
    let limited = Target::start(|seen, _| {
        let extra = "x-laburnumcart-server-stamp: s\r\nserver-limit: 2.5\r\n";
        vec![response(seen, "200 OK", extra, "done")]
    });
    let limited = limited.await.unwrap();
    let (leaving, far, encoder) = (
        desk_target().await,
        desk_target().await,
        desk_target().await,
    );
    let targets = [("i-1", "desk", &limited), ("i-4", "encode", &encoder)];
    let system = System::start(stages::two_stage_config(), &targets).await;
    assert!(state::snapshot(&system.gateway).held.is_empty());
    system.call("/once/1", |_| ()).await;
    let value = target_entry("desk", &leaving, "draining");
    system.put("servers/i-2", &value).await;
    let value = target_entry_in("south", "desk", &far, "ready");
    system.put("servers/i-3", &value).await;
    system.put("evacuations/south", "{}").await;
    wait_for(|| state::snapshot(&system.gateway).held.len() == 3).await;
    let state = state::snapshot(&system.gateway);
    let limit = Cause::Limit(unit::Rate(2.5));
    assert_eq!(held(&state, "i-1").unwrap().causes, [limit]);
    assert!(held(&state, "i-1").unwrap().part.unwrap() <= unit::Rate(2.5));
    assert_eq!(held(&state, "i-2").unwrap().causes, [Cause::Leaving]);
    assert_eq!(held(&state, "i-3").unwrap().causes, [Cause::Evacuated]);
    assert_eq!(held(&state, "i-4"), None);
    let target = system.gateway.view.targets.load_full();
    let target = target.service(&"encode".parse().unwrap())[0].clone();
    let wait = time::Duration::from_secs(60);
    system.gateway.outbound.quotas.back_off(&target, wait);
    let backing_off = state::snapshot(&system.gateway);
    let causes = &held(&backing_off, "i-4").unwrap().causes;
    assert!(matches!(causes[..], [Cause::Backoff(left)] if left.0 <= wait));
    assert_eq!(state.evacuated.as_ref().unwrap().len(), 1);
    assert_eq!(state.version, Some(7));
    let queue = &state.queues[0];
    assert_eq!((queue.service.as_str(), queue.waiting), ("encode", 0));
    assert_eq!(queue.owner.as_ref().unwrap().as_str(), "gateway-1");
    let written = serde_json::to_string(&state).unwrap();
    assert_eq!(serde_json::from_str::<State>(&written).unwrap(), state);
}
