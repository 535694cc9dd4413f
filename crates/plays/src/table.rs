//! Tables of outcomes: by figure, and of the worth by day.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use crate::outcome::Outcome;
use crate::play::{Arm, Day};
use crate::statistics::Estimate;

/// Figures whose means are all below this are left out of the table.
const LEAST_FIGURE: f64 = 0.001;

/// Outcomes by arm and day.
#[derive(Debug, Default)]
pub struct Outcomes(BTreeMap<(usize, Day), Outcome>);

impl Outcomes {
    /// Adds the outcome of a play.
    pub fn insert(&mut self, arm: usize, day: Day, outcome: Outcome) {
        self.0.insert((arm, day), outcome);
    }

    fn figure(&self, arm: usize, day: &Day, name: &str) -> Option<f64> {
        let outcome = self.0.get(&(arm, day.clone()))?;
        outcome.figures.get(name).copied()
    }

    fn values(&self, arm: usize, days: &[Day], name: &str) -> Vec<f64> {
        let values = days.iter().map(|day| self.figure(arm, day, name));
        values.flatten().collect()
    }

    fn pairs(&self, arm: usize, days: &[Day], name: &str) -> Vec<(f64, f64)> {
        let pair = |day: &Day| Some((self.figure(0, day, name)?, self.figure(arm, day, name)?));
        days.iter().filter_map(pair).collect()
    }

    fn names(&self) -> BTreeSet<&String> {
        let outcomes = self.0.values();
        outcomes
            .flat_map(|outcome| outcome.figures.keys())
            .collect()
    }

    /// All figures, then the worth by day, then what was broken.
    pub fn render(&self, arms: &[Arm], days: &[Day]) -> String {
        let mut text = String::new();
        self.render_figures(&mut text, arms, days);
        self.render_days(&mut text, arms, days);
        self.render_broken(&mut text, arms);
        text
    }

    fn render_figures(&self, text: &mut String, arms: &[Arm], days: &[Day]) {
        for name in self.names() {
            let line = self.line(arms, days, name);
            let matters = |arm| {
                let mean = Estimate::of(&self.values(arm, days, name));
                mean.is_some_and(|mean| mean.mean.abs() >= LEAST_FIGURE)
            };
            if (0..arms.len()).any(matters) {
                let _ = writeln!(text, "{name:<58}{line}");
            }
        }
    }

    fn render_days(&self, text: &mut String, arms: &[Arm], days: &[Day]) {
        let names: BTreeSet<&String> = days.iter().map(|day| &day.name).collect();
        for name in names {
            let same = |day: &&Day| day.name == *name;
            let of_name: Vec<Day> = days.iter().filter(same).cloned().collect();
            let line = self.line(arms, &of_name, "worth");
            let label = format!("worth of {name}");
            let _ = writeln!(text, "{label:<58}{line}");
        }
    }

    fn line(&self, arms: &[Arm], days: &[Day], name: &str) -> String {
        let mut line = String::new();
        for (index, arm) in arms.iter().enumerate() {
            let Some(own) = Estimate::of(&self.values(index, days, name)) else {
                continue;
            };
            let _ = write!(line, "  {} {}", arm.name, show(own, false));
            let difference = Estimate::of_differences(&self.pairs(index, days, name));
            if let (1.., Some(difference)) = (index, difference) {
                let _ = write!(line, " [{}]", show(difference, true));
            }
        }
        line
    }

    fn render_broken(&self, text: &mut String, arms: &[Arm]) {
        for ((arm, day), outcome) in &self.0 {
            for broken in &outcome.broken {
                let _ = writeln!(text, "BROKEN {} {day}: {broken}", arms[*arm].name);
            }
        }
    }
}

fn show(estimate: Estimate, signed: bool) -> String {
    let mean = if signed {
        format!("{:+.4}", estimate.mean)
    } else {
        format!("{:.4}", estimate.mean)
    };
    match estimate.standard_error {
        Some(error) => format!("{mean} ±{error:.4}"),
        None => mean,
    }
}
