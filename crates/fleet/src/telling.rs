//! How long gateways keep what back ends say of themselves, and how much of it they tell others.

/// What nobody has repeated for so long, in milliseconds, is forgotten: the back end may be gone,
/// and if it is not, its next answer says what holds.
pub const MEMORY: u64 = 600_000;
/// What is younger than this is told on, in milliseconds: each round among gateways takes half a
/// second.
const TOLD_FOR: u64 = 10_000;
/// Statements of one kind that are told at most: about 20 bytes each, to each gateway twice a
/// second. Whoever is not told hears of it with its own first answer.
const MOST_TOLD: usize = 200;

/// The newest of these, as many as are told, by their ages in milliseconds.
pub fn newest<T>(told: impl Iterator<Item = T>, age: impl Fn(&T) -> u64) -> Vec<T> {
    let mut told: Vec<T> = told.filter(|it| age(it) < TOLD_FOR).collect();
    told.sort_by_key(&age);
    told.truncate(MOST_TOLD);
    told
}
