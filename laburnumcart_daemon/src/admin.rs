//! Admin HTTP pages: `/metrics`, `/healthz` and `/readyz`.

use std::{
    fmt,
    io,
    net,
    sync,
    thread, //
};

use xitca_web::{
    App,
    HttpServer, //
    handler::{
        handler_service,
        state, //
    },
    http,
    route,
};

use crate::metrics;

/// Paths that [`Pages::answer`] always serves.
pub const PATHS: [&str; 3] = ["/metrics", "/healthz", "/readyz"];

const TEXT: &str = "text/plain; charset=utf-8";

/// Function that renders a program-specific page.
type PageFn = sync::Arc<dyn Fn() -> Page + Send + Sync>;

/// Function that renders a program-specific page for the query of the URI.
type QueryFn = sync::Arc<dyn Fn(&str) -> Page + Send + Sync>;

/// Content of the pages; clones share it.
#[derive(Clone)]
pub struct Pages {
    metrics: metrics::Metrics,
    /// Second path that reports readiness, beside `/readyz`.
    ready_path: Option<sync::Arc<str>>,
    ready: sync::Arc<dyn Fn() -> Result<(), String> + Send + Sync>,
    /// Path and function of a program-specific page.
    extra: Option<(&'static str, PageFn)>,
    /// Path and function of a program-specific page that depends on the query.
    queried: Option<(&'static str, QueryFn)>,
}

/// An HTTP response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: &'static str,
    /// Response body.
    pub body: String,
}

impl Page {
    /// Creates a JSON response.
    pub fn json(body: impl Into<String>) -> Self {
        Self {
            status: 200,
            content_type: "application/json",
            body: body.into(),
        }
    }

    /// Creates the response for a page that could not be rendered.
    pub fn failed(error: impl fmt::Display) -> Self {
        Self::text(500, format!("{error}\n"))
    }

    /// Creates the response to a query that cannot be answered.
    pub fn bad_query(error: impl fmt::Display) -> Self {
        Self::text(400, format!("{error}\n"))
    }

    fn text(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            content_type: TEXT,
            body: body.into(),
        }
    }
}

impl Pages {
    /// Creates the pages; `ready` returns the reason if the process does not accept work.
    pub fn new(
        metrics: metrics::Metrics,
        ready: impl Fn() -> Result<(), String> + Send + Sync + 'static,
    ) -> Self {
        Self {
            metrics,
            ready_path: None,
            ready: sync::Arc::new(ready),
            extra: None,
            queried: None,
        }
    }

    /// Sets a program-specific page, in place of an earlier one.
    #[must_use]
    pub fn page(
        mut self,
        path: &'static str,
        page: impl Fn() -> Page + Send + Sync + 'static,
    ) -> Self {
        self.extra = Some((path, sync::Arc::new(page)));
        self
    }

    /// Sets a program-specific page that depends on the query, in place of an earlier one.
    #[must_use]
    pub fn query_page(
        mut self,
        path: &'static str,
        page: impl Fn(&str) -> Page + Send + Sync + 'static,
    ) -> Self {
        self.queried = Some((path, sync::Arc::new(page)));
        self
    }

    /// Sets a second path that reports readiness, for load balancers that require one.
    #[must_use]
    pub fn ready_path(mut self, path: impl Into<sync::Arc<str>>) -> Self {
        self.ready_path = Some(path.into());
        self
    }

    /// Answers a GET request, or returns `None` for an unknown path; for programs that serve these
    /// pages on their own server.
    pub fn answer(&self, path: &str) -> Option<Page> {
        match path {
            "/metrics" => Some(self.metrics()),
            "/healthz" => Some(Page::text(200, "ok\n")),
            "/readyz" => Some(self.ready()),
            path if self.ready_path.as_deref() == Some(path) => Some(self.ready()),
            path => {
                let (known, page) = self.extra.as_ref()?;
                (path == *known).then(|| page())
            }
        }
    }

    /// Answers a GET request with a query, which the pages of [`Pages::answer`] ignore.
    pub fn answer_query(&self, path: &str, query: &str) -> Option<Page> {
        match &self.queried {
            Some((known, page)) if path == *known => Some(page(query)),
            _ => self.answer(path),
        }
    }

    fn metrics(&self) -> Page {
        match self.metrics.encode() {
            Ok(body) => Page {
                status: 200,
                content_type: metrics::CONTENT_TYPE,
                body,
            },
            Err(error) => Page::failed(error),
        }
    }

    fn ready(&self) -> Page {
        match (self.ready)() {
            Ok(()) => Page::text(200, "ready\n"),
            Err(reason) => Page::text(503, format!("{reason}\n")),
        }
    }
}

/// A running admin server; dropping it stops the server.
pub struct Admin {
    addr: net::SocketAddr,
    stop: Box<dyn Fn() + Send + Sync>,
    thread: Option<thread::JoinHandle<io::Result<()>>>,
}

/// Serves the pages on `listener` from a separate thread.
pub fn serve(listener: net::TcpListener, pages: Pages) -> io::Result<Admin> {
    let addr = listener.local_addr()?;
    let app = App::new()
        .with_state(pages)
        .at("/metrics", route::get(handler_service(answer)))
        .at("/healthz", route::get(handler_service(answer)))
        .at("/readyz", route::get(handler_service(answer)))
        .at("/{*path}", route::get(handler_service(answer)));
    let mut server = HttpServer::serve(app.finish())
        .disable_signal()
        .server_threads(1)
        .worker_threads(1)
        .listen(listener)?
        .run();
    let handle = server.handle()?;
    let wait = move || server.wait();
    let thread = thread::Builder::new().name("admin".into()).spawn(wait)?;
    Ok(Admin {
        addr,
        stop: Box::new(move || handle.stop(false)),
        thread: Some(thread),
    })
}

async fn answer(
    state::StateRef(pages): state::StateRef<'_, Pages>,
    uri: xitca_web::handler::uri::UriRef<'_>,
) -> http::WebResponse {
    let page = pages
        .answer_query(uri.0.path(), uri.0.query().unwrap_or_default())
        .unwrap_or_else(|| Page::text(404, "not found\n"));
    let mut response = http::WebResponse::new(page.body.into());
    *response.status_mut() = http::StatusCode::from_u16(page.status).expect("a valid status");
    let kind = http::HeaderValue::from_static(page.content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

impl Admin {
    /// Returns the listening address.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Stops the server and waits for its thread.
    pub fn stop(self) {}
}

impl Drop for Admin {
    fn drop(&mut self) {
        (self.stop)();
        if let Some(thread) = self.thread.take() {
            // An error of the server does not matter to a process that is about to exit.
            let _ = thread.join();
        }
    }
}
