//! Addresses that are given to processes which are yet to be started.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use gorsebank_replay::live::free_address;

/// Once in CI an engine's stand-in did not start, since its address was in use. Whoever looked
/// whether a port is free by listening there had a descriptor of it for a moment, and so had
/// every child that another test started in that moment, until its program began.
#[test]
fn an_address_is_free_also_while_other_children_start() {
    let is_over = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..4)
        .map(|_| {
            let is_over = is_over.clone();
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let started = Command::new("true").status();
                    assert!(started.is_ok_and(|status| status.success()));
                }
            })
        })
        .collect();
    let mut taken = BTreeSet::new();
    for _ in 0..3_000 {
        let address = free_address().expect("a free address");
        if TcpListener::bind(address).is_err() {
            taken.insert(address);
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for starter in starters {
        starter.join().expect("children start");
    }
    assert!(
        taken.is_empty(),
        "{} of 3,000 were in use: {taken:?}",
        taken.len()
    );
}
