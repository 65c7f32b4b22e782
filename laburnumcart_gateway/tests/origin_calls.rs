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
        Origins,
        calls::{
            OriginCallsServer,
            OriginService, //
        },
    },
    view, //
};

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
