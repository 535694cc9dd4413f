//! A priority queue that returns events by time, and events of the same time in insertion order.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event with its time, in microseconds.
#[derive(Debug)]
struct Scheduled<E> {
    at: u64,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// Reverses the order, since `BinaryHeap` returns the greatest element first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Queue of future events.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    last_sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            last_sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event at the time `at`, in microseconds.
    pub fn add(&mut self, at: u64, event: E) {
        self.last_sequence += 1;
        self.heap.push(Scheduled {
            at,
            sequence: self.last_sequence,
            event,
        });
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        self.heap
            .pop()
            .map(|scheduled| (scheduled.at, scheduled.event))
    }
}
