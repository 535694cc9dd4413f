//! Tests the placement lease under lost responses, delayed writes, suspensions and restarts: no two
//! nodes may give orders at the same time, and fencing tokens must never decrease.

use gorsebank_coordination::Timestamp;
use gorsebank_fleet::{Candidacy, LeaseKeeper, LeaseRow, LeaseStep};
use gorsebank_world::NodeId;
use proptest::prelude::*;

const LEASE_MS: u64 = 3_000;

/// A table of one row with a version, and delayed writes as (time, expected version, row).
#[derive(Default)]
struct Table {
    version: u64,
    row: Option<LeaseRow>,
    delayed: Vec<(u64, u64, LeaseRow)>,
}

impl Table {
    fn write(&mut self, expected: u64, row: LeaseRow) -> Option<u64> {
        let current = if self.row.is_some() { self.version } else { 0 };
        if current != expected {
            return None;
        }
        self.version += 1;
        self.row = Some(row);
        Some(self.version)
    }

    fn apply_delayed_writes(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.delayed = later;
        for (_, expected, row) in due {
            let _: Option<u64> = self.write(expected, row);
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    ResponseLost,
    Delayed(u64),
    Unreachable,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::ResponseLost),
        1 => (100u64..6_000).prop_map(Fault::Delayed),
        2 => Just(Fault::Unreachable),
    ]
}

fn candidacy() -> impl Strategy<Value = Candidacy> {
    prop_oneof![
        8 => Just(Candidacy::After(0)),
        1 => Just(Candidacy::Never),
    ]
}

fn run_step(table: &mut Table, keeper: &mut LeaseKeeper, now: u64, fault: Fault) {
    run_step_as(table, keeper, now, fault, Candidacy::After(0));
}

fn run_step_as(
    table: &mut Table,
    keeper: &mut LeaseKeeper,
    now: u64,
    fault: Fault,
    candidacy: Candidacy,
) {
    match keeper.step(Timestamp(now), candidacy) {
        LeaseStep::Wait(_) => {}
        LeaseStep::Read => {
            if !matches!(fault, Fault::Unreachable) {
                let version = if table.row.is_some() {
                    table.version
                } else {
                    0
                };
                keeper.record_read(Timestamp(now), version, table.row.as_ref());
            }
        }
        LeaseStep::Write { expected, row } => match fault {
            Fault::Unreachable => keeper.record_unconfirmed_write(),
            Fault::Delayed(delay) => {
                table.delayed.push((now + delay, expected, row));
                keeper.record_unconfirmed_write();
            }
            Fault::ResponseLost => {
                let _: Option<u64> = table.write(expected, row);
                keeper.record_unconfirmed_write();
            }
            Fault::None => match table.write(expected, row.clone()) {
                Some(version) => keeper.record_write(Timestamp(now), version, &row),
                None => keeper.record_conflict(),
            },
        },
    }
}

fn keeper(node: usize, process: u64) -> LeaseKeeper {
    LeaseKeeper::new(NodeId::from(format!("node-{node}")), process, LEASE_MS)
}

#[test]
fn a_free_lease_is_acquired_and_released() {
    let mut table = Table::default();
    let mut first = keeper(1, 11);
    run_step(&mut table, &mut first, 0, Fault::None);
    run_step(&mut table, &mut first, 1, Fault::None);
    assert_eq!(first.fence(Timestamp(2)), Some(1));
    let LeaseStep::Write { expected, row } = first.step(Timestamp(3), Candidacy::Never) else {
        panic!("a stopping holder releases the lease");
    };
    assert_eq!(row.holder, None);
    let version = table
        .write(expected, row.clone())
        .expect("the version is current");
    first.record_write(Timestamp(4), version, &row);
    let mut second = keeper(2, 22);
    run_step(&mut table, &mut second, 5, Fault::None);
    run_step(&mut table, &mut second, 6, Fault::None);
    assert_eq!(second.fence(Timestamp(7)), Some(3));
    assert_eq!(first.fence(Timestamp(7)), None);
}

/// Guards against two holders at once: a gateway that was asked to stop while the table applied its
/// writes but lost the responses went on giving orders under its fencing token beside the next
/// holder.
#[test]
fn a_holder_whose_release_has_no_response_gives_no_more_orders() {
    for fault in [Fault::ResponseLost, Fault::Delayed(100), Fault::Unreachable] {
        let mut table = Table::default();
        let mut first = keeper(1, 11);
        run_step(&mut table, &mut first, 0, Fault::None);
        run_step(&mut table, &mut first, 1, Fault::None);
        assert_eq!(first.fence(Timestamp(2)), Some(1));
        run_step_as(&mut table, &mut first, 3, fault, Candidacy::Never);
        assert_eq!(first.fence(Timestamp(4)), None, "{fault:?}");
        let mut second = keeper(2, 22);
        for now in (5..10_000).step_by(50) {
            table.apply_delayed_writes(now);
            run_step_as(
                &mut table,
                &mut first,
                now,
                Fault::Unreachable,
                Candidacy::Never,
            );
            run_step(&mut table, &mut second, now, Fault::None);
            assert_eq!(first.fence(Timestamp(now)), None, "{fault:?} at {now}");
        }
        assert!(second.fence(Timestamp(10_000)).is_some(), "{fault:?}");
    }
}

#[test]
fn a_holder_that_is_a_candidate_again_continues_once_the_table_confirms_its_lease() {
    let mut table = Table::default();
    let mut holder = keeper(1, 11);
    run_step(&mut table, &mut holder, 0, Fault::None);
    run_step(&mut table, &mut holder, 1, Fault::None);
    run_step_as(
        &mut table,
        &mut holder,
        3,
        Fault::Unreachable,
        Candidacy::Never,
    );
    assert_eq!(holder.fence(Timestamp(4)), None);
    // The release did not take effect, and can no longer do so, because the row has changed since.
    for now in (5..2_000).step_by(50) {
        run_step(&mut table, &mut holder, now, Fault::None);
    }
    assert_eq!(holder.fence(Timestamp(2_000)), Some(1));
}

#[test]
fn a_restarted_node_reacquires_its_own_lease_at_once() {
    let mut table = Table::default();
    let mut previous = keeper(1, 11);
    run_step(&mut table, &mut previous, 0, Fault::None);
    run_step(&mut table, &mut previous, 1, Fault::None);
    let mut other = keeper(2, 22);
    let mut restarted = keeper(1, 12);
    for now in [10, 11] {
        run_step(&mut table, &mut restarted, now, Fault::None);
        run_step(&mut table, &mut other, now, Fault::None);
    }
    assert_eq!(restarted.fence(Timestamp(12)), Some(2));
    assert_eq!(other.fence(Timestamp(12)), None);
}

#[test]
fn a_holder_that_cannot_renew_stops_before_another_begins() {
    let mut table = Table::default();
    let mut holder = keeper(1, 11);
    run_step(&mut table, &mut holder, 0, Fault::None);
    run_step(&mut table, &mut holder, 1, Fault::None);
    let mut other = keeper(2, 22);
    let mut stopped = None;
    let mut started = None;
    for now in (10..8_000).step_by(10) {
        run_step(&mut table, &mut holder, now, Fault::Unreachable);
        run_step(&mut table, &mut other, now, Fault::None);
        if holder.fence(Timestamp(now)).is_none() {
            stopped.get_or_insert(now);
        }
        if other.fence(Timestamp(now)).is_some() {
            started.get_or_insert(now);
        }
    }
    assert!(
        stopped.expect("the holder stops") + LEASE_MS / 5 < started.expect("another node begins")
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]
    #[test]
    fn two_nodes_never_give_orders_at_once(
        steps in prop::collection::vec((0usize..4, fault(), 0u64..400, candidacy()), 1..400),
        suspended_node in 0usize..4,
    ) {
        let mut table = Table::default();
        let mut keepers: Vec<LeaseKeeper> = (0..4).map(|node| keeper(node, node as u64)).collect();
        let mut now = 0;
        let mut highest_fence = 0;
        for (index, (node, fault, elapsed, candidacy)) in steps.into_iter().enumerate() {
            now += elapsed;
            table.apply_delayed_writes(now);
            // One node is suspended most of the time and resumes in between.
            if node != suspended_node || index % 9 == 0 {
                run_step_as(&mut table, &mut keepers[node], now, fault, candidacy);
            }
            let fences: Vec<u64> = keepers.iter().filter_map(|keeper| keeper.fence(Timestamp(now))).collect();
            prop_assert!(fences.len() <= 1, "{fences:?} at {now}");
            for fence in fences {
                prop_assert!(fence >= highest_fence, "{fence} after {highest_fence}");
                highest_fence = fence;
            }
        }
    }
}

/// Guards against taking an outage of the table for a missing renewal: the time in which nobody
/// could read the lease counted against its holder, and a weak machine took the lease after the
/// outage.
#[test]
fn time_in_which_the_lease_could_not_be_read_does_not_count_against_its_holder() {
    let mut other = LeaseKeeper::new(NodeId::from("node-2"), 2, LEASE_MS);
    let row = LeaseRow {
        holder: Some(NodeId::from("node-1")),
        process: 1,
        write: 7,
    };
    other.record_read(Timestamp(0), 5, Some(&row));
    other.record_read(Timestamp(300), 5, Some(&row));
    // The table was unreachable for 20 s, so the holder may be about to renew.
    other.record_read(Timestamp(20_000), 5, Some(&row));
    let step = other.step(Timestamp(20_001), Candidacy::After(0));
    assert!(!matches!(step, LeaseStep::Write { .. }), "{step:?}");
    let mut now = 20_000;
    while now < 20_000 + LEASE_MS * 2 {
        now += 300;
        other.record_read(Timestamp(now), 5, Some(&row));
    }
    let step = other.step(Timestamp(now), Candidacy::After(0));
    assert!(
        matches!(step, LeaseStep::Write { .. }),
        "nobody renewed the lease: {step:?}"
    );
}

#[test]
fn a_weaker_machine_acquires_the_lease_later_and_a_machine_that_is_no_candidate_never_does() {
    let mut keeper = LeaseKeeper::new(NodeId::from("node-2"), 2, LEASE_MS);
    keeper.record_read(Timestamp(0), 0, None);
    let step = |keeper: &mut LeaseKeeper, now, candidacy| keeper.step(Timestamp(now), candidacy);
    let later = Candidacy::After(2 * LEASE_MS);
    assert!(!matches!(
        step(&mut keeper, 1, later),
        LeaseStep::Write { .. }
    ));
    assert!(!matches!(
        step(&mut keeper, 1, Candidacy::Never),
        LeaseStep::Write { .. }
    ));
    assert!(matches!(
        step(&mut keeper, 1, Candidacy::After(0)),
        LeaseStep::Write { .. }
    ));
}
