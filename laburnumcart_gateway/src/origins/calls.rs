//! Calls between processes about the origins of streams.

use std::sync::Arc;

use jsonrpsee::{
    core::{
        RpcResult,
        async_trait, //
    },
    proc_macros::rpc, //
};

use laburnumcart::origin::{
    history,
    records, //
};

use crate::{
    clock,
    origins::{
        Answer,
        Origins,
        Question, //
    },
};

/// Calls about the origins of streams.
#[rpc(server, client)]
pub trait OriginCalls {
    /// Keeps the origins of streams that have begun, and writes them to the journal if they are
    /// `unwritten`; older builds neither send nor read this.
    #[method(name = "streams-begun")]
    async fn streams_begun(
        &self,
        begun: Vec<records::Begun>,
        unwritten: Option<bool>,
    ) -> RpcResult<()>;

    /// Returns what is known of the origin of a stream.
    #[method(name = "stream-origin")]
    async fn stream_origin(&self, question: Question) -> RpcResult<Answer>;

    /// Returns the software versions of targets that were listed lately.
    #[method(name = "versions-seen")]
    async fn versions_seen(&self) -> RpcResult<history::Summary>;
}

/// Serves calls about origins.
pub struct OriginService(pub Arc<Origins>);

#[async_trait]
impl OriginCallsServer for OriginService {
    async fn streams_begun(
        &self,
        begun: Vec<records::Begun>,
        unwritten: Option<bool>,
    ) -> RpcResult<()> {
        match unwritten {
            Some(true) => self.0.keep_copies(begun),
            _ => self.0.keep(begun),
        }
        Ok(())
    }

    async fn stream_origin(&self, question: Question) -> RpcResult<Answer> {
        let known = self.0.view.told_versions(&question.services, clock::now());
        Ok(Answer {
            known,
            ..self.0.answer(&question)
        })
    }

    async fn versions_seen(&self) -> RpcResult<history::Summary> {
        Ok(self.0.versions_seen())
    }
}
