//! Counters of a node, in the Prometheus text format.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use gorsebank_coordination::NodeStatus;

/// Bounds of the first-byte histogram, in seconds.
const FIRST_BYTE_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.2, 2.5, 5.0, 10.0, 30.0, 60.0,
];

/// All counters.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Messages queued for other nodes, by kind.
    pub messages_sent: IntCounterVec,
    /// Messages to other nodes that were dropped.
    pub messages_dropped: IntCounter,
    /// Bytes of frames written to other nodes.
    pub bytes_sent: IntCounter,
    /// Connections of nodes closed over a wrong frame.
    pub frames_refused: IntCounter,
    /// Requests of callers that were refused as invalid, by code.
    pub invalid_requests: IntCounterVec,
    /// Requests answered by back ends.
    pub answered: IntCounter,
    /// Requests refused, by reason.
    pub refused: IntCounterVec,
    /// Streams resumed after they broke.
    pub streams_resumed: IntCounter,
    /// Streams that broke and could not be resumed.
    pub streams_broken: IntCounter,
    /// Events dropped since they were not the next of their stream.
    pub events_rejected: IntCounter,
    /// Transactions of the table service, by outcome.
    pub transactions: IntCounterVec,
    /// Entries of the machine list that were left out.
    pub machine_list_errors: IntCounter,
    /// Seconds from a request's arrival to the first byte of its answer.
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
    /// Counters at zero.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("gorsebank".to_owned()), None)?;
        let maker = Maker {
            registry: &registry,
        };
        let metrics = Metrics {
            messages_sent: maker.counters(
                "messages_sent_total",
                "Messages to other nodes",
                "kind",
            )?,
            messages_dropped: maker.counter("messages_dropped_total", "Messages not sent")?,
            bytes_sent: maker.counter("bytes_sent_total", "Bytes sent to other nodes")?,
            frames_refused: maker.counter("frames_refused_total", "Wrong frames received")?,
            invalid_requests: maker.counters(
                "invalid_requests_total",
                "Invalid requests",
                "code",
            )?,
            answered: maker.counter("answered_total", "Requests answered by back ends")?,
            refused: maker.counters("refused_total", "Requests refused", "reason")?,
            streams_resumed: maker.counter("streams_resumed_total", "Streams resumed")?,
            streams_broken: maker.counter("streams_broken_total", "Streams not resumed")?,
            events_rejected: maker.counter("events_rejected_total", "Stream events dropped")?,
            transactions: maker.counters("transactions_total", "Table transactions", "outcome")?,
            machine_list_errors: maker
                .counter("machine_list_errors_total", "Wrong machine list entries")?,
            first_byte: maker.histogram("first_byte_seconds", "Time to the first byte")?,
            state: StateGauges {
                pending: maker.gauge("pending_requests", "Requests without a final answer")?,
                waiting: maker.gauge("waiting_tickets", "Tickets in queues owned here")?,
                queues: maker.gauge("queues", "Queues owned here")?,
                claims: maker.gauge("claims", "Claims recorded here")?,
                live_nodes: maker.gauge("live_nodes", "Live nodes of the cell")?,
                holder: maker.gauge("placement_holder", "1 if this node holds the lease")?,
                revision: maker.gauge("configuration_revision", "Configuration in force")?,
                retries: maker.gauge("retries", "Attempts repeated")?,
                on_credit: maker.gauge("sent_on_credit", "Requests sent on a credit")?,
                loads: maker.gauge("loads_ordered", "Loads ordered by this node")?,
            },
            registry: registry.clone(),
        };
        Ok(metrics)
    }

    /// All counters as text, with the state as it is now.
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

struct Maker<'a> {
    registry: &'a Registry,
}

impl Maker<'_> {
    fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn counters(
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
        let options = HistogramOpts::new(name, help).buckets(FIRST_BYTE_BUCKETS.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }
}
