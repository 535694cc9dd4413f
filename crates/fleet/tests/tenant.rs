//! Tests tenants: the lookup by API key, the cost of a request, and the validation of the list.

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
    Tenants::new(entries).expect_err("the list is invalid")
}

#[test]
fn a_key_belongs_to_one_tenant() {
    let list = vec![entry("crews", &["a", "b"]), entry("desks", &["c"])];
    let tenants = Tenants::new(list).expect("a list");
    let owner = |key: &str| {
        let owner = tenants.tenant_of_key(&ApiKey::from(key));
        owner.map(|tenant| tenant.id.to_string())
    };
    assert_eq!(owner("b").as_deref(), Some("crews"));
    assert_eq!(owner("c").as_deref(), Some("desks"));
    assert_eq!(owner("d"), None);
    assert_eq!(owner(""), None);
}

#[test]
fn errors_name_the_position_of_the_entry() {
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
        let mut invalid = entry("crews", &["a"]);
        invalid.tenant.limit = Some(limit(rate, LimitUnit::Requests));
        let expected = TenantsError::InvalidLimit {
            index: 0,
            name: "crews".into(),
        };
        assert_eq!(error(vec![invalid]), expected, "{rate}");
    }
}

#[test]
fn keys_are_not_printed() {
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
fn the_cost_of_a_request_follows_the_unit_of_the_limit() {
    let request_limit = limit(5.0, LimitUnit::Requests);
    assert_eq!(request_limit.cost(Some(1_540)), 1.0);
    let token_limit = limit(
        2_700.0,
        LimitUnit::Tokens {
            default_cost: 200.0,
        },
    );
    assert_eq!(token_limit.cost(Some(1_540)), 1_540.0);
    assert_eq!(token_limit.cost(None), 200.0);
}
