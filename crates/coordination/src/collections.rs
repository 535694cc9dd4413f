//! Hash maps and sets that every process walks in the same order, so that a
//! seed gives one history.

use std::hash::{BuildHasherDefault, DefaultHasher};

/// A hash map with a fixed hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
/// A hash set with a fixed hasher.
pub type HashSet<T> = std::collections::HashSet<T, BuildHasherDefault<DefaultHasher>>;
