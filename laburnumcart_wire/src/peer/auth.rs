//! Authentication by the fleet's secret on the request that opens a connection.

use std::{
    future,
    pin,
    sync,
    task, //
};

use http::header;
use jsonrpsee::{
    client_transport::ws,
    core::client,
    server, //
};
use tower::{
    Layer,
    Service, //
};

use crate::secret;

const SCHEME: &str = "Bearer ";

/// Returns the value of the authorization header; it is omitted from debug output.
pub(super) fn credentials(secret: &secret::Secret) -> header::HeaderValue {
    let text = format!("{SCHEME}{}", secret.expose());
    let mut value = header::HeaderValue::from_str(&text).expect("secrets are visible ASCII");
    value.set_sensitive(true);
    value
}

/// Reports whether the error means that the peer rejected the secret.
pub(super) fn is_refusal(error: &client::Error) -> bool {
    let client::Error::Transport(cause) = error else {
        return false;
    };
    matches!(
        cause.downcast_ref(),
        Some(ws::WsHandshakeError::Rejected { status_code: 401 })
    )
}

/// Middleware that answers 401 to requests without a valid secret.
#[derive(Clone)]
pub(super) struct Auth {
    secrets: sync::Arc<[secret::Secret]>,
    on_refused: sync::Arc<dyn Fn() + Send + Sync>,
}

impl Auth {
    pub(super) fn new(
        secrets: Vec<secret::Secret>,
        on_refused: sync::Arc<dyn Fn() + Send + Sync>,
    ) -> Self {
        Self {
            secrets: secrets.into(),
            on_refused,
        }
    }

    /// Reports whether the request has a valid secret.
    ///
    /// Compares with every secret, so that the time taken does not depend on which one matches.
    fn accepts(&self, headers: &header::HeaderMap) -> bool {
        let token = headers
            .get(header::AUTHORIZATION)
            .and_then(|v| v.as_bytes().strip_prefix(SCHEME.as_bytes()));
        let Some(token) = token else {
            return false;
        };
        self.secrets
            .iter()
            .fold(false, |found, secret| found | secret.matches(token))
    }
}

impl<S> Layer<S> for Auth {
    type Service = Authenticated<S>;

    fn layer(&self, inner: S) -> Authenticated<S> {
        Authenticated {
            auth: self.clone(),
            inner,
        }
    }
}

/// A service that checks the secret before the inner service.
#[derive(Clone)]
pub(super) struct Authenticated<S> {
    auth: Auth,
    inner: S,
}

type Response<E> =
    pin::Pin<Box<dyn future::Future<Output = Result<server::HttpResponse, E>> + Send>>;

impl<S> Service<server::HttpRequest> for Authenticated<S>
where
    S: Service<server::HttpRequest, Response = server::HttpResponse>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
{
    type Response = server::HttpResponse;
    type Error = S::Error;
    type Future = Response<S::Error>;

    fn poll_ready(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: server::HttpRequest) -> Self::Future {
        if self.auth.accepts(request.headers()) {
            return Box::pin(self.inner.call(request));
        }
        (self.auth.on_refused)();
        Box::pin(future::ready(Ok(unauthorized())))
    }
}

fn unauthorized() -> server::HttpResponse {
    let mut response = server::HttpResponse::new(server::HttpBody::empty());
    *response.status_mut() = http::StatusCode::UNAUTHORIZED;
    let challenge = header::HeaderValue::from_static("Bearer");
    response
        .headers_mut()
        .insert(header::WWW_AUTHENTICATE, challenge);
    response
}
