//! Back ends that start again under the name that they had: what is known of a life of one is
//! not held against the next, nor counted for it.

mod support;

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{Born, Incarnation, IncarnationMatch};
use proptest::prelude::*;
use support::{LOAD_TIME, Trouble, World, demand, moving_demand, play_without_overcommitment};

const EARLY: Option<Born> = Some(Born(1_000));
const LATE: Option<Born> = Some(Born(2_000));

#[test]
fn a_later_start_takes_the_place_of_a_known_one_and_an_earlier_one_does_not() {
    let mut known = Incarnation::new(EARLY);
    assert_eq!(known.observe(Timestamp(0), EARLY), IncarnationMatch::Same);
    assert_eq!(known.observe(Timestamp(1), LATE), IncarnationMatch::Other);
    assert_eq!(known.born(), LATE);
    assert_eq!(
        known.observe(Timestamp(2), EARLY),
        IncarnationMatch::Outdated
    );
    assert_eq!(known.born(), LATE);
}

#[test]
fn what_tells_no_start_speaks_of_the_life_that_is_known() {
    let mut known = Incarnation::new(None);
    assert_eq!(known.observe(Timestamp(0), None), IncarnationMatch::Same);
    assert_eq!(known.observe(Timestamp(1), EARLY), IncarnationMatch::Same);
    assert_eq!(known.observe(Timestamp(2), None), IncarnationMatch::Same);
    assert_eq!(known.born(), EARLY);
}

/// The clock of its machine was set back before it started again.
#[test]
fn an_earlier_start_is_believed_when_nothing_contradicts_it() {
    let mut known = Incarnation::new(LATE);
    assert_eq!(
        known.observe(Timestamp(0), EARLY),
        IncarnationMatch::Outdated
    );
    assert_eq!(
        known.observe(Timestamp(3_000), LATE),
        IncarnationMatch::Same
    );
    assert_eq!(
        known.observe(Timestamp(4_000), EARLY),
        IncarnationMatch::Outdated
    );
    assert_eq!(
        known.observe(Timestamp(7_000), EARLY),
        IncarnationMatch::Outdated
    );
    assert_eq!(
        known.observe(Timestamp(9_000), EARLY),
        IncarnationMatch::Other
    );
    assert_eq!(known.born(), EARLY);
}

/// Its orders are counted anew, so each report seemed to be older than what was known.
#[test]
fn an_engine_that_starts_again_under_its_name_is_used_again_at_once() {
    let mut world = World::new(1, &[]);
    let rows = vec![demand(&[("m1", 1.0, 1), ("m2", 1.0, 1)])];
    let turns = |world: &mut World, from: u64, to: u64| {
        for now in (from..to).step_by(50) {
            world.turn(now, &rows);
        }
    };
    // By then no order of a holder before this one can be under way.
    let restart = 14_000;
    turns(&mut world, 0, restart);
    assert_eq!((world.holders("m1"), world.holders("m2")), (1, 1));
    world.restart_under_its_name(restart, 0);
    turns(&mut world, restart, restart + 2 * LOAD_TIME + 2_000);
    assert_eq!((world.holders("m1"), world.holders("m2")), (1, 1));
}

/// What was asked of it before it told its start is answered by the same life: an order whose
/// answer is dropped would be waited for without end.
#[test]
fn an_engine_that_begins_to_tell_its_start_is_still_the_one_that_was_asked() {
    let mut world = World::new(1, &[]);
    world.engines[0].born = None;
    world.observe(0);
    let engine = world.engines[0].id.clone();
    world.engines[0].born = EARLY;
    world.observe(100);
    assert!(world.planner.plans_for(&engine, None));
    assert!(world.planner.plans_for(&engine, EARLY));
    assert!(!world.planner.plans_for(&engine, LATE));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    /// An order of a former life that had no answer may be carried out in the next one: it bears
    /// a number that the engine may come by again.
    #[test]
    fn engines_that_start_again_are_never_overcommitted(
        rows in moving_demand(),
        faults in prop::collection::vec(0u8..12, 200..400),
        holder_changes in prop::collection::vec(1u64..16_000, 0..3),
        restarts in prop::collection::vec((0usize..4, 0u64..16_000), 1..8),
    ) {
        let trouble = Trouble { faults, holder_changes, restarts };
        play_without_overcommitment(&rows, trouble, World::restart_under_its_name)?;
    }
}
