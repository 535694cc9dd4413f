//! Tenants: whose key a caller bears, how urgent its requests are, what it may use.
//!
//! In: the operator's list. Out: the tenant of a key. Keys themselves are not kept: they are
//! looked up by a keyed hash whose key is drawn anew for each list, so that neither a dump nor
//! the time of a look-up says anything of a key.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use gorsebank_world::TenantId;
use secrecy::{ExposeSecret, SecretString};
use thiserror::Error;

/// A key as a caller or the operator states it. It cannot be printed.
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

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitUnit {
    /// Each request as one.
    Requests,
    /// Tokens, of the prompt and of the longest answer together.
    Tokens {
        /// What a request without a number of tokens counts for.
        plain: f64,
    },
}

/// What a tenant may use, over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimit {
    /// Units a second.
    pub rate: f64,
    /// Units on top, once.
    pub burst: f64,
    /// What is counted.
    pub unit: LimitUnit,
}

impl TenantLimit {
    /// What a request counts for. `tokens` is what its head says of its size.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match (self.unit, tokens) {
            (LimitUnit::Requests, _) => 1.0,
            (LimitUnit::Tokens { .. }, Some(tokens)) => tokens as f64,
            (LimitUnit::Tokens { plain }, None) => plain,
        }
    }
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub id: TenantId,
    /// Rank of its requests, before that of their routes; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What it may use; none if it is not limited.
    pub limit: Option<TenantLimit>,
}

/// A tenant with its keys, as the operator states it.
#[derive(Clone, Debug)]
pub struct TenantEntry {
    /// The tenant.
    pub tenant: Tenant,
    /// Its keys.
    pub keys: Vec<ApiKey>,
}

/// Why a list of tenants cannot be used. Tenants are counted from 0.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TenantsError {
    /// A tenant has no name.
    #[error("tenants[{index}]: the name is empty")]
    NoName {
        /// Its place in the list.
        index: usize,
    },
    /// Two tenants have one name.
    #[error("tenants[{index}]: `{name}` stands before already")]
    NameTwice {
        /// The place of the second one.
        index: usize,
        /// The name.
        name: TenantId,
    },
    /// A key is empty.
    #[error("tenants[{index}] `{name}`: key {key} is empty")]
    EmptyKey {
        /// The tenant's place.
        index: usize,
        /// The tenant.
        name: TenantId,
        /// The place of the key among the tenant's.
        key: usize,
    },
    /// Two tenants hold one key.
    #[error("tenants[{index}] `{name}`: key {key} is `{other}`'s")]
    KeyOfAnother {
        /// The tenant's place.
        index: usize,
        /// The tenant.
        name: TenantId,
        /// The place of the key among the tenant's.
        key: usize,
        /// Who holds it too.
        other: TenantId,
    },
    /// A figure of the limit makes no sense.
    #[error("tenants[{index}] `{name}`: a limit is a number that is not below 0")]
    WrongLimit {
        /// The tenant's place.
        index: usize,
        /// The tenant.
        name: TenantId,
    },
}

type Digest = [u8; blake3::OUT_LEN];

/// All tenants of one version of the configuration.
#[derive(Clone)]
pub struct Tenants {
    secret: Digest,
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
    /// Indexes a list.
    ///
    /// # Errors
    ///
    /// The first entry that makes no sense, by its place.
    pub fn new(entries: Vec<TenantEntry>) -> Result<Self, TenantsError> {
        let mut tenants = Tenants {
            secret: rand::random(),
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
            return Err(TenantsError::NoName { index });
        }
        if entry.tenant.limit.is_some_and(makes_no_sense) {
            return Err(TenantsError::WrongLimit { index, name });
        }
        let tenant = Arc::new(entry.tenant);
        if self.by_name.insert(name.clone(), tenant.clone()).is_some() {
            return Err(TenantsError::NameTwice { index, name });
        }
        for (key, text) in entry.keys.iter().enumerate() {
            if text.0.expose_secret().is_empty() {
                return Err(TenantsError::EmptyKey { index, name, key });
            }
            let digest = self.digest(text);
            let former = self.by_key.insert(digest, tenant.clone());
            if let Some(former) = former.filter(|former| former.id != name) {
                let other = former.id.clone();
                return Err(TenantsError::KeyOfAnother {
                    index,
                    name,
                    key,
                    other,
                });
            }
        }
        Ok(())
    }

    /// Who holds a key.
    pub fn holder(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        self.by_key.get(&self.digest(key))
    }

    /// A tenant by its name.
    pub fn tenant(&self, id: &TenantId) -> Option<&Arc<Tenant>> {
        self.by_name.get(id)
    }

    /// All tenants.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }

    fn digest(&self, key: &ApiKey) -> Digest {
        let text = key.0.expose_secret().as_bytes();
        *blake3::keyed_hash(&self.secret, text).as_bytes()
    }
}

fn makes_no_sense(limit: TenantLimit) -> bool {
    let plain = match limit.unit {
        LimitUnit::Requests => 0.0,
        LimitUnit::Tokens { plain } => plain,
    };
    let figures = [limit.rate, limit.burst, plain];
    figures
        .iter()
        .any(|figure| !figure.is_finite() || *figure < 0.0)
}
