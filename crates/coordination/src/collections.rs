//! Hash maps and sets with the same iteration order in every process, so that a
//! run with a given seed is reproducible.

use std::hash::{BuildHasherDefault, DefaultHasher};

/// A hash map with a fixed hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, BuildHasherDefault<DefaultHasher>>;
/// A hash set with a fixed hasher.
pub type HashSet<T> = std::collections::HashSet<T, BuildHasherDefault<DefaultHasher>>;
