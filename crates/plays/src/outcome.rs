//! The figures of one play, read from the report that the bench writes.

use std::collections::BTreeMap;

use serde::Deserialize;

/// What the bench reports of a play; other fields are passed over.
#[derive(Clone, Debug, Deserialize)]
struct Report {
    #[serde(rename = "G")]
    worth: f64,
    served: f64,
    fault: Option<String>,
    short: Vec<serde_json::Value>,
    breaks: BTreeMap<String, serde_json::Value>,
    prices: Vec<(String, f64, f64)>,
    classes: Vec<Class>,
}

#[derive(Clone, Debug, Deserialize)]
struct Class {
    name: String,
    #[serde(default)]
    worth: Option<f64>,
}

/// The figures of one play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Figures by name: `worth`, `served`, one for each price and each kind of request.
    pub figures: BTreeMap<String, f64>,
    /// Rules that were broken, floors that were missed, faults.
    pub broken: Vec<String>,
}

impl Outcome {
    /// Reads a report.
    ///
    /// # Errors
    ///
    /// If the text is not a report.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let report: Report = serde_json::from_str(text)?;
        let mut figures = BTreeMap::from([
            ("worth".to_owned(), report.worth),
            ("served".to_owned(), report.served),
        ]);
        for (name, _, cost) in report.prices {
            figures.insert(format!("price: {name}"), cost);
        }
        for class in report.classes {
            if let Some(worth) = class.worth {
                figures.insert(format!("kind: {}", class.name), worth);
            }
        }
        let mut broken: Vec<String> = report.breaks.into_keys().collect();
        broken.extend(report.short.iter().map(|short| format!("short: {short}")));
        broken.extend(report.fault.map(|fault| format!("fault: {fault}")));
        Ok(Outcome { figures, broken })
    }
}
