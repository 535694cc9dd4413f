//! Allocation of addresses for processes that are started later.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use gorsebank_replay::live::free_address;

/// An emulated engine failed to start because its address was in use. A check that listens on a
/// port holds a descriptor of the port for a short time. A child process that another thread
/// starts at that time inherits the descriptor and keeps it until its program begins.
#[test]
fn free_addresses_are_unused_while_other_threads_start_processes() {
    let is_done = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let is_done = is_done.clone();
            std::thread::spawn(move || {
                while !is_done.load(Ordering::Relaxed) {
                    let started = Command::new("true").status();
                    assert!(started.is_ok_and(|status| status.success()));
                }
            })
        })
        .collect();
    let mut used = BTreeSet::new();
    for _ in 0..3_000 {
        let address = free_address().expect("a free address");
        if TcpListener::bind(address).is_err() {
            used.insert(address);
        }
    }
    is_done.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("child processes start");
    }
    assert!(
        used.is_empty(),
        "{} of 3,000 addresses were in use: {used:?}",
        used.len()
    );
}
