//! Names of things in the world. Each is a distinct type, cheap to clone.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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
    /// A failure zone, such as one hall of a data centre.
    ZoneId
);
identifier!(
    /// The set of zones that one placement holder decides for.
    CellId
);
identifier!(
    /// A base model.
    ModelId
);
identifier!(
    /// Whose callers use the deployment under keys and a limit of their own.
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
    /// A pool of interchangeable back ends, such as `meter-llm` or `customer-api`.
    ServiceId
);
