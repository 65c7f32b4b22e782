//! Spans of one request across all processes that handle it.

use nix::sys::signal::Signal;
use serde_json::json;

use laburnumcart_system::{
    collector::{
        self,
        Span, //
    },
    fleet,
    sample,
    wait, //
};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

const CALLER: &str = "b7ad6b7169203331";

/// Services of the pipeline in the order of its stages.
const SERVICES: [&str; 4] = ["encoders", "retrievers", "rerankers", "case-model"];

/// Returns the children of a span with a name.
fn children<'a>(spans: &'a [Span], parent: &str, name: &str) -> Vec<&'a Span> {
    let fits = |s: &&Span| s.parent_span_id == parent && s.name == name;
    spans.iter().filter(fits).collect()
}

// A span with the wrong parent, or a missing one, breaks the trace of a request across processes.
#[tokio::test(flavor = "multi_thread")]
async fn spans_of_a_request_form_one_chain() {
    let collector = collector::Collector::start().await;
    let plan = fleet::Plan::new(sample::services(1), sample::bundle());
    let plan = plan.entries(1).traces(collector.addr);
    let mut fleet = fleet::Fleet::start(plan).await;
    let caller = format!("00-{TRACE}-{CALLER}-01");
    let call = fleet::Call::new(
        sample::CHECK_PIPELINE,
        sample::CLINIC_TOKEN,
        json!({"case": 1}),
    );
    let answer = fleet.call(0, &call.traceparent(&caller)).await;
    assert_eq!(answer.expect("an answer").status, 200);
    let mut received = Vec::new();
    for service in SERVICES {
        let executions = fleet.service_executions(service).await;
        assert_eq!(executions.len(), 1, "{service}");
        received.push(
            executions[0]["traceparent"]
                .as_str()
                .expect("received")
                .to_owned(),
        );
    }
    // Processes send their buffered spans when they stop.
    for daemon in fleet.daemons() {
        daemon.signal(Signal::SIGTERM);
    }
    let nodes = fleet.nodes.iter_mut().map(|node| &mut node.agent);
    let entries = fleet.entries.iter_mut().map(|entry| &mut entry.process);
    for process in nodes.chain(entries) {
        let name = process.name().to_owned();
        let process = std::cell::RefCell::new(process);
        wait::until(&name, || async { process.borrow_mut().exit_status() }).await;
    }
    let mut spans = collector.spans();
    spans.retain(|span| span.trace_id == TRACE);
    let requests = children(&spans, CALLER, "request");
    assert_eq!(requests.len(), 1, "{spans:#?}");
    assert_eq!(requests[0].instance, "entry-0");
    let attempts = children(&spans, &requests[0].span_id, "attempt");
    assert_eq!(attempts.len(), SERVICES.len(), "{spans:#?}");
    let mut agents = Vec::new();
    for attempt in attempts {
        assert_eq!(attempt.instance, "entry-0");
        let executions = children(&spans, &attempt.span_id, "execution");
        assert_eq!(executions.len(), 1, "{spans:#?}");
        let targets = children(&spans, &executions[0].span_id, "target");
        assert_eq!(targets.len(), 1, "{spans:#?}");
        assert_eq!(targets[0].instance, executions[0].instance);
        let parent = format!("00-{TRACE}-{}-01", targets[0].span_id);
        let index = received.iter().position(|context| *context == parent);
        let index = index.expect("a target that received the context of its span");
        agents.push(format!("agent-{}-0", SERVICES[index]));
        assert_eq!(targets[0].instance, agents[agents.len() - 1]);
    }
    agents.sort();
    agents.dedup();
    assert_eq!(agents.len(), SERVICES.len());
    assert_eq!(spans.len(), 1 + 3 * SERVICES.len(), "{spans:#?}");
}
