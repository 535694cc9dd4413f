//! Tenants: the owners of API keys, with the priority and the quota of their requests.
//!
//! Input: the operator's list. Output: the tenant of a key. The keys themselves are not stored.
//! They are looked up by a keyed hash whose key is generated at random for each list, so neither a
//! memory dump nor the timing of a look-up reveals anything about a key.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use gorsebank_world::TenantId;
use secrecy::{ExposeSecret, SecretString};
use thiserror::Error;

/// An API key as a caller or the operator states it. The value cannot be printed.
#[derive(Clone, Debug)]
pub struct ApiKey(SecretString);

impl From<String> for ApiKey {
    fn from(text: String) -> Self {
        ApiKey(text.into())
    }
}

impl From<&str> for ApiKey {
    fn from(text: &str) -> Self {
        ApiKey(text.into())
    }
}

/// The unit in which a quota is charged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitUnit {
    /// Each request is charged as one unit.
    Requests,
    /// Requests are charged by tokens: those of the prompt and of the longest possible response.
    Tokens {
        /// Charge for a request that states no number of tokens.
        default_cost: f64,
    },
}

/// A tenant's quota over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimit {
    /// Units per second.
    pub rate: f64,
    /// Burst: units on top of the rate.
    pub burst: f64,
    /// The unit that is charged.
    pub unit: LimitUnit,
}

impl TenantLimit {
    /// The charge for a request. `tokens` is the size that the request's head states.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match (self.unit, tokens) {
            (LimitUnit::Requests, _) => 1.0,
            (LimitUnit::Tokens { .. }, Some(tokens)) => tokens as f64,
            (
                LimitUnit::Tokens {
                    default_cost: plain,
                },
                None,
            ) => plain,
        }
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's name.
    pub id: TenantId,
    /// Priority rank of the tenant's requests, which takes precedence over that of the route; 0 is
    /// the most urgent.
    pub priority: Option<u8>,
    /// The tenant's quota; `None` if it is unlimited.
    pub limit: Option<TenantLimit>,
}

/// A tenant with its keys, as listed by the operator.
#[derive(Clone, Debug)]
pub struct TenantEntry {
    /// The tenant.
    pub tenant: Tenant,
    /// The tenant's keys.
    pub keys: Vec<ApiKey>,
}

/// Reason why a list of tenants is invalid. Positions count from 0.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TenantsError {
    /// A tenant has no name.
    #[error("tenants[{index}]: the name is empty")]
    EmptyName {
        /// Position in the list.
        index: usize,
    },
    /// Two tenants have the same name.
    #[error("tenants[{index}]: `{name}` is listed more than once")]
    DuplicateName {
        /// Position of the second tenant.
        index: usize,
        /// The name.
        name: TenantId,
    },
    /// A key is empty.
    #[error("tenants[{index}] `{name}`: key {key} is empty")]
    EmptyKey {
        /// Position of the tenant.
        index: usize,
        /// Name of the tenant.
        name: TenantId,
        /// Position of the key in the tenant's list.
        key: usize,
    },
    /// Two tenants have the same key.
    #[error("tenants[{index}] `{name}`: key {key} also belongs to `{other}`")]
    DuplicateKey {
        /// Position of the second tenant.
        index: usize,
        /// Name of the second tenant.
        name: TenantId,
        /// Position of the key in the second tenant's list.
        key: usize,
        /// Name of the tenant that was listed with the key first.
        other: TenantId,
    },
    /// A number of the quota is negative or not finite.
    #[error("tenants[{index}] `{name}`: the numbers of a limit must be finite and at least 0")]
    InvalidLimit {
        /// Position of the tenant.
        index: usize,
        /// Name of the tenant.
        name: TenantId,
    },
}

type Digest = [u8; blake3::OUT_LEN];

/// All tenants of one version of the configuration.
#[derive(Clone)]
pub struct Tenants {
    hash_key: Digest,
    by_key: HashMap<Digest, Arc<Tenant>>,
    by_name: HashMap<TenantId, Arc<Tenant>>,
}

impl fmt::Debug for Tenants {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut names: Vec<&TenantId> = self.by_name.keys().collect();
        names.sort();
        formatter.debug_tuple("Tenants").field(&names).finish()
    }
}

impl Tenants {
    /// Indexes a list of tenants.
    ///
    /// # Errors
    ///
    /// The first invalid entry.
    pub fn new(entries: Vec<TenantEntry>) -> Result<Self, TenantsError> {
        let mut tenants = Tenants {
            hash_key: rand::random(),
            by_key: HashMap::new(),
            by_name: HashMap::new(),
        };
        for (index, entry) in entries.into_iter().enumerate() {
            tenants.add(index, entry)?;
        }
        Ok(tenants)
    }

    fn add(&mut self, index: usize, entry: TenantEntry) -> Result<(), TenantsError> {
        let name = entry.tenant.id.clone();
        if name.as_str().is_empty() {
            return Err(TenantsError::EmptyName { index });
        }
        if entry.tenant.limit.is_some_and(is_invalid) {
            return Err(TenantsError::InvalidLimit { index, name });
        }
        let tenant = Arc::new(entry.tenant);
        if self.by_name.insert(name.clone(), tenant.clone()).is_some() {
            return Err(TenantsError::DuplicateName { index, name });
        }
        for (key, text) in entry.keys.iter().enumerate() {
            if text.0.expose_secret().is_empty() {
                return Err(TenantsError::EmptyKey { index, name, key });
            }
            let digest = self.digest(text);
            let previous = self.by_key.insert(digest, tenant.clone());
            if let Some(previous) = previous.filter(|previous| previous.id != name) {
                let other = previous.id.clone();
                return Err(TenantsError::DuplicateKey {
                    index,
                    name,
                    key,
                    other,
                });
            }
        }
        Ok(())
    }

    /// The tenant that has the key.
    pub fn tenant_of_key(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        self.by_key.get(&self.digest(key))
    }

    /// Looks up a tenant by name.
    pub fn tenant(&self, id: &TenantId) -> Option<&Arc<Tenant>> {
        self.by_name.get(id)
    }

    /// Iterates over all tenants, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }

    fn digest(&self, key: &ApiKey) -> Digest {
        let text = key.0.expose_secret().as_bytes();
        *blake3::keyed_hash(&self.hash_key, text).as_bytes()
    }
}

fn is_invalid(limit: TenantLimit) -> bool {
    let plain = match limit.unit {
        LimitUnit::Requests => 0.0,
        LimitUnit::Tokens {
            default_cost: plain,
        } => plain,
    };
    let values = [limit.rate, limit.burst, plain];
    values
        .iter()
        .any(|value| !value.is_finite() || *value < 0.0)
}
