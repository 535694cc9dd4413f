//! Identifiers of nodes, back ends, models and other entities.
//!
//! Each kind of identifier has a type of its own. The text is reference-counted, so that clones
//! are cheap.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Defines an identifier type whose serialised form is its plain text.
macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

identifier!(
    /// A gorsebank node, unique within the deployment.
    NodeId
);
identifier!(
    /// A model engine or an application back end.
    BackEndId
);
identifier!(
    /// A failure zone, such as a data centre hall.
    ZoneId
);
identifier!(
    /// The set of zones in which one placement holder decides the placement.
    CellId
);
identifier!(
    /// A base model.
    ModelId
);
identifier!(
    /// A tenant, whose callers have API keys and a quota of their own.
    TenantId
);
identifier!(
    /// An adapter of a base model.
    AdapterId
);
identifier!(
    /// A version of a model's weights.
    VersionId
);
identifier!(
    /// A version of a back end's software.
    SoftwareVersion
);
identifier!(
    /// A pool of interchangeable back ends, such as `meter-llm` or `customer-api`.
    ServiceId
);
