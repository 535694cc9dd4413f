//! Growing numbers that order events across processes.

use serde::{Deserialize, Serialize};

macro_rules! growing_number {
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

growing_number!(
    /// The generation of a placement holder. Back ends and the table refuse lower ones.
    Fence
);
growing_number!(
    /// The number of an order under one fence.
    Sequence
);
growing_number!(
    /// A dense revision of the configuration.
    Revision
);
growing_number!(
    /// The generation of a claim group.
    Epoch
);
growing_number!(
    /// One life of a process; a restarted process has another.
    Incarnation
);
