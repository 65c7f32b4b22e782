//! Calls about origins between builds of different age.

use std::sync::Arc;

use jsonrpsee::{
    RpcModule,
    core::{
        RpcResult,
        async_trait, //
    },
    proc_macros::rpc, //
};

use laburnumcart::{
    id,
    origin::{
        Origin,
        records, //
    },
    unit, //
};
use laburnumcart_gateway::{
    metrics,
    origins::{
        Origins, Question,
        calls::{
            OriginCallsServer,
            OriginService, //
        },
    },
    view, //
};
use rstest::rstest;

/// The call as older builds serve it.
#[rpc(server)]
trait OlderCalls {
    /// Keeps the origins of streams that have begun.
    #[method(name = "streams-begun")]
    async fn streams_begun(&self, begun: Vec<records::Begun>) -> RpcResult<()>;
}

struct OlderService;

#[async_trait]
impl OlderCallsServer for OlderService {
    async fn streams_begun(&self, begun: Vec<records::Begun>) -> RpcResult<()> {
        assert_eq!(begun, streams());
        Ok(())
    }
}

fn streams() -> Vec<records::Begun> {
    let origin = Origin {
        service: "desk".parse().unwrap(),
        version: Some("v1".parse().unwrap()),
        target: None,
    };
    vec![records::Begun {
        stream: id::Fingerprint(7),
        origin,
        age: unit::Period::default(),
    }]
}

fn service() -> (Arc<Origins>, RpcModule<OriginService>) {
    let own = "gateway-1".parse().unwrap();
    let metrics = metrics::OriginMetrics::default();
    let origins = Origins::new(own, Arc::new(view::View::default()), metrics);
    (origins.clone(), OriginService(origins).into_rpc())
}

// An older build refuses a call that asks it to write streams, and is asked nothing any more.
#[tokio::test]
async fn an_older_build_keeps_streams_that_it_is_asked_to_write() {
    let module = OlderService.into_rpc();
    for unwritten in [None, Some(true)] {
        let answer: Result<(), _> = module.call("streams-begun", (streams(), unwritten)).await;
        answer.unwrap();
    }
}

// Streams of an older build are refused, as it says nothing of its journal.
#[tokio::test]
async fn streams_of_an_older_build_are_kept() {
    let (origins, module) = service();
    let answer: Result<(), _> = module.call("streams-begun", [streams()]).await;
    answer.unwrap();
    assert!(!origins.is_empty());
}

// A process that was asked about no stream counts as one that has no record of it.
#[rstest]
#[case::named(Some(id::Fingerprint(7)), Some(id::Incarnation(1)))]
#[case::not_named(None, None)]
fn only_a_process_that_was_asked_about_a_stream_says_that_it_has_no_record(
    #[case] stream: Option<id::Fingerprint>,
    #[case] expected: Option<id::Incarnation>,
) {
    let own = "gateway-1".parse().unwrap();
    let view = Arc::new(view::View::default());
    view.usage.enable(id::Incarnation(1));
    let origins = Origins::new(own, view, metrics::OriginMetrics::default());
    let services = vec!["desk".parse().unwrap()];
    let answer = origins.answer(&Question { stream, services });
    assert!(answer.begun.is_none());
    assert_eq!(answer.incarnation, expected);
}
