//! Prints configuration rows as a text table or as JSON.

use comfy_table::Table;
use comfy_table::presets;
use gorsebank_world::{Row, Spec};

use crate::arguments::Output;

/// Prints rows in the given format.
pub fn print_rows(rows: &[Row], output: Output) -> eyre::Result<()> {
    if output == Output::Json {
        println!("{}", serde_json::to_string_pretty(rows)?);
        return Ok(());
    }
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(["KIND", "NAME", "VERSION", "LABELS", "CONTENT"]);
    for row in rows {
        table.add_row([
            row.key.kind.to_string(),
            row.key.name.to_string(),
            row.revision.to_string(),
            format_labels(row),
            format_spec(row),
        ]);
    }
    println!("{table}");
    Ok(())
}

fn format_labels(row: &Row) -> String {
    let pairs: Vec<String> = row
        .labels
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    pairs.join(",")
}

fn format_spec(row: &Row) -> String {
    match &row.spec {
        Some(Spec::Deployment(deployment)) => format!(
            "models=[{}] back_ends=[{}] max_replicas={} cold_start_weight={}",
            deployment.models,
            deployment.back_ends,
            deployment.max_replicas,
            deployment.cold_start_weight
        ),
        Some(Spec::Model(model)) => format!("memory={}", model.memory),
        Some(Spec::Version(version)) => {
            format!("model={} memory={}", version.model, version.memory)
        }
        Some(Spec::Adapter(adapter)) => {
            format!("model={} memory={}", adapter.model, adapter.memory)
        }
        Some(Spec::BackEnd(_)) | None => String::new(),
    }
}
