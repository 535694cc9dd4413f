//! Label selectors, by which a deployment selects models, versions and back ends.
//!
//! The syntax is that of Kubernetes label selectors: `key=value`, `key==value`, `key!=value`,
//! `key in (a,b)`, `key notin (a,b)`, `key` and `!key`, joined by commas. All requirements must
//! hold. An empty selector matches everything.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use winnow::ascii::{multispace0, multispace1};
use winnow::combinator::{alt, delimited, preceded, separated};
use winnow::prelude::*;
use winnow::token::take_while;

use crate::labels::Labels;

/// A requirement on the labels of one row or machine.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Requirement {
    Exists(String),
    Absent(String),
    In(String, Vec<String>),
    NotIn(String, Vec<String>),
}

impl Requirement {
    fn matches(&self, labels: &Labels) -> bool {
        let has_one_of = |key: &str, values: &[String]| {
            labels
                .get(key)
                .is_some_and(|value| values.iter().any(|candidate| candidate == value))
        };
        match self {
            Requirement::Exists(key) => labels.get(key).is_some(),
            Requirement::Absent(key) => labels.get(key).is_none(),
            Requirement::In(key, values) => has_one_of(key, values),
            Requirement::NotIn(key, values) => !has_one_of(key, values),
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
    /// Whether `labels` meet every requirement.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.requirements
            .iter()
            .all(|requirement| requirement.matches(labels))
    }
}

/// The text is not a valid selector. The position is that at which parsing stopped, counted in
/// bytes from 1.
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
        let requirements = parse_requirements
            .parse(text)
            .map_err(|error| SelectorError {
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

fn parse_requirements(input: &mut &str) -> winnow::Result<Vec<Requirement>> {
    separated(1.., parse_padded_requirement, ',').parse_next(input)
}

fn parse_padded_requirement(input: &mut &str) -> winnow::Result<Requirement> {
    delimited(multispace0, parse_requirement, multispace0).parse_next(input)
}

fn parse_requirement(input: &mut &str) -> winnow::Result<Requirement> {
    alt((parse_absent, parse_set, parse_equality, parse_exists)).parse_next(input)
}

fn parse_absent(input: &mut &str) -> winnow::Result<Requirement> {
    preceded(('!', multispace0), parse_word)
        .map(Requirement::Absent)
        .parse_next(input)
}

fn parse_exists(input: &mut &str) -> winnow::Result<Requirement> {
    parse_word.map(Requirement::Exists).parse_next(input)
}

fn parse_set(input: &mut &str) -> winnow::Result<Requirement> {
    let key = parse_word.parse_next(input)?;
    multispace1.parse_next(input)?;
    let operator = alt(("notin", "in")).parse_next(input)?;
    multispace0.parse_next(input)?;
    let padded_word = delimited(multispace0, parse_word, multispace0);
    let values: Vec<String> =
        delimited('(', separated(1.., padded_word, ','), ')').parse_next(input)?;
    Ok(match operator {
        "in" => Requirement::In(key, values),
        _ => Requirement::NotIn(key, values),
    })
}

fn parse_equality(input: &mut &str) -> winnow::Result<Requirement> {
    let key = parse_word.parse_next(input)?;
    multispace0.parse_next(input)?;
    let operator = alt(("!=", "==", "=")).parse_next(input)?;
    multispace0.parse_next(input)?;
    let value = parse_word.parse_next(input)?;
    Ok(match operator {
        "!=" => Requirement::NotIn(key, vec![value]),
        _ => Requirement::In(key, vec![value]),
    })
}

fn parse_word(input: &mut &str) -> winnow::Result<String> {
    let is_allowed = |character: char| character.is_alphanumeric() || "-_./".contains(character);
    take_while(1.., is_allowed)
        .map(str::to_owned)
        .parse_next(input)
}
