//! The event queue: by time, then in the order in which events were added.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event with its time, in microseconds.
#[derive(Debug)]
struct Scheduled<E> {
    at: u64,
    number: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// Reversed, since the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events to come.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Scheduled<E>>,
    numbers: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            numbers: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn add(&mut self, at: u64, event: E) {
        self.numbers += 1;
        self.heap.push(Scheduled {
            at,
            number: self.numbers,
            event,
        });
    }

    /// The next event with its time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        self.heap
            .pop()
            .map(|scheduled| (scheduled.at, scheduled.event))
    }
}
