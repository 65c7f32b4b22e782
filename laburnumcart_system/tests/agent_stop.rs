//! Planned stops of agents.

use std::cell;

use nix::sys::signal::Signal;
use serde_json::json;

use laburnumcart_system::{
    fleet,
    sample,
    wait, //
};

// An agent that keeps a verdict which the entry has read waits out its stop limit for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn settled_failure_holds_up_no_stop() {
    let plan = fleet::Plan::new(sample::services(1), sample::bundle()).entries(1);
    let mut fleet = fleet::Fleet::start(plan).await;
    let engine = fleet.nodes.iter().position(|n| n.service == "case-model");
    let engine = engine.expect("an engine");
    fleet
        .set_target_behaviour(engine, &json!({"fail": 1.0}))
        .await;
    let call = fleet::Call::new(
        sample::CHECK_PIPELINE,
        sample::CLINIC_TOKEN,
        json!({"case": 1}),
    );
    let answer = fleet.call(0, &call).await.expect("an answer");
    assert!(answer.status >= 500, "{}", answer.body);
    let agent = &mut fleet.nodes[engine].agent;
    agent.signal(Signal::SIGTERM);
    let agent = cell::RefCell::new(agent);
    wait::until("the agent to exit", || async {
        agent.borrow_mut().exit_status()
    })
    .await;
    let log = agent.borrow().output();
    assert!(log.contains("event=stopped left=0"), "{log}");
}

// With exit code 0 a rolling restart would go on and cut off work at the next instance.
#[tokio::test(flavor = "multi_thread")]
async fn stop_that_cuts_work_off_fails() {
    let plan = fleet::Plan::new(sample::services(1), sample::bundle()).entries(1);
    let mut fleet = fleet::Fleet::start(plan.stop_limit("1s")).await;
    let engine = fleet.nodes.iter().position(|n| n.service == "case-model");
    let engine = engine.expect("an engine");
    fleet
        .set_target_behaviour(engine, &json!({"slow": 1000.0}))
        .await;
    let call = fleet::Call::new(
        sample::CHECK_PIPELINE,
        sample::CLINIC_TOKEN,
        json!({"case": 1}),
    );
    let stop = async {
        wait::until("an execution", || async {
            let all = fleet.service_executions("case-model").await;
            (!all.is_empty()).then_some(())
        })
        .await;
        let agent = &fleet.nodes[engine].agent;
        agent.signal(Signal::SIGTERM);
        wait::until("the last log line of the agent", || async {
            agent
                .output()
                .contains("event=stopped left=1")
                .then_some(())
        })
        .await;
    };
    // The caller's response and the exit of the agent may come in either order.
    let _ = tokio::join!(fleet.call(0, &call), stop);
    let agent = cell::RefCell::new(&mut fleet.nodes[engine].agent);
    let status = wait::until("the agent to exit", || async {
        agent.borrow_mut().exit_status()
    })
    .await;
    assert_eq!(status.code(), Some(1));
}
