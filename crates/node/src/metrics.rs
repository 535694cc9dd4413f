//! Metrics of a node and their output in the Prometheus text format.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use gorsebank_coordination::NodeStatus;

/// Upper bounds of the buckets of the first-byte histogram, in seconds.
const FIRST_BYTE_BUCKETS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.2, 2.5, 5.0, 10.0, 30.0, 60.0,
];

/// All metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Messages queued for other nodes, by kind.
    pub messages_sent: IntCounterVec,
    /// Messages to other nodes that were dropped.
    pub messages_dropped: IntCounter,
    /// Bytes of frames written to other nodes.
    pub bytes_sent: IntCounter,
    /// Connections of other nodes that were closed after an invalid frame.
    pub frames_refused: IntCounter,
    /// Requests of callers that were rejected as invalid, by error code.
    pub invalid_requests: IntCounterVec,
    /// Requests to which a back end returned a complete response.
    pub answered: IntCounter,
    /// Requests refused, by reason.
    pub refused: IntCounterVec,
    /// Streams that were resumed after a broken connection.
    pub streams_resumed: IntCounter,
    /// Broken streams that could not be resumed.
    pub streams_broken: IntCounter,
    /// Stream events that were dropped because they were not the next of their stream.
    pub events_rejected: IntCounter,
    /// Transactions sent to the table service, by outcome.
    pub transactions: IntCounterVec,
    /// Invalid entries of the machine list, which were skipped.
    pub machine_list_errors: IntCounter,
    /// Seconds from the arrival of a request to the first byte of its response.
    pub first_byte: Histogram,
    state: StateGauges,
}

#[derive(Debug)]
struct StateGauges {
    pending: IntGauge,
    waiting: IntGauge,
    queues: IntGauge,
    claims: IntGauge,
    live_nodes: IntGauge,
    holder: IntGauge,
    revision: IntGauge,
    retries: IntGauge,
    on_credit: IntGauge,
    loads: IntGauge,
}

impl Metrics {
    /// Registers all metrics, with counters at zero.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("gorsebank".to_owned()), None)?;
        let registrar = MetricRegistrar {
            registry: &registry,
        };
        let metrics = Metrics {
            messages_sent: registrar.counter_vec(
                "messages_sent_total",
                "Messages to other nodes",
                "kind",
            )?,
            messages_dropped: registrar.counter("messages_dropped_total", "Messages not sent")?,
            bytes_sent: registrar.counter("bytes_sent_total", "Bytes sent to other nodes")?,
            frames_refused: registrar.counter("frames_refused_total", "Wrong frames received")?,
            invalid_requests: registrar.counter_vec(
                "invalid_requests_total",
                "Invalid requests",
                "code",
            )?,
            answered: registrar.counter("answered_total", "Requests answered by back ends")?,
            refused: registrar.counter_vec("refused_total", "Requests refused", "reason")?,
            streams_resumed: registrar.counter("streams_resumed_total", "Streams resumed")?,
            streams_broken: registrar.counter("streams_broken_total", "Streams not resumed")?,
            events_rejected: registrar.counter("events_rejected_total", "Stream events dropped")?,
            transactions: registrar.counter_vec(
                "transactions_total",
                "Table transactions",
                "outcome",
            )?,
            machine_list_errors: registrar
                .counter("machine_list_errors_total", "Wrong machine list entries")?,
            first_byte: registrar.histogram("first_byte_seconds", "Time to the first byte")?,
            state: StateGauges {
                pending: registrar.gauge("pending_requests", "Requests without a final answer")?,
                waiting: registrar.gauge("waiting_tickets", "Tickets in queues owned here")?,
                queues: registrar.gauge("queues", "Queues owned here")?,
                claims: registrar.gauge("claims", "Claims recorded here")?,
                live_nodes: registrar.gauge("live_nodes", "Live nodes of the cell")?,
                holder: registrar.gauge("placement_holder", "1 if this node holds the lease")?,
                revision: registrar.gauge("configuration_revision", "Configuration in force")?,
                retries: registrar.gauge("retries", "Attempts repeated")?,
                on_credit: registrar.gauge("sent_on_credit", "Requests sent on a credit")?,
                loads: registrar.gauge("loads_ordered", "Loads ordered by this node")?,
            },
            registry: registry.clone(),
        };
        Ok(metrics)
    }

    /// All metrics in the text format. The gauges are set from `status`.
    pub fn render(&self, status: &NodeStatus) -> Result<String, prometheus::Error> {
        let state = &self.state;
        state.pending.set(status.pending as i64);
        state.waiting.set(status.waiting as i64);
        state.queues.set(status.queues as i64);
        state.claims.set(status.claims as i64);
        state.live_nodes.set(status.view.nodes.len() as i64);
        state.holder.set(i64::from(status.is_holder));
        state.revision.set(status.revision.0 as i64);
        state.retries.set(status.front.retries as i64);
        state.on_credit.set(status.front.on_credit as i64);
        state.loads.set(status.loads_ordered as i64);
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

struct MetricRegistrar<'a> {
    registry: &'a Registry,
}

impl MetricRegistrar<'_> {
    fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn counter_vec(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> Result<IntCounterVec, prometheus::Error> {
        let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn histogram(&self, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(FIRST_BYTE_BUCKETS_SECONDS.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }
}
