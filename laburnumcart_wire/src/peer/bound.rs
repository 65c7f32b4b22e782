//! Bound on the size of a call, checked before it reaches the connection.

use std::future;

use jsonrpsee::{
    core::{
        client,
        middleware, //
    },
    types, //
};
use tower::Layer;

/// Room for what surrounds a call's parameters: method, id and braces.
pub(super) const ENVELOPE: u32 = 1024;

/// Puts the bound around a client's service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bound {
    max: usize,
}

impl Bound {
    pub(super) fn new(max: usize) -> Self {
        Self { max }
    }
}

impl<S> Layer<S> for Bound {
    type Service = Bounded<S>;

    fn layer(&self, inner: S) -> Bounded<S> {
        Bounded {
            max: self.max,
            inner,
        }
    }
}

/// A client's service that refuses calls over the bound.
///
/// The transport answers a message that is too large by closing the connection: all other calls
/// on it would end as "may have run". Here the one call fails, and none of it has been sent.
#[derive(Clone, Debug)]
pub struct Bounded<S> {
    max: usize,
    inner: S,
}

impl<S> Bounded<S> {
    fn check(&self, params: Option<&str>) -> Result<(), client::Error> {
        let len = params.map_or(0, str::len);
        if len <= self.max {
            return Ok(());
        }
        let code = types::ErrorCode::OversizedRequest;
        Err(client::Error::Call(types::ErrorObject::owned(
            code.code(),
            code.message(),
            Some(len),
        )))
    }
}

impl<S, M, B, N> middleware::RpcServiceT for Bounded<S>
where
    S: middleware::RpcServiceT<
            MethodResponse = Result<M, client::Error>,
            BatchResponse = Result<B, client::Error>,
            NotificationResponse = Result<N, client::Error>,
        > + Clone
        + Send
        + Sync
        + 'static,
{
    type MethodResponse = Result<M, client::Error>;
    type BatchResponse = Result<B, client::Error>;
    type NotificationResponse = Result<N, client::Error>;

    fn call<'a>(
        &self,
        request: middleware::Request<'a>,
    ) -> impl future::Future<Output = Self::MethodResponse> + Send + 'a {
        let checked = self.check(request.params.as_deref().map(|p| p.get()));
        let inner = self.inner.clone();
        async move {
            checked?;
            inner.call(request).await
        }
    }

    fn batch<'a>(
        &self,
        requests: middleware::Batch<'a>,
    ) -> impl future::Future<Output = Self::BatchResponse> + Send + 'a {
        // Peers do not send batches, and servers refuse them.
        self.inner.batch(requests)
    }

    fn notification<'a>(
        &self,
        n: middleware::Notification<'a>,
    ) -> impl future::Future<Output = Self::NotificationResponse> + Send + 'a {
        let params = n.params.as_ref().map(|p| p.get());
        let checked = self.check(params);
        let inner = self.inner.clone();
        async move {
            checked?;
            inner.notification(n).await
        }
    }
}
