//! Trace spans of sampled flows.
//!
//! Flows are sampled by their hash, so that every entry VM samples the same
//! flows. The relay header carries the trace identity from hop to hop.

use std::time::SystemTime;

use opentelemetry::{
    Context, KeyValue,
    trace::{
        Span, SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer as _,
        TracerProvider,
    },
};
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};

/// Emits one span for each hop of a sampled flow.
#[derive(Debug)]
pub struct Tracer {
    inner: Option<(SdkTracerProvider, SdkTracer)>,
    one_in: u32,
    member: i64,
}

impl Tracer {
    /// Creates a tracer that samples one flow in `one_in`, or none for 0. Spans
    /// are written to standard output.
    pub fn new(one_in: u32, member: u32) -> Self {
        let inner = (one_in > 0).then(|| {
            let provider = SdkTracerProvider::builder()
                .with_simple_exporter(opentelemetry_stdout::SpanExporter::default())
                .build();
            let tracer = provider.tracer("cicadaweird");
            (provider, tracer)
        });
        Self {
            inner,
            one_in,
            member: i64::from(member),
        }
    }

    /// Returns the trace identity of a flow; 0 if the flow is not sampled.
    pub fn sample(&self, flow_hash: impl FnOnce() -> u64) -> u64 {
        if self.inner.is_none() {
            return 0;
        }
        let hash = flow_hash();
        if hash % u64::from(self.one_in) == 0 {
            hash.max(1)
        } else {
            0
        }
    }

    /// Emits the span of one hop, from `start` until now; does nothing for a
    /// `trace` of 0.
    pub fn record_hop(&self, trace: u64, name: &'static str, start: SystemTime, detail: String) {
        let Some((_, tracer)) = &self.inner else {
            return;
        };
        if trace == 0 {
            return;
        }
        let root = SpanContext::new(
            TraceId::from(u128::from(trace) | 1 << 127),
            SpanId::from(trace),
            TraceFlags::SAMPLED,
            true,
            TraceState::default(),
        );
        let cx = Context::new().with_remote_span_context(root);
        let attributes = vec![
            KeyValue::new("member", self.member),
            KeyValue::new("detail", detail),
        ];
        let builder = tracer
            .span_builder(name)
            .with_start_time(start)
            .with_attributes(attributes);
        tracer.build_with_context(builder, &cx).end();
    }
}
