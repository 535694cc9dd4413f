//! Selectors: which labels a deployment matches.
//!
//! The syntax is the one operators know: `key=value`, `key!=value`,
//! `key in (a,b)`, `key notin (a,b)`, `key`, `!key`, joined by commas.
//! An empty selector matches everything.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use winnow::ascii::{multispace0, multispace1};
use winnow::combinator::{alt, delimited, preceded, separated};
use winnow::prelude::*;
use winnow::token::take_while;

use crate::labels::Labels;

/// One requirement of a selector.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Requirement {
    Exists(String),
    Absent(String),
    In(String, Vec<String>),
    NotIn(String, Vec<String>),
}

impl Requirement {
    fn matches(&self, labels: &Labels) -> bool {
        let among = |key: &str, values: &[String]| {
            labels
                .get(key)
                .is_some_and(|value| values.iter().any(|candidate| candidate == value))
        };
        match self {
            Requirement::Exists(key) => labels.get(key).is_some(),
            Requirement::Absent(key) => labels.get(key).is_none(),
            Requirement::In(key, values) => among(key, values),
            Requirement::NotIn(key, values) => !among(key, values),
        }
    }
}

/// A conjunction of label requirements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    text: String,
    requirements: Vec<Requirement>,
}

impl Selector {
    /// Whether every requirement holds for `labels`.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.requirements
            .iter()
            .all(|requirement| requirement.matches(labels))
    }
}

/// A text that is not a selector, with the place where reading stopped.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("selector `{text}` is wrong at character {position}")]
pub struct SelectorError {
    text: String,
    position: usize,
}

impl FromStr for Selector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.trim().is_empty() {
            return Ok(Selector::default());
        }
        let requirements = requirements.parse(text).map_err(|error| SelectorError {
            text: text.to_owned(),
            position: error.offset() + 1,
        })?;
        Ok(Selector {
            text: text.to_owned(),
            requirements,
        })
    }
}

impl TryFrom<String> for Selector {
    type Error = SelectorError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> Self {
        selector.text
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

fn requirements(input: &mut &str) -> winnow::Result<Vec<Requirement>> {
    separated(1.., padded_requirement, ',').parse_next(input)
}

fn padded_requirement(input: &mut &str) -> winnow::Result<Requirement> {
    delimited(multispace0, requirement, multispace0).parse_next(input)
}

fn requirement(input: &mut &str) -> winnow::Result<Requirement> {
    alt((absent, set, equality, exists)).parse_next(input)
}

fn absent(input: &mut &str) -> winnow::Result<Requirement> {
    preceded(('!', multispace0), word)
        .map(Requirement::Absent)
        .parse_next(input)
}

fn exists(input: &mut &str) -> winnow::Result<Requirement> {
    word.map(Requirement::Exists).parse_next(input)
}

fn set(input: &mut &str) -> winnow::Result<Requirement> {
    let key = word.parse_next(input)?;
    multispace1.parse_next(input)?;
    let operator = alt(("notin", "in")).parse_next(input)?;
    multispace0.parse_next(input)?;
    let padded_word = delimited(multispace0, word, multispace0);
    let values: Vec<String> =
        delimited('(', separated(1.., padded_word, ','), ')').parse_next(input)?;
    Ok(match operator {
        "in" => Requirement::In(key, values),
        _ => Requirement::NotIn(key, values),
    })
}

fn equality(input: &mut &str) -> winnow::Result<Requirement> {
    let key = word.parse_next(input)?;
    multispace0.parse_next(input)?;
    let operator = alt(("!=", "==", "=")).parse_next(input)?;
    multispace0.parse_next(input)?;
    let value = word.parse_next(input)?;
    Ok(match operator {
        "!=" => Requirement::NotIn(key, vec![value]),
        _ => Requirement::In(key, vec![value]),
    })
}

fn word(input: &mut &str) -> winnow::Result<String> {
    let allowed = |character: char| character.is_alphanumeric() || "-_./".contains(character);
    take_while(1.., allowed)
        .map(str::to_owned)
        .parse_next(input)
}
