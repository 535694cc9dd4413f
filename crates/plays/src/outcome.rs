//! Reads the metrics of one run from the report that the benchmark program writes.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The report of a run; other fields are ignored.
#[derive(Clone, Debug, Deserialize)]
struct Report {
    #[serde(rename = "G")]
    score: f64,
    served: f64,
    fault: Option<String>,
    short: Vec<serde_json::Value>,
    breaks: BTreeMap<String, serde_json::Value>,
    prices: Vec<(String, f64, f64)>,
    classes: Vec<Class>,
}

/// A class of requests in the report.
#[derive(Clone, Debug, Deserialize)]
struct Class {
    name: String,
    #[serde(default, rename = "worth")]
    score: Option<f64>,
}

/// The result of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Metrics by name: `worth`, `served`, one for each price and each class of
    /// requests.
    pub metrics: BTreeMap<String, f64>,
    /// Broken rules, missed minimum values, and faults of the run.
    pub failures: Vec<String>,
}

impl Outcome {
    /// Parses a report.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a report.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let report: Report = serde_json::from_str(text)?;
        let mut metrics = BTreeMap::from([
            ("worth".to_owned(), report.score),
            ("served".to_owned(), report.served),
        ]);
        for (name, _, cost) in report.prices {
            metrics.insert(format!("price: {name}"), cost);
        }
        for class in report.classes {
            if let Some(score) = class.score {
                metrics.insert(format!("kind: {}", class.name), score);
            }
        }
        let mut failures: Vec<String> = report.breaks.into_keys().collect();
        failures.extend(report.short.iter().map(|short| format!("short: {short}")));
        failures.extend(report.fault.map(|fault| format!("fault: {fault}")));
        Ok(Outcome { metrics, failures })
    }
}
