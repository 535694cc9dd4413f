//! Tenants: whose key it is, what a request counts for, what a list may not say.

use gorsebank_fleet::{ApiKey, LimitUnit, Tenant, TenantEntry, TenantLimit, Tenants, TenantsError};

fn limit(rate: f64, unit: LimitUnit) -> TenantLimit {
    TenantLimit {
        rate,
        burst: rate,
        unit,
    }
}

fn entry(name: &str, keys: &[&str]) -> TenantEntry {
    TenantEntry {
        tenant: Tenant {
            id: name.into(),
            priority: None,
            limit: None,
        },
        keys: keys.iter().map(|key| ApiKey::from(*key)).collect(),
    }
}

fn error(entries: Vec<TenantEntry>) -> TenantsError {
    Tenants::new(entries).expect_err("it makes no sense")
}

#[test]
fn a_key_has_one_holder() {
    let list = vec![entry("crews", &["a", "b"]), entry("desks", &["c"])];
    let tenants = Tenants::new(list).expect("a list");
    let holder = |key: &str| {
        let holder = tenants.tenant_of_key(&ApiKey::from(key));
        holder.map(|tenant| tenant.id.to_string())
    };
    assert_eq!(holder("b").as_deref(), Some("crews"));
    assert_eq!(holder("c").as_deref(), Some("desks"));
    assert_eq!(holder("d"), None);
    assert_eq!(holder(""), None);
}

#[test]
fn what_makes_no_sense_is_told_by_its_place() {
    let nameless = error(vec![entry("crews", &[]), entry("", &[])]);
    assert_eq!(nameless, TenantsError::EmptyName { index: 1 });
    let twice = error(vec![entry("crews", &["a"]), entry("crews", &["b"])]);
    assert_eq!(
        twice.to_string(),
        "tenants[1]: `crews` is listed more than once"
    );
    let shared = error(vec![
        entry("crews", &["a", "b"]),
        entry("desks", &["c", "b"]),
    ]);
    assert_eq!(
        shared.to_string(),
        "tenants[1] `desks`: key 1 also belongs to `crews`"
    );
    let empty = error(vec![entry("crews", &["a", ""])]);
    assert_eq!(empty.to_string(), "tenants[0] `crews`: key 1 is empty");
    for rate in [-1.0, f64::NAN, f64::INFINITY] {
        let mut wrong = entry("crews", &["a"]);
        wrong.tenant.limit = Some(limit(rate, LimitUnit::Requests));
        let place = TenantsError::InvalidLimit {
            index: 0,
            name: "crews".into(),
        };
        assert_eq!(error(vec![wrong]), place, "{rate}");
    }
}

#[test]
fn no_key_can_be_printed() {
    let list = vec![entry("crews", &["secret-key"])];
    let printed = format!("{list:?} {:?}", Tenants::new(list.clone()));
    assert!(!printed.contains("secret-key"), "{printed}");
    let shared = error(vec![
        entry("crews", &["secret-key"]),
        entry("desks", &["secret-key"]),
    ]);
    assert!(!format!("{shared:?} {shared}").contains("secret-key"));
}

#[test]
fn a_request_counts_as_its_limit_says() {
    let by_request = limit(5.0, LimitUnit::Requests);
    assert_eq!(by_request.cost(Some(1_540)), 1.0);
    let by_token = limit(
        2_700.0,
        LimitUnit::Tokens {
            default_cost: 200.0,
        },
    );
    assert_eq!(by_token.cost(Some(1_540)), 1_540.0);
    assert_eq!(by_token.cost(None), 200.0);
}
