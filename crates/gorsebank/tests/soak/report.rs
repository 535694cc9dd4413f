//! Reports of a run: metrics as JSON, and a chart of latency, rejections and faults over time.
//!
//! Input: the history and the fault schedule of a run. Output: `seed-N.json` and `seed-N.svg` in a
//! folder.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;

use super::guarantees::Finding;
use super::history::{CallerRequest, History, Outcome};
use super::plan::ScheduledFault;

/// Width of one second in the chart, in pixels.
const SECOND_WIDTH_PX: f64 = 60.0;
/// Height of each of the three bands of the chart, in pixels.
const BAND_HEIGHT_PX: f64 = 120.0;
/// Margin around the bands, in pixels.
const MARGIN_PX: f64 = 40.0;
/// Latency at the top of its band, in milliseconds; callers time out after it.
const MAX_LATENCY_MS: f64 = 1_500.0;

/// Metrics of one second of a run.
#[derive(Debug, Default, Serialize)]
pub struct Second {
    /// Requests that ended in the second.
    pub requests: usize,
    /// Requests among them with a complete, successful response.
    pub served: usize,
    /// Requests among them that were rejected as not run.
    pub refused: usize,
    /// Requests among them that need a model.
    pub model_requests: usize,
    /// Requests among those with a complete, successful response.
    pub models_served: usize,
    /// Median latency of the served requests, in milliseconds.
    pub median_ms: u64,
    /// Highest latency of the served requests, in milliseconds.
    pub longest_ms: u64,
}

/// Metrics of one run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests by outcome.
    pub ends: BTreeMap<String, usize>,
    /// Number of faults by kind.
    pub faults: BTreeMap<String, usize>,
    /// Violated guarantees with the observations.
    pub findings: Vec<String>,
    /// Metrics of each second.
    pub seconds: Vec<Second>,
}

impl Report {
    /// Summarizes the history of a run.
    pub fn new(
        seed: u64,
        schedule: &[ScheduledFault],
        history: &History,
        findings: &[Finding],
    ) -> Self {
        let mut faults: BTreeMap<String, usize> = BTreeMap::new();
        for scheduled in schedule {
            *faults.entry(format!("{:?}", scheduled.fault)).or_default() += 1;
        }
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        for request in &history.requests {
            *ends.entry(outcome_label(&request.outcome)).or_default() += 1;
        }
        let describe = |finding: &Finding| format!("{:?}: {}", finding.guarantee, finding.details);
        Report {
            seed,
            ends,
            faults,
            findings: findings.iter().map(describe).collect(),
            seconds: summarize_seconds(&history.requests),
        }
    }

    /// Writes the JSON file and the chart.
    pub fn write(&self, folder: &Path, schedule: &[ScheduledFault]) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        let json = serde_json::to_string_pretty(self)?;
        std::fs::write(folder.join(format!("seed-{}.json", self.seed)), json)?;
        let svg = self.render_svg(schedule);
        std::fs::write(folder.join(format!("seed-{}.svg", self.seed)), svg)
    }

    fn render_svg(&self, faults: &[ScheduledFault]) -> String {
        let width = 2.0 * MARGIN_PX + SECOND_WIDTH_PX * self.seconds.len() as f64;
        let height = 2.0 * MARGIN_PX + 3.0 * BAND_HEIGHT_PX;
        let mut svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
             font-family=\"sans-serif\" font-size=\"11\">\n"
        );
        let max_requests = self
            .seconds
            .iter()
            .map(|second| second.requests)
            .max()
            .unwrap_or(1) as f64;
        let latency = |ms: u64| ms as f64 / MAX_LATENCY_MS;
        let fraction = |count: usize| count as f64 / max_requests.max(1.0);
        self.draw_band(&mut svg, 0, "median ms", "steelblue", |second| {
            latency(second.median_ms)
        });
        self.draw_band(&mut svg, 0, "", "lightsteelblue", |second| {
            latency(second.longest_ms)
        });
        self.draw_band(&mut svg, 1, "served, refused", "seagreen", |second| {
            fraction(second.served)
        });
        self.draw_band(&mut svg, 1, "", "firebrick", |second| {
            fraction(second.refused)
        });
        for (index, scheduled) in faults.iter().enumerate() {
            let left = MARGIN_PX + SECOND_WIDTH_PX * scheduled.at.as_secs_f64();
            let top = MARGIN_PX + 2.0 * BAND_HEIGHT_PX + 11.0 * (index % 10) as f64;
            let width = SECOND_WIDTH_PX * scheduled.duration.as_secs_f64();
            let (fault, text) = (scheduled.fault, top + 9.0);
            // Writing to a string does not fail.
            let _ = writeln!(
                svg,
                "<rect x=\"{left:.0}\" y=\"{top:.0}\" width=\"{width:.0}\" height=\"9\" \
                 fill=\"gold\"/><text x=\"{left:.0}\" y=\"{text:.0}\">{fault:?}</text>"
            );
        }
        svg + "</svg>\n"
    }

    /// Draws one line of the chart. `fraction` is 0 at the bottom of the band and 1 at its top.
    fn draw_band(
        &self,
        svg: &mut String,
        band: usize,
        title: &str,
        color: &str,
        fraction: impl Fn(&Second) -> f64,
    ) {
        let top = MARGIN_PX + BAND_HEIGHT_PX * band as f64;
        let mut points = String::new();
        for (index, second) in self.seconds.iter().enumerate() {
            let left = MARGIN_PX + SECOND_WIDTH_PX * (index as f64 + 0.5);
            let down = top + BAND_HEIGHT_PX * (1.0 - fraction(second).min(1.0));
            let _ = write!(points, "{left:.0},{down:.0} ");
        }
        let _ = writeln!(
            svg,
            "<text x=\"4\" y=\"{:.0}\">{title}</text><polyline fill=\"none\" stroke=\"{color}\" \
             points=\"{points}\"/>",
            top + 11.0
        );
    }
}

/// Returns the label under which a request is counted.
pub fn outcome_label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Response {
            is_complete: false, ..
        } => "broken off".to_owned(),
        Outcome::Response { status, .. } => status.to_string(),
        Outcome::Closed => "closed".to_owned(),
    }
}

fn summarize_seconds(requests: &[CallerRequest]) -> Vec<Second> {
    let last = requests
        .iter()
        .map(|request| request.ended_at)
        .max()
        .unwrap_or_default();
    (0..=last.as_secs())
        .map(|at| summarize_second(requests, at))
        .collect()
}

fn summarize_second(requests: &[CallerRequest], at: u64) -> Second {
    let ended: Vec<&CallerRequest> = requests
        .iter()
        .filter(|request| request.ended_at.as_secs() == at)
        .collect();
    let has = |request: &&&CallerRequest, wanted: &str| outcome_label(&request.outcome) == wanted;
    let served = ended.iter().filter(|request| has(request, "200"));
    let mut times: Vec<Duration> = served
        .map(|request| request.ended_at - request.sent_at)
        .collect();
    times.sort();
    let milliseconds = |time: Option<&Duration>| time.map_or(0, |time| time.as_millis() as u64);
    let model_requests = ended.iter().filter(|request| request.kind.needs_model());
    let models_served = model_requests.clone().filter(|request| request.is_served());
    Second {
        requests: ended.len(),
        served: times.len(),
        model_requests: model_requests.count(),
        models_served: models_served.count(),
        refused: ended.iter().filter(|request| has(request, "503")).count(),
        median_ms: milliseconds(times.get(times.len() / 2)),
        longest_ms: milliseconds(times.last()),
    }
}

#[test]
fn report_summarizes_each_second() {
    let request = |ended: u64, status: u16| CallerRequest {
        id: "r".to_owned(),
        kind: super::history::RequestKind::Idempotent,
        process: 1,
        sent_at: Duration::from_millis(ended - 100),
        ended_at: Duration::from_millis(ended),
        outcome: Outcome::Response {
            status,
            is_complete: true,
            seal: None,
            body: String::new(),
        },
    };
    let history = History {
        requests: vec![request(500, 200), request(1_500, 503), request(1_600, 200)],
        ..History::default()
    };
    let schedule = super::plan::draw_faults(3, Duration::from_secs(2));
    let report = Report::new(3, &schedule, &history, &[]);
    assert_eq!(
        report.ends,
        [("200".to_owned(), 2), ("503".to_owned(), 1)].into()
    );
    let counts: Vec<_> = report
        .seconds
        .iter()
        .map(|second| (second.served, second.refused))
        .collect();
    assert_eq!(counts, [(1, 0), (1, 1)]);
    assert_eq!(report.seconds[0].median_ms, 100);
    let svg = report.render_svg(&schedule);
    assert!(svg.starts_with("<svg") && svg.ends_with("</svg>\n"));
    assert!(svg.contains("polyline"));
}
