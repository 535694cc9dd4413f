//! A run as files: figures as JSON, and latency, refusals and faults over time as a picture.
//!
//! In: a run's history and plan. Out: `seed-N.json` and `seed-N.svg` in a folder.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;

use super::history::{End, History, Try};
use super::plan::Strike;
use super::promises::Finding;

/// Width of the picture for each second, in pixels.
const SECOND_WIDTH: f64 = 60.0;
/// Height of each of its three bands, in pixels.
const BAND: f64 = 120.0;
/// Space around the bands, in pixels.
const MARGIN: f64 = 40.0;
/// Latency at the top of its band, in milliseconds: callers wait no longer.
const MOST_LATENCY: f64 = 1_500.0;

/// One second of a run.
#[derive(Debug, Default, Serialize)]
pub struct Second {
    /// Requests that ended in it.
    pub requests: usize,
    /// Of these, answered whole with success.
    pub served: usize,
    /// Of these, refused as not run.
    pub refused: usize,
    /// Median time to the end of a served one, in milliseconds.
    pub median_ms: u64,
    /// The longest.
    pub longest_ms: u64,
}

/// One run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Requests by how they ended.
    pub ends: BTreeMap<String, usize>,
    /// Faults by kind.
    pub faults: BTreeMap<String, usize>,
    /// Broken promises, with what was seen.
    pub findings: Vec<String>,
    /// The run, second by second.
    pub seconds: Vec<Second>,
}

impl Report {
    /// What a run's history tells.
    pub fn new(seed: u64, plan: &[Strike], history: &History, findings: &[Finding]) -> Self {
        let mut faults: BTreeMap<String, usize> = BTreeMap::new();
        for strike in plan {
            *faults.entry(format!("{:?}", strike.fault)).or_default() += 1;
        }
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        for one in &history.tries {
            *ends.entry(name(&one.end)).or_default() += 1;
        }
        let told = |finding: &Finding| format!("{:?}: {}", finding.promise, finding.what);
        Report {
            seed,
            ends,
            faults,
            findings: findings.iter().map(told).collect(),
            seconds: seconds(&history.tries),
        }
    }

    /// Writes both files.
    pub fn write(&self, folder: &Path, plan: &[Strike]) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let json = serde_json::to_string_pretty(self)?;
        std::fs::write(folder.join(format!("seed-{}.json", self.seed)), json)?;
        let picture = self.picture(plan);
        std::fs::write(folder.join(format!("seed-{}.svg", self.seed)), picture)
    }

    fn picture(&self, plan: &[Strike]) -> String {
        let width = 2.0 * MARGIN + SECOND_WIDTH * self.seconds.len() as f64;
        let height = 2.0 * MARGIN + 3.0 * BAND;
        let mut picture = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
             font-family=\"sans-serif\" font-size=\"11\">\n"
        );
        let most = self.seconds.iter().map(|it| it.requests).max().unwrap_or(1) as f64;
        let latency = |ms: u64| ms as f64 / MOST_LATENCY;
        let part = |count: usize| count as f64 / most.max(1.0);
        self.band(&mut picture, 0, "median ms", "steelblue", |it| {
            latency(it.median_ms)
        });
        self.band(&mut picture, 0, "", "lightsteelblue", |it| {
            latency(it.longest_ms)
        });
        self.band(&mut picture, 1, "served, refused", "seagreen", |it| {
            part(it.served)
        });
        self.band(&mut picture, 1, "", "firebrick", |it| part(it.refused));
        for (index, strike) in plan.iter().enumerate() {
            let left = MARGIN + SECOND_WIDTH * strike.at.as_secs_f64();
            let top = MARGIN + 2.0 * BAND + 11.0 * (index % 10) as f64;
            let long = SECOND_WIDTH * strike.lasts.as_secs_f64();
            let (fault, text) = (strike.fault, top + 9.0);
            // Writing to a string does not fail.
            let _ = writeln!(
                picture,
                "<rect x=\"{left:.0}\" y=\"{top:.0}\" width=\"{long:.0}\" height=\"9\" \
                 fill=\"gold\"/><text x=\"{left:.0}\" y=\"{text:.0}\">{fault:?}</text>"
            );
        }
        picture + "</svg>\n"
    }

    /// A line over the seconds; `part` is 0 at the bottom of its band, 1 at the top.
    fn band(
        &self,
        picture: &mut String,
        band: usize,
        title: &str,
        color: &str,
        part: impl Fn(&Second) -> f64,
    ) {
        let top = MARGIN + BAND * band as f64;
        let mut points = String::new();
        for (index, second) in self.seconds.iter().enumerate() {
            let left = MARGIN + SECOND_WIDTH * (index as f64 + 0.5);
            let down = top + BAND * (1.0 - part(second).min(1.0));
            let _ = write!(points, "{left:.0},{down:.0} ");
        }
        let _ = writeln!(
            picture,
            "<text x=\"4\" y=\"{:.0}\">{title}</text><polyline fill=\"none\" stroke=\"{color}\" \
             points=\"{points}\"/>",
            top + 11.0
        );
    }
}

/// How a request ended, as it is counted.
pub fn name(end: &End) -> String {
    match end {
        End::Answer { whole: false, .. } => "broken off".to_owned(),
        End::Answer { status, .. } => status.to_string(),
        End::Closed => "closed".to_owned(),
    }
}

fn seconds(tries: &[Try]) -> Vec<Second> {
    let last = tries.iter().map(|one| one.ended).max().unwrap_or_default();
    (0..=last.as_secs()).map(|at| second(tries, at)).collect()
}

fn second(tries: &[Try], at: u64) -> Second {
    let ended: Vec<&Try> = tries.iter().filter(|it| it.ended.as_secs() == at).collect();
    let has = |one: &&&Try, wanted: &str| name(&one.end) == wanted;
    let served = ended.iter().filter(|one| has(one, "200"));
    let mut times: Vec<Duration> = served.map(|one| one.ended - one.sent).collect();
    times.sort();
    let milliseconds = |time: Option<&Duration>| time.map_or(0, |time| time.as_millis() as u64);
    Second {
        requests: ended.len(),
        served: times.len(),
        refused: ended.iter().filter(|one| has(one, "503")).count(),
        median_ms: milliseconds(times.get(times.len() / 2)),
        longest_ms: milliseconds(times.last()),
    }
}

#[test]
fn a_run_is_told_second_by_second() {
    let one = |ended: u64, status: u16| Try {
        id: "r".to_owned(),
        kind: super::history::Kind::Idempotent,
        process: 1,
        sent: Duration::from_millis(ended - 100),
        ended: Duration::from_millis(ended),
        end: End::Answer {
            status,
            whole: true,
            seal: None,
            body: String::new(),
        },
    };
    let history = History {
        tries: vec![one(500, 200), one(1_500, 503), one(1_600, 200)],
        ..History::default()
    };
    let plan = super::plan::plan(3, Duration::from_secs(2));
    let report = Report::new(3, &plan, &history, &[]);
    assert_eq!(
        report.ends,
        [("200".to_owned(), 2), ("503".to_owned(), 1)].into()
    );
    let told: Vec<_> = report
        .seconds
        .iter()
        .map(|it| (it.served, it.refused))
        .collect();
    assert_eq!(told, [(1, 0), (1, 1)]);
    assert_eq!(report.seconds[0].median_ms, 100);
    let picture = report.picture(&plan);
    assert!(picture.starts_with("<svg") && picture.ends_with("</svg>\n"));
    assert!(picture.contains("polyline"));
}
