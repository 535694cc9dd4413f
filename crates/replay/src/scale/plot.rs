//! Plots of scale runs: a figure over the number of nodes, as SVG.

use std::path::Path;

use eyre::{Context, eyre};
use plotters::prelude::*;
use serde_json::Value;

const SIZE: (u32, u32) = (640, 400);
const MARGIN: u32 = 16;
const LABEL_AREA: u32 = 64;

/// A line of a plot.
struct Line {
    name: &'static str,
    /// Path of the figure in a report, such as `total/bytes_per_second`.
    path: &'static str,
    color: RGBColor,
}

/// A plot with its lines and the limit that the target sets.
struct Plot {
    file: &'static str,
    title: &'static str,
    unit: &'static str,
    /// By what figures are multiplied for the unit.
    factor: f64,
    limit: f64,
    lines: &'static [Line],
}

const PLOTS: [Plot; 3] = [
    Plot {
        file: "bytes.svg",
        title: "Control bytes sent by a node",
        unit: "KB/s",
        factor: 1e-3,
        limit: 16.0,
        lines: &[
            Line {
                name: "mean",
                path: "total/bytes_per_second",
                color: BLUE,
            },
            Line {
                name: "most",
                path: "total/most_bytes_per_second",
                color: RED,
            },
        ],
    },
    Plot {
        file: "processor.svg",
        title: "Processor time of control in a node, a tick each 100 ms",
        unit: "% of a core",
        factor: 100.0,
        limit: 1.1,
        lines: &[
            Line {
                name: "mean",
                path: "total/core_share",
                color: BLUE,
            },
            Line {
                name: "placement holder",
                path: "holders/most_core_share",
                color: RED,
            },
        ],
    },
    Plot {
        file: "memory.svg",
        title: "Memory of a node: own copy of the configuration",
        unit: "MB",
        factor: 1e-6,
        limit: 32.0,
        lines: &[Line {
            name: "configuration",
            path: "configuration_bytes",
            color: BLUE,
        }],
    },
];

/// Draws all plots of the reports into a directory.
pub fn draw(reports: &[Value], directory: &Path) -> eyre::Result<()> {
    std::fs::create_dir_all(directory)?;
    for plot in &PLOTS {
        let file = directory.join(plot.file);
        draw_one(plot, reports, &file).wrap_err_with(|| format!("{}", file.display()))?;
    }
    Ok(())
}

fn figure(report: &Value, path: &str) -> eyre::Result<f64> {
    path.split('/')
        .try_fold(report, |value, part| value.get(part))
        .and_then(Value::as_f64)
        .ok_or_else(|| eyre!("a report has no figure `{path}`"))
}

fn points(line: &Line, factor: f64, reports: &[Value]) -> eyre::Result<Vec<(f64, f64)>> {
    reports
        .iter()
        .map(|report| {
            Ok((
                figure(report, "nodes")?,
                figure(report, line.path)? * factor,
            ))
        })
        .collect()
}

fn draw_one(plot: &Plot, reports: &[Value], file: &Path) -> eyre::Result<()> {
    let mut lines = Vec::new();
    for line in plot.lines {
        lines.push((line, points(line, plot.factor, reports)?));
    }
    let all = || lines.iter().flat_map(|(_, points)| points.iter());
    let most = all().map(|point| point.1).fold(plot.limit, f64::max) * 1.1;
    let (least_nodes, most_nodes) = all()
        .map(|point| point.0)
        .fold((f64::MAX, 1.0), |(low, high), nodes| {
            (f64::min(low, nodes), f64::max(high, nodes))
        });
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d((least_nodes..most_nodes).log_scale(), 0.0..most)?;
    chart
        .configure_mesh()
        .x_desc("nodes")
        .y_desc(plot.unit)
        .draw()?;
    for (line, points) in lines {
        let color = line.color;
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        chart.draw_series(
            points
                .iter()
                .map(|point| Circle::new(*point, 3, color.filled())),
        )?;
    }
    let limit = [(least_nodes, plot.limit), (most_nodes, plot.limit)];
    chart
        .draw_series(LineSeries::new(limit, BLACK))?
        .label("limit")
        .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], BLACK));
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
