//! Tests the metrics of a gateway.

use gorsebank_gateway::metrics::Metrics;

#[test]
fn the_number_of_tenant_series_is_bounded() {
    let metrics = Metrics::new().expect("metrics");
    for number in 0..2_000 {
        metrics.record_tenant_request_end(&format!("tenant-{number}"), "served");
    }
    metrics.record_tenant_request_end("tenant-0", "served");
    let text = String::from_utf8(metrics.encode().expect("a text")).expect("text");
    let tenant_lines: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("gateway_tenant_requests_total{"))
        .collect();
    assert_eq!(tenant_lines.len(), 33);
    let count = |tenant: &str| {
        let label = format!("tenant=\"{tenant}\"");
        let line = tenant_lines.iter().find(|line| line.contains(&label));
        line.and_then(|line| line.rsplit(' ').next())
    };
    assert_eq!(count("tenant-0"), Some("2"));
    assert_eq!(count("other"), Some("1968"));
}
