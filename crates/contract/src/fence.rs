//! Monotonically increasing numbers that order events across processes.

use serde::{Deserialize, Serialize};

/// Defines a number type that is serialised as a plain integer.
macro_rules! monotonic_number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number after this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

monotonic_number!(
    /// The fencing token of a placement holder. Back ends and the table reject lower ones.
    Fence
);
monotonic_number!(
    /// The number of an order, increasing under one fence.
    Sequence
);
monotonic_number!(
    /// A revision of the configuration. Revisions are consecutive.
    Revision
);
monotonic_number!(
    /// The generation of a claim group.
    Epoch
);
monotonic_number!(
    /// One run of a process; a restarted process has another incarnation.
    Incarnation
);
