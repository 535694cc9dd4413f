//! Figures of a gateway.

use gorsebank_gateway::metrics::Metrics;

#[test]
fn thousands_of_tenants_make_a_bounded_number_of_series() {
    let metrics = Metrics::new().expect("figures");
    for number in 0..2_000 {
        metrics.record_tenant_request_end(&format!("tenant-{number}"), "served");
    }
    metrics.record_tenant_request_end("tenant-0", "served");
    let text = String::from_utf8(metrics.encode().expect("a text")).expect("text");
    let of_tenants: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("gateway_tenant_requests_total{"))
        .collect();
    assert_eq!(of_tenants.len(), 33);
    let count = |tenant: &str| {
        let label = format!("tenant=\"{tenant}\"");
        let line = of_tenants.iter().find(|line| line.contains(&label));
        line.and_then(|line| line.rsplit(' ').next())
    };
    assert_eq!(count("tenant-0"), Some("2"));
    assert_eq!(count("other"), Some("1968"));
}
