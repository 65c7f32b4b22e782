//! Traces: a span for each hop, exported by OTLP over HTTP if a collector is configured.
//!
//! Without a collector no subscriber is installed: a span then costs one relaxed load of a flag,
//! and the caller's `traceparent` is forwarded unchanged. [`set_parent`] sets the parent of a span,
//! and [`outgoing_parent`] returns the parent to send to the next hop:
//!
//! ```
//! use laburnumcart_daemon::traces;
//!
//! let incoming: Option<traces::Traceparent> =
//!     "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".parse().ok();
//! let span = tracing::info_span!("stage", stage = "encode");
//! traces::set_parent(&span, incoming.as_ref());
//! let outgoing = traces::outgoing_parent(&span, incoming.as_ref());
//! assert_eq!(outgoing, incoming);
//! ```

use std::{
    fmt,
    net,
    str,
    sync,
    time, //
};

use derive_more::{
    Display,
    Error, //
};
use opentelemetry::{
    Context,
    KeyValue, //
    trace::{
        self,
        TraceContextExt,
        TracerProvider, //
    },
};
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::{
    Resource, //
    error,
    trace as sdk,
};
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::layer::SubscriberExt;

use laburnumcart::id;

use crate::{
    event,
    settings, //
};

/// Maximum number of spans queued for the collector; further ones are dropped.
pub const QUEUE_MAX: usize = 4096;

/// Position in a trace, as in the W3C header `traceparent`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Traceparent {
    trace: trace::TraceId,
    span: trace::SpanId,
    flags: trace::TraceFlags,
}

impl fmt::Display for Traceparent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "00-{}-{}-{:02x}",
            self.trace,
            self.span,
            self.flags.to_u8()
        )
    }
}

impl str::FromStr for Traceparent {
    type Err = id::ParseError;

    fn from_str(text: &str) -> Result<Self, id::ParseError> {
        parse(text).ok_or_else(|| id::ParseError::new("traceparent", text))
    }
}

/// Parses the header; versions after 00 may have more fields after the first four.
fn parse(text: &str) -> Option<Traceparent> {
    let fields: Vec<&str> = text.splitn(5, '-').collect();
    let (&[version, trace, span, flags], rest) = fields.split_first_chunk::<4>()?;
    let lower = |t: &str| t.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let lengths = [version.len(), trace.len(), span.len(), flags.len()] == [2, 32, 16, 2];
    let hex = [version, trace, span, flags].into_iter().all(lower);
    if !lengths || !hex || version == "ff" || (version == "00" && !rest.is_empty()) {
        return None;
    }
    let trace = trace::TraceId::from_hex(trace).ok()?;
    let span = trace::SpanId::from_hex(span).ok()?;
    let valid = trace != trace::TraceId::INVALID && span != trace::SpanId::INVALID;
    let flags = trace::TraceFlags::new(u8::from_str_radix(flags, 16).ok()?);
    valid.then_some(Traceparent { trace, span, flags })
}

/// Makes `span` a child of the sender's span.
pub fn set_parent(span: &tracing::Span, incoming: Option<&Traceparent>) {
    let Some(incoming) = incoming else {
        return;
    };
    if span.is_disabled() {
        return;
    }
    let remote = trace::SpanContext::new(
        incoming.trace,
        incoming.span,
        incoming.flags,
        true,
        trace::TraceState::default(),
    );
    // Fails only if our subscriber is not installed; the header is forwarded regardless.
    let _ = span.set_parent(Context::new().with_remote_span_context(remote));
}

/// Returns the parent for the next hop: `span`, or the incoming parent if traces are disabled.
pub fn outgoing_parent(
    span: &tracing::Span,
    incoming: Option<&Traceparent>,
) -> Option<Traceparent> {
    if span.is_disabled() {
        return incoming.cloned();
    }
    let context = span.context();
    let own = context.span().span_context().clone();
    if !own.is_valid() {
        return incoming.cloned();
    }
    Some(Traceparent {
        trace: own.trace_id(),
        span: own.span_id(),
        flags: own.trace_flags(),
    })
}

/// Reason why traces could not be started.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The exporter rejected its configuration.
    #[display("cannot create the trace exporter: {_0}")]
    Exporter(opentelemetry_otlp::ExporterBuildError),
    /// A global subscriber is already installed.
    #[display("a trace subscriber is already installed")]
    Twice,
}

/// Running trace export; dropping it flushes the queued spans.
#[derive(Debug)]
pub struct Traces {
    provider: sdk::SdkTracerProvider,
}

/// Starts trace export if a collector is configured.
///
/// A failure is logged and the process runs without traces, as they must not affect requests.
pub fn launch(
    service: &'static str,
    instance: &id::InstanceName,
    telemetry: &settings::Telemetry,
) -> Option<Traces> {
    match start(service, instance, telemetry.traces?) {
        Ok(traces) => Some(traces),
        Err(error) => {
            event!(Warn, "traces-failed", error = error);
            None
        }
    }
}

/// Starts the export of spans to `collector`; its requests run on the current tokio runtime.
pub fn start(
    service: &'static str,
    instance: &id::InstanceName,
    collector: net::SocketAddr,
) -> Result<Traces, StartError> {
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_protocol(opentelemetry_otlp::Protocol::HttpJson)
        .with_endpoint(format!("http://{collector}/v1/traces"))
        .build()
        .map_err(StartError::Exporter)?;
    let provider = build_provider(service, instance, exporter);
    let layer = tracing_opentelemetry::layer()
        .with_tracer(provider.tracer(service))
        .with_location(false)
        .with_threads(false);
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::set_global_default(subscriber).map_err(|_| StartError::Twice)?;
    Ok(Traces { provider })
}

fn build_provider(
    service: &'static str,
    instance: &id::InstanceName,
    exporter: opentelemetry_otlp::SpanExporter,
) -> sdk::SdkTracerProvider {
    let exporter = OnRuntime {
        inner: sync::Arc::new(exporter),
        runtime: tokio::runtime::Handle::current(),
    };
    let batch = sdk::BatchConfigBuilder::default()
        .with_max_queue_size(QUEUE_MAX)
        .build();
    let processor = sdk::BatchSpanProcessor::builder(exporter)
        .with_batch_config(batch)
        .build();
    let resource = Resource::builder()
        .with_service_name(service)
        .with_attribute(KeyValue::new("service.instance.id", instance.to_string()))
        .build();
    sdk::SdkTracerProvider::builder()
        .with_span_processor(processor)
        .with_resource(resource)
        .build()
}

impl Drop for Traces {
    fn drop(&mut self) {
        // Spans that cannot be sent now are lost, as the process is about to exit.
        let _ = self.provider.shutdown();
    }
}

/// Exporter that runs on a tokio runtime.
///
/// The span processor exports from a plain thread, where the HTTP client would panic without a
/// reactor and no span would be sent.
#[derive(Debug)]
struct OnRuntime {
    inner: sync::Arc<opentelemetry_otlp::SpanExporter>,
    runtime: tokio::runtime::Handle,
}

impl sdk::SpanExporter for OnRuntime {
    async fn export(&self, batch: Vec<sdk::SpanData>) -> error::OTelSdkResult {
        let inner = self.inner.clone();
        let exported = self.runtime.spawn(async move { inner.export(batch).await });
        let failed =
            |e: tokio::task::JoinError| error::OTelSdkError::InternalFailure(e.to_string());
        exported.await.map_err(failed)?
    }

    fn set_resource(&mut self, resource: &Resource) {
        // Called before the first export, so there is no other reference.
        if let Some(inner) = sync::Arc::get_mut(&mut self.inner) {
            inner.set_resource(resource);
        }
    }

    fn shutdown_with_timeout(&self, timeout: time::Duration) -> error::OTelSdkResult {
        self.inner.shutdown_with_timeout(timeout)
    }
}
