//! Counters and histograms of a gateway, in the Prometheus text format.

use std::collections::BTreeSet;
use std::time::Duration;

use parking_lot::Mutex;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bucket bounds of latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Maximum number of tenants with time series of their own: the first ones that send requests. Each
/// tenant adds a dozen time series, and there may be thousands of tenants.
const MAX_TENANTS: usize = 32;
/// Label of all other tenants together.
const OTHER_TENANTS: &str = "other";

/// All metrics of a gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Completed requests, by outcome.
    pub requests: IntCounterVec,
    /// Completed requests of tenants, by tenant and outcome.
    tenant_requests: IntCounterVec,
    /// Tenants with time series of their own.
    tenants: Mutex<BTreeSet<String>>,
    /// Attempts at back ends, by result.
    pub attempts: IntCounterVec,
    /// Attempts that did not run the request, by who stated it.
    attempts_not_run: IntCounterVec,
    /// Connections that were opened to back ends, by path and result.
    back_end_connects: IntCounterVec,
    /// Tunnels that ended, by the side that this gateway had in them and by how they ended.
    tunnel_ends: IntCounterVec,
    /// Exits of back ends that this gateway has concluded or learned of, by source.
    back_end_exits: IntCounterVec,
    /// Streams that continue at another back end, by where the stream broke off and by whether it
    /// keeps its software version.
    resumed_streams: IntCounterVec,
    /// Streams that callers take up, by how the version that began them was found out.
    stream_origins: IntCounterVec,
    /// Requests for send times at back ends that state a limit, by result.
    pub reservations: IntCounterVec,
    /// Requests that waited for full engines or were refused for them, by result.
    engine_queue: IntCounterVec,
    /// Requests for send times of prompts, by result.
    pub prompt_sends: IntCounterVec,
    /// Responses in which back ends announce a drain or request a pause, by kind.
    pub back_end_statements: IntCounterVec,
    /// Orders to engines, by result.
    pub orders: IntCounterVec,
    /// Loads from weight stores that have ended, by speed.
    pub store_loads: IntCounterVec,
    /// Table calls, by result.
    pub table_calls: IntCounterVec,
    /// Table rows that could not be parsed, by reason.
    pub refused_rows: IntCounterVec,
    /// Reads and writes of the quarantine row, by result.
    pub quarantine_row: IntCounterVec,
    /// Writes of the row with the software versions of services, by result.
    pub version_history_row: IntCounterVec,
    /// Changes of the placement lease as observed by this process, by kind.
    pub lease_changes: IntCounterVec,
    /// Number of restores of the table from older copies, as known from its rows.
    pub table_era: IntGauge,
    /// Requests that were refused because memory for their bodies was short, by reason.
    pub refused_bodies: IntCounterVec,
    /// Connections of callers that were closed with their requests unread, for lack of descriptors.
    pub unread_connections: IntCounter,
    /// Requests in progress.
    pub open_requests: IntGauge,
    /// Tunnels that this gateway maintains for other gateways.
    pub open_tunnels: IntGauge,
    /// Number of back ends with a known stated limit.
    pub stated_limits: IntGauge,
    /// Dropped log lines.
    pub dropped_lines: IntGauge,
    queue_time: Histogram,
    connect_time: Histogram,
    first_byte_time: Histogram,
    response_time: Histogram,
}

impl Metrics {
    /// Creates all metrics with the value zero.
    pub fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let metrics = Metrics {
            requests: counters("gateway_requests_total", "Requests by outcome", "outcome")?,
            tenant_requests: IntCounterVec::new(
                Opts::new("gateway_tenant_requests_total", "Requests by tenant"),
                &["tenant", "outcome"],
            )?,
            tenants: Mutex::default(),
            attempts: counters("gateway_attempts_total", "Sends by result", "result")?,
            attempts_not_run: counters(
                "gateway_attempts_not_run_total",
                "Sends that did not run the request by who stated it",
                "source",
            )?,
            back_end_connects: IntCounterVec::new(
                Opts::new(
                    "gateway_back_end_connects_total",
                    "Connections opened to back ends by path and result",
                ),
                &["path", "result"],
            )?,
            tunnel_ends: IntCounterVec::new(
                Opts::new(
                    "gateway_tunnel_ends_total",
                    "Tunnels that ended by side and by how they ended",
                ),
                &["side", "end"],
            )?,
            back_end_exits: counters(
                "gateway_back_end_exits_total",
                "Exits of back ends by source of the evidence",
                "source",
            )?,
            resumed_streams: IntCounterVec::new(
                Opts::new(
                    "gateway_resumed_streams_total",
                    "Streams that continue at another back end",
                ),
                &["within", "software_version"],
            )?,
            stream_origins: counters(
                "gateway_stream_origins_total",
                "Streams that callers take up by source of the version that began them",
                "source",
            )?,
            prompt_sends: counters(
                "gateway_prompt_sends_total",
                "Requests for send times of prompts by result",
                "result",
            )?,
            reservations: counters(
                "gateway_reservations_total",
                "Questions for times at limited back ends",
                "result",
            )?,
            engine_queue: counters(
                "gateway_engine_queue_total",
                "Requests that waited for full engines or were refused for them",
                "result",
            )?,
            back_end_statements: counters(
                "gateway_back_end_statements_total",
                "Answers in which back ends say that they leave or ask for a pause",
                "kind",
            )?,
            orders: counters("gateway_orders_total", "Orders by result", "result")?,
            store_loads: counters(
                "gateway_store_loads_total",
                "Loads from weight stores that have ended by speed",
                "speed",
            )?,
            table_calls: counters("gateway_table_calls_total", "Table calls", "result")?,
            refused_rows: counters("gateway_refused_rows_total", "Refused rows", "reason")?,
            quarantine_row: counters(
                "gateway_quarantine_row_total",
                "Reads and writes of the row that keeps quarantine verdicts",
                "result",
            )?,
            version_history_row: counters(
                "gateway_version_history_row_total",
                "Writes of the row with the software versions of services",
                "result",
            )?,
            lease_changes: counters("gateway_lease_changes_total", "Lease changes", "kind")?,
            table_era: IntGauge::new(
                "gateway_table_era",
                "Restores of the table from older copies",
            )?,
            refused_bodies: counters(
                "gateway_refused_bodies_total",
                "Requests refused for lack of memory for their bodies",
                "reason",
            )?,
            unread_connections: IntCounter::new(
                "gateway_unread_connections_total",
                "Connections of callers closed with their requests unread",
            )?,
            open_requests: IntGauge::new("gateway_open_requests", "Requests being served")?,
            open_tunnels: IntGauge::new(
                "gateway_open_tunnels",
                "Connections to back ends that serve other gateways",
            )?,
            stated_limits: IntGauge::new("gateway_stated_limits", "Back ends that state a limit")?,
            dropped_lines: IntGauge::new("gateway_lines_left_out", "Log lines left out")?,
            queue_time: latency("gateway_queue_seconds", "Wait for a back end")?,
            connect_time: latency("gateway_connect_seconds", "Time to connect to a back end")?,
            first_byte_time: latency("gateway_first_byte_seconds", "Send to first byte")?,
            response_time: latency("gateway_whole_seconds", "Arrival to end of answer")?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> eyre::Result<()> {
        let counters = [
            &self.requests,
            &self.tenant_requests,
            &self.attempts,
            &self.attempts_not_run,
            &self.back_end_connects,
            &self.tunnel_ends,
            &self.back_end_exits,
            &self.resumed_streams,
            &self.stream_origins,
            &self.reservations,
            &self.engine_queue,
            &self.prompt_sends,
            &self.back_end_statements,
            &self.orders,
            &self.store_loads,
            &self.table_calls,
            &self.refused_rows,
            &self.quarantine_row,
            &self.version_history_row,
            &self.lease_changes,
            &self.refused_bodies,
        ];
        for counter in counters {
            self.registry.register(Box::new(counter.clone()))?;
        }
        let unread = self.unread_connections.clone();
        self.registry.register(Box::new(unread))?;
        let gauges = [
            &self.table_era,
            &self.open_requests,
            &self.open_tunnels,
            &self.stated_limits,
            &self.dropped_lines,
        ];
        for gauge in gauges {
            self.registry.register(Box::new(gauge.clone()))?;
        }
        for histogram in [
            &self.queue_time,
            &self.connect_time,
            &self.first_byte_time,
            &self.response_time,
        ] {
            self.registry.register(Box::new(histogram.clone()))?;
        }
        Ok(())
    }

    /// Counts an attempt that did not run the request, as `source` stated: `back_end` or `gateway`.
    pub fn record_not_run(&self, source: &str) {
        self.attempts_not_run.with_label_values(&[source]).inc();
    }

    /// Counts a connection to a back end that was opened, or could not be, over a path.
    pub fn record_back_end_connect(&self, path: &str, result: &str) {
        let labels = [path, result];
        self.back_end_connects.with_label_values(&labels).inc();
    }

    /// Counts the end of a tunnel. `side` is `origin` or `carrier`.
    pub fn record_tunnel_end(&self, side: &str, end: &str) {
        self.tunnel_ends.with_label_values(&[side, end]).inc();
    }

    /// Counts the exit of a back end, by where the evidence comes from.
    pub fn record_back_end_exit(&self, source: &str) {
        self.back_end_exits.with_label_values(&[source]).inc();
    }

    /// Counts a stream that continues at another back end, within a response or over two requests
    /// of its caller.
    pub fn record_stream_resumed(&self, within: &str, keeps_version: bool) {
        let version = if keeps_version { "kept" } else { "changed" };
        let labels = [within, version];
        self.resumed_streams.with_label_values(&labels).inc();
    }

    /// Counts a stream that a caller takes up, by how the version that began it was found out.
    pub fn record_stream_origin(&self, source: &str) {
        self.stream_origins.with_label_values(&[source]).inc();
    }

    /// Counts a request that waited for full engines, or was refused for them.
    pub fn record_engine_queue(&self, result: &str) {
        self.engine_queue.with_label_values(&[result]).inc();
    }

    /// Records the time that a request waited for a back end.
    pub fn record_queue_time(&self, time: Duration) {
        self.queue_time.observe(time.as_secs_f64());
    }

    /// Records the time to establish a connection to a back end, including failed attempts.
    pub fn record_connect_time(&self, time: Duration) {
        self.connect_time.observe(time.as_secs_f64());
    }

    /// Records the time from a send to the first byte of the back end's response.
    pub fn record_first_byte_time(&self, time: Duration) {
        self.first_byte_time.observe(time.as_secs_f64());
    }

    /// Counts a completed request and records the time since its arrival.
    pub fn record_request_end(&self, outcome: &str, time: Duration) {
        self.requests.with_label_values(&[outcome]).inc();
        self.response_time.observe(time.as_secs_f64());
    }

    /// Counts a request of a tenant that has been completed or refused.
    pub fn record_tenant_request_end(&self, tenant: &str, outcome: &str) {
        let mut tenants = self.tenants.lock();
        let has_own = tenants.contains(tenant)
            || tenants.len() < MAX_TENANTS && tenants.insert(tenant.to_owned());
        drop(tenants);
        let label = if has_own { tenant } else { OTHER_TENANTS };
        self.tenant_requests
            .with_label_values(&[label, outcome])
            .inc();
    }

    /// Encodes the metrics for the collector.
    pub fn encode(&self) -> eyre::Result<Vec<u8>> {
        let dropped = i64::try_from(crate::event_log::dropped_lines())?;
        self.dropped_lines.set(dropped);
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn counters(name: &str, help: &str, label: &str) -> eyre::Result<IntCounterVec> {
    Ok(IntCounterVec::new(Opts::new(name, help), &[label])?)
}

fn latency(name: &str, help: &str) -> eyre::Result<Histogram> {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    Ok(Histogram::with_opts(options)?)
}
