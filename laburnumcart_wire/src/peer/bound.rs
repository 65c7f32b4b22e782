//! Limit on the size of a call, checked before the call is sent.

use std::future;

use jsonrpsee::{
    core::{
        client,
        middleware, //
    },
    types, //
};
use tower::Layer;

/// Bytes reserved for what surrounds the parameters of a call: method, id and braces.
pub(super) const ENVELOPE: u32 = 1024;

/// Layer that wraps a client's service in [`Bounded`].
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

/// A client's service that refuses calls larger than a limit.
///
/// The transport closes the connection when a message is too large, and all other calls on it would
/// end as "may have run". Here only the large call fails, before any of it is sent.
#[derive(Clone, Debug)]
pub struct Bounded<S> {
    max: usize,
    inner: S,
}

impl<S> Bounded<S> {
    fn check_size(&self, params: Option<&str>) -> Result<(), client::Error> {
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
        let checked = self.check_size(request.params.as_deref().map(|p| p.get()));
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
        // Not checked: peers send no batches, and servers refuse them.
        self.inner.batch(requests)
    }

    fn notification<'a>(
        &self,
        n: middleware::Notification<'a>,
    ) -> impl future::Future<Output = Self::NotificationResponse> + Send + 'a {
        let params = n.params.as_ref().map(|p| p.get());
        let checked = self.check_size(params);
        let inner = self.inner.clone();
        async move {
            checked?;
            inner.notification(n).await
        }
    }
}
