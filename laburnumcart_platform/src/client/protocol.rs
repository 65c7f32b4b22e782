//! HTTP requests to the object service and the meaning of its responses.

use std::{
    net,
    time, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Method,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use serde::de;

use laburnumcart::{
    event,
    unit, //
};

use crate::{
    raw,
    store, //
};

/// Longest part of an error in characters that is logged, as it may quote an entry.
const ERROR_MAX: usize = 120;

/// A request before it is sent.
pub(super) struct Request<'a> {
    method: Method,
    path: Path<'a>,
    /// Precondition of a write.
    pub(super) expect: Option<store::Expect>,
    /// Longest time that a watch waits for a change.
    pub(super) wait: Option<time::Duration>,
    /// JSON text of a write.
    pub(super) body: Bytes,
}

enum Path<'a> {
    Object(&'a str),
    List(&'a str),
    Watch(&'a str, store::Revision),
}

impl<'a> Request<'a> {
    pub(super) fn object(method: Method, key: &'a str) -> Result<Self, store::Failure> {
        match store::is_key(key) {
            true => Ok(Self::new(method, Path::Object(key))),
            false => Err(store::Failure::Invalid),
        }
    }

    pub(super) fn list(prefix: &'a str) -> Result<Self, store::Failure> {
        match store::is_prefix(prefix) {
            true => Ok(Self::new(Method::GET, Path::List(prefix))),
            false => Err(store::Failure::Invalid),
        }
    }

    pub(super) fn watch(
        prefix: &'a str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<Self, store::Failure> {
        if !store::is_prefix(prefix) {
            return Err(store::Failure::Invalid);
        }
        let mut request = Self::new(Method::GET, Path::Watch(prefix, after));
        request.wait = Some(wait);
        Ok(request)
    }

    fn new(method: Method, path: Path<'a>) -> Self {
        Self {
            method,
            path,
            expect: None,
            wait: None,
            body: Bytes::new(),
        }
    }

    fn uri(&self, addr: net::SocketAddr) -> String {
        match self.path {
            Path::Object(key) => format!("http://{addr}/v1/objects/{key}"),
            Path::List(prefix) => format!("http://{addr}/v1/list?prefix={prefix}"),
            Path::Watch(prefix, after) => {
                let wait = self.wait.unwrap_or_default().as_millis();
                format!("http://{addr}/v1/watch?prefix={prefix}&after={after}&wait={wait}")
            }
        }
    }

    fn build(self, addr: net::SocketAddr) -> Result<http::Request<Full<Bytes>>, store::Failure> {
        let mut builder = http::Request::builder().uri(self.uri(addr));
        builder = match self.expect {
            None => builder,
            Some(store::Expect::Absent) => builder.header(header::IF_NONE_MATCH, "*"),
            Some(store::Expect::Version(version)) => {
                builder.header(header::IF_MATCH, format!("\"{version}\""))
            }
        };
        if !self.body.is_empty() {
            builder = builder.header(header::CONTENT_TYPE, "application/json");
        }
        let request = builder.method(self.method).body(Full::new(self.body));
        request.map_err(|_| store::Failure::Invalid)
    }
}

/// A complete response.
#[derive(Debug)]
pub(super) struct Response {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Sends a request and reads the complete response, of at most `limit` bytes.
///
/// Fails with [`store::Failure::Unavailable`] only if no byte of the request was sent.
pub(super) async fn send(
    http: &super::Http,
    addr: net::SocketAddr,
    request: Request<'_>,
    limit: usize,
) -> Result<Response, store::Failure> {
    let request = request.build(addr)?;
    let response = http.request(request).await.map_err(|error| {
        if error.is_connect() {
            store::Failure::Unavailable { retry: None }
        } else {
            store::Failure::Unanswered
        }
    })?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, limit).collect().await;
    let body = body.map_err(|_| store::Failure::Unanswered)?;
    Ok(Response {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}

impl Response {
    /// Reports whether the service is available; it may still have refused the call.
    pub(super) fn is_available(&self) -> bool {
        !self.status.is_server_error()
    }

    /// Reports whether the service refused the call because of its rate limit.
    pub(super) fn is_rate_limited(&self) -> bool {
        self.status == StatusCode::TOO_MANY_REQUESTS
    }

    /// Converts the status of an unsuccessful call to a failure.
    pub(super) fn into_result(self) -> Result<Self, store::Failure> {
        match self.status {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(self),
            StatusCode::PRECONDITION_FAILED => Err(store::Failure::Conflict),
            StatusCode::GONE => Err(store::Failure::Compacted),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let retry = super::retry_after(&self.headers);
                Err(store::Failure::Unavailable { retry })
            }
            status if status.is_client_error() => Err(store::Failure::Invalid),
            // Any other status may come from a proxy, after the service has executed the call.
            _ => Err(store::Failure::Unanswered),
        }
    }

    /// Returns the version created by a write.
    ///
    /// A write may have taken effect if the response to it has no version.
    pub(super) fn parse_version(&self) -> Result<store::Version, store::Failure> {
        if self.status != StatusCode::OK {
            return Err(store::Failure::Unanswered);
        }
        etag(&self.headers).ok_or(store::Failure::Unanswered)
    }

    /// Returns the object from the response to a read of `key`.
    pub(super) fn parse_object(self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        if self.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let version = etag(&self.headers).ok_or(store::Failure::Invalid)?;
        let value = String::from_utf8(self.body.into());
        Ok(Some(store::Object {
            key: key.into(),
            version,
            value: value.map_err(|_| store::Failure::Invalid)?,
        }))
    }

    /// Parses a listing.
    pub(super) fn parse_listing(&self) -> Result<store::Listing, store::Failure> {
        let text = String::from_utf8_lossy(&self.body);
        Ok(store::Listing {
            revision: parse_field(&text, "revision")?,
            objects: parse_entries(&text, "objects")?,
            age: parse_age(&text)?,
        })
    }

    /// Parses changes.
    pub(super) fn parse_changes(&self) -> Result<store::Changes, store::Failure> {
        let text = String::from_utf8_lossy(&self.body);
        Ok(store::Changes {
            revision: parse_field(&text, "revision")?,
            events: parse_entries(&text, "events")?,
            age: parse_age(&text)?,
        })
    }
}

fn parse_field<T: de::DeserializeOwned>(text: &str, name: &str) -> Result<T, store::Failure> {
    let value = raw::field(text, name).ok_or(store::Failure::Invalid)?;
    serde_json::from_str(value).map_err(|_| store::Failure::Invalid)
}

/// Parses the age of the data, which the service itself leaves out.
fn parse_age(text: &str) -> Result<unit::Period, store::Failure> {
    match raw::field(text, "age") {
        Some(_) => parse_field(text, "age"),
        None => Ok(unit::Period::default()),
    }
}

/// Parses the entries of a list; one that cannot be parsed is logged and left out.
fn parse_entries<T: de::DeserializeOwned>(
    text: &str,
    name: &str,
) -> Result<Vec<T>, store::Failure> {
    let list = raw::field(text, name).and_then(raw::elements);
    let entries = list.ok_or(store::Failure::Invalid)?.into_iter();
    let parse = |entry: &str| {
        let parsed = serde_json::from_str(entry);
        parsed
            .inspect_err(|error| {
                let error: String = error.to_string().chars().take(ERROR_MAX).collect();
                event!(Warn, "entry-unreadable", error = error);
            })
            .ok()
    };
    Ok(entries.filter_map(parse).collect())
}

fn etag(headers: &HeaderMap) -> Option<store::Version> {
    let text = headers.get(header::ETAG)?.to_str().ok()?;
    let digits = text.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(store::Version)
}
