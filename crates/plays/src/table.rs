//! Renders tables of outcomes: all metrics, and the score of each scenario.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use crate::outcome::Outcome;
use crate::scenario_run::{Scenario, Variant};
use crate::statistics::Estimate;

/// Metrics whose mean is below this value for every variant are left out of the
/// table.
const MIN_PRINTED_MEAN: f64 = 0.001;

/// Outcomes by index of the variant and scenario.
#[derive(Debug, Default)]
pub struct Outcomes(BTreeMap<(usize, Scenario), Outcome>);

impl Outcomes {
    /// Adds the outcome of a run.
    pub fn insert(&mut self, variant: usize, scenario: Scenario, outcome: Outcome) {
        self.0.insert((variant, scenario), outcome);
    }

    fn metric(&self, variant: usize, scenario: &Scenario, name: &str) -> Option<f64> {
        let outcome = self.0.get(&(variant, scenario.clone()))?;
        outcome.metrics.get(name).copied()
    }

    fn values(&self, variant: usize, scenarios: &[Scenario], name: &str) -> Vec<f64> {
        let values = scenarios
            .iter()
            .map(|scenario| self.metric(variant, scenario, name));
        values.flatten().collect()
    }

    fn pairs(&self, variant: usize, scenarios: &[Scenario], name: &str) -> Vec<(f64, f64)> {
        let pair = |scenario: &Scenario| {
            Some((
                self.metric(0, scenario, name)?,
                self.metric(variant, scenario, name)?,
            ))
        };
        scenarios.iter().filter_map(pair).collect()
    }

    fn names(&self) -> BTreeSet<&String> {
        let outcomes = self.0.values();
        outcomes
            .flat_map(|outcome| outcome.metrics.keys())
            .collect()
    }

    /// Renders all metrics, then the score of each scenario, then the failures.
    pub fn render(&self, variants: &[Variant], scenarios: &[Scenario]) -> String {
        let mut text = String::new();
        self.render_metrics(&mut text, variants, scenarios);
        self.render_scenarios(&mut text, variants, scenarios);
        self.render_failures(&mut text, variants);
        text
    }

    fn render_metrics(&self, text: &mut String, variants: &[Variant], scenarios: &[Scenario]) {
        for name in self.names() {
            let line = self.format_row(variants, scenarios, name);
            let is_printed = |variant| {
                let mean = Estimate::of(&self.values(variant, scenarios, name));
                mean.is_some_and(|mean| mean.mean.abs() >= MIN_PRINTED_MEAN)
            };
            if (0..variants.len()).any(is_printed) {
                let _ = writeln!(text, "{name:<58}{line}");
            }
        }
    }

    fn render_scenarios(&self, text: &mut String, variants: &[Variant], scenarios: &[Scenario]) {
        let names: BTreeSet<&String> = scenarios.iter().map(|scenario| &scenario.name).collect();
        for name in names {
            let has_name = |scenario: &&Scenario| scenario.name == *name;
            let of_name: Vec<Scenario> = scenarios.iter().filter(has_name).cloned().collect();
            let line = self.format_row(variants, &of_name, "worth");
            let label = format!("worth of {name}");
            let _ = writeln!(text, "{label:<58}{line}");
        }
    }

    fn format_row(&self, variants: &[Variant], scenarios: &[Scenario], name: &str) -> String {
        let mut line = String::new();
        for (index, variant) in variants.iter().enumerate() {
            let Some(mean) = Estimate::of(&self.values(index, scenarios, name)) else {
                continue;
            };
            let _ = write!(line, "  {} {}", variant.name, format_estimate(mean, false));
            let difference = Estimate::of_differences(&self.pairs(index, scenarios, name));
            if let (1.., Some(difference)) = (index, difference) {
                let _ = write!(line, " [{}]", format_estimate(difference, true));
            }
        }
        line
    }

    fn render_failures(&self, text: &mut String, variants: &[Variant]) {
        for ((variant, scenario), outcome) in &self.0 {
            for failure in &outcome.failures {
                let _ = writeln!(
                    text,
                    "BROKEN {} {scenario}: {failure}",
                    variants[*variant].name
                );
            }
        }
    }
}

fn format_estimate(estimate: Estimate, signed: bool) -> String {
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
