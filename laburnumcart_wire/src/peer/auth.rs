//! Check of the fleet's secret on the request that opens a connection.

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

/// Returns the header value that proves `secret`; kept out of debug output.
pub(super) fn credentials(secret: &secret::Secret) -> header::HeaderValue {
    let text = format!("{SCHEME}{}", secret.expose());
    let mut value = header::HeaderValue::from_str(&text).expect("secrets are visible ASCII");
    value.set_sensitive(true);
    value
}

/// Reports whether the peer refused the secret.
pub(super) fn is_refusal(error: &client::Error) -> bool {
    let client::Error::Transport(cause) = error else {
        return false;
    };
    matches!(
        cause.downcast_ref(),
        Some(ws::WsHandshakeError::Rejected { status_code: 401 })
    )
}

/// Answers 401 to requests without a valid secret.
#[derive(Clone)]
pub(super) struct Auth {
    secrets: sync::Arc<[secret::Secret]>,
    refused: sync::Arc<dyn Fn() + Send + Sync>,
}

impl Auth {
    pub(super) fn new(
        secrets: Vec<secret::Secret>,
        refused: sync::Arc<dyn Fn() + Send + Sync>,
    ) -> Self {
        Self {
            secrets: secrets.into(),
            refused,
        }
    }

    /// Compares with every secret, so that the time does not tell which one came near.
    fn accepts(&self, headers: &header::HeaderMap) -> bool {
        let given = headers
            .get(header::AUTHORIZATION)
            .and_then(|v| v.as_bytes().strip_prefix(SCHEME.as_bytes()));
        let Some(given) = given else {
            return false;
        };
        self.secrets
            .iter()
            .fold(false, |found, secret| found | secret.matches(given))
    }
}

impl<S> Layer<S> for Auth {
    type Service = Checked<S>;

    fn layer(&self, inner: S) -> Checked<S> {
        Checked {
            auth: self.clone(),
            inner,
        }
    }
}

/// A service behind the check.
#[derive(Clone)]
pub(super) struct Checked<S> {
    auth: Auth,
    inner: S,
}

type Answer<E> = pin::Pin<Box<dyn future::Future<Output = Result<server::HttpResponse, E>> + Send>>;

impl<S> Service<server::HttpRequest> for Checked<S>
where
    S: Service<server::HttpRequest, Response = server::HttpResponse>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
{
    type Response = server::HttpResponse;
    type Error = S::Error;
    type Future = Answer<S::Error>;

    fn poll_ready(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: server::HttpRequest) -> Self::Future {
        if self.auth.accepts(request.headers()) {
            return Box::pin(self.inner.call(request));
        }
        (self.auth.refused)();
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
