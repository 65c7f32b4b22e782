//! Fake of the platform's object API over HTTP, backed by a [`memory::Memory`].

use std::{
    convert,
    future,
    io,
    net,
    time, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service, //
};
use hyper_util::rt;
use serde_json::{
    Value,
    json, //
};

use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};

type ApiResult = Result<Value, store::Failure>;

/// Serves the objects of a store on `addr` until the task is aborted.
pub async fn serve(
    addr: net::SocketAddr,
    objects: memory::Memory,
) -> io::Result<tokio::task::JoinHandle<()>> {
    let listener = tokio::net::TcpListener::bind(addr).await?;
    Ok(tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let objects = objects.clone();
            let handle =
                service::service_fn(move |request| handle_request(objects.clone(), request));
            let connection =
                http1::Builder::new().serve_connection(rt::TokioIo::new(stream), handle);
            // Fault tests break connections on purpose.
            tokio::spawn(async move { connection.await.ok() });
        }
    }))
}

async fn handle_request(
    objects: memory::Memory,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, convert::Infallible> {
    let (head, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(|b| b.to_bytes())
        .unwrap_or_default();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let path = head
        .uri
        .path()
        .trim_start_matches("/api/objects/")
        .to_owned();
    let query = head.uri.query().unwrap_or_default().to_owned();
    let result = match (&head.method, path.split_once('/')) {
        (&Method::GET, None) => list_or_watch(&objects, &path, &query).await,
        (&Method::GET, Some(_)) => get(&objects, &path).await,
        (&Method::POST, None) => create(&objects, &path, &body).await,
        (&Method::PUT, Some(_)) => replace(&objects, &path, &body).await,
        (&Method::DELETE, Some(_)) => delete(&objects, &path, &query).await,
        _ => Err(store::Failure::Invalid),
    };
    let (status, value) = match result {
        Ok(value) => (StatusCode::OK, value),
        Err(store::Failure::Conflict) => (StatusCode::CONFLICT, Value::Null),
        Err(store::Failure::Unavailable { .. }) => (StatusCode::SERVICE_UNAVAILABLE, Value::Null),
        Err(store::Failure::Compacted) => (StatusCode::GONE, Value::Null),
        Err(store::Failure::Invalid) => (StatusCode::NOT_FOUND, Value::Null),
        // A connection that lost a response sends nothing more.
        Err(store::Failure::Unanswered) => future::pending().await,
    };
    let mut response = Response::new(Full::from(value.to_string()));
    *response.status_mut() = status;
    Ok(response)
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    query_value(query, name)?.parse().ok()
}

fn object_json(key: &str, version: store::Version, value: &str) -> Value {
    let name = key.rsplit_once('/').map_or(key, |(_, name)| name);
    let value: Value = serde_json::from_str(value).unwrap_or(Value::Null);
    json!({
        "metadata": { "name": name, "revision": version.0, "created": 1, "finalizers": [],
            "deletion_pending": false },
        "specification": value, "status": null
    })
}

fn event_json(event: &store::Event) -> Value {
    match &event.value {
        Some(value) => {
            json!({ "deleted": false, "object": object_json(&event.key, event.version, value) })
        }
        // The object of a deletion has the revision before the deletion.
        None => {
            let before = store::Version(event.version.0 - 1);
            json!({ "deleted": true, "object": object_json(&event.key, before, "null") })
        }
    }
}

async fn list_or_watch(objects: &memory::Memory, kind: &str, query: &str) -> ApiResult {
    let prefix = format!("{kind}/");
    if let Some(after) = query_number(query, "watch") {
        let wait = time::Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
        let changes = objects.watch(&prefix, store::Revision(after), wait).await?;
        let events: Vec<_> = changes.events.iter().map(event_json).collect();
        return Ok(json!({ "events": events, "at": changes.revision.0 }));
    }
    let listing = objects.list(&prefix).await?;
    let items = listing
        .objects
        .iter()
        .map(|o| object_json(&o.key, o.version, &o.value));
    let items: Vec<_> = items.collect();
    Ok(json!({ "items": items, "has_more": false, "at": listing.revision.0 }))
}

async fn get(objects: &memory::Memory, key: &str) -> ApiResult {
    let found = objects.get(key).await?.ok_or(store::Failure::Invalid)?;
    Ok(object_json(&found.key, found.version, &found.value))
}

async fn create(objects: &memory::Memory, kind: &str, body: &Value) -> ApiResult {
    let name = body["metadata"]["name"]
        .as_str()
        .ok_or(store::Failure::Invalid)?;
    let (key, value) = (format!("{kind}/{name}"), body["specification"].to_string());
    let version = objects.put(&key, store::Expect::Absent, &value).await?;
    Ok(object_json(&key, version, &value))
}

async fn replace(objects: &memory::Memory, key: &str, body: &Value) -> ApiResult {
    let revision = body["metadata"]["revision"]
        .as_u64()
        .ok_or(store::Failure::Invalid)?;
    let value = body["specification"].to_string();
    let expect = store::Expect::Version(store::Version(revision));
    let version = objects.put(key, expect, &value).await?;
    Ok(object_json(key, version, &value))
}

async fn delete(objects: &memory::Memory, key: &str, query: &str) -> ApiResult {
    let revision = query_number(query, "revision").ok_or(store::Failure::Invalid)?;
    objects.delete(key, store::Version(revision)).await?;
    Ok(Value::Null)
}
