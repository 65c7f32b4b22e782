//! Calls about the origins of streams, over a connection that may have gone silent.

use std::{
    sync::{
        Arc,
        atomic, //
    },
    time,
};

use jsonrpsee::core::client;

use laburnumcart::{
    event,
    origin::{
        history,
        records, //
    },
};
use laburnumcart_wire::peer;

use crate::{
    origins::{
        Answer,
        Question,
        calls::OriginCallsClient, //
    },
    peers::link::{
        ANSWER_TIMEOUT,
        Link, //
    },
};

/// Timeout of a question on an open connection, after which it is asked over a new one.
///
/// The caller of a stream waits for the answer.
const QUESTION_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Number of connections over which a call is tried.
const TRIES: usize = 2;

impl Link {
    /// Tells where streams began, and returns whether the peer has confirmed it.
    ///
    /// The peer is to write to its journal what is `unwritten` here.
    pub(crate) async fn tell_begun(
        self: &Arc<Self>,
        begun: &[records::Begun],
        unwritten: Option<bool>,
    ) -> bool {
        let begun = begun.to_vec();
        let call = |client: Arc<peer::Client>| {
            let begun = begun.clone();
            async move { client.streams_begun(begun, unwritten).await }
        };
        self.call_twice(ANSWER_TIMEOUT, call).await.is_some()
    }

    /// Asks for the origin of a stream.
    pub(crate) async fn ask_origin(self: &Arc<Self>, question: &Question) -> Option<Answer> {
        let call = |client: Arc<peer::Client>| {
            let question = question.clone();
            async move { client.stream_origin(question).await }
        };
        self.call_twice(QUESTION_TIMEOUT, call).await
    }

    /// Asks for the software versions that the peer has seen.
    pub(crate) async fn seen_versions(self: &Arc<Self>) -> Option<history::Summary> {
        let call = |client: Arc<peer::Client>| async move { client.versions_seen().await };
        self.call_twice(ANSWER_TIMEOUT, call).await
    }

    /// Makes a call, and once more over a new connection if the open one stays silent or fails.
    async fn call_twice<T, F>(
        self: &Arc<Self>,
        limit: time::Duration,
        call: impl Fn(Arc<peer::Client>) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, client::Error>>,
    {
        if self.lacks_origins.load(atomic::Ordering::Relaxed) {
            return None;
        }
        for _ in 0..TRIES {
            let open = tokio::time::timeout(limit, self.connection());
            let open = open.await.ok().flatten()?;
            match tokio::time::timeout(limit, call(open.client)).await {
                Ok(Ok(answer)) => return Some(answer),
                Ok(Err(client::Error::Call(error))) => {
                    event!(
                        Info,
                        "peer-lacks-origins",
                        peer = self.member.instance,
                        error = error
                    );
                    self.lacks_origins.store(true, atomic::Ordering::Relaxed);
                    return None;
                }
                Ok(Err(error)) => self.record_error(&error),
                Err(_) => self.close("silent"),
            }
        }
        None
    }
}
