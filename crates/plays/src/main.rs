//! Command line of `gorsebank-plays`: runs benchmark scenarios in pairs and compares
//! the results.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::{WrapErr, eyre};
use gorsebank_plays::table::Outcomes;
use gorsebank_plays::{Bench, Scenario, ScenarioRun, Variant};
use rayon::prelude::*;

/// Runs the same scenarios and seeds with several variants of the sources.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Path of the benchmark program.
    #[arg(long)]
    bench: PathBuf,
    /// File that describes the benchmarked deployment.
    #[arg(long)]
    site: PathBuf,
    /// Names of scenarios, or files with a scenario.
    #[arg(long, value_delimiter = ',', required = true)]
    days: Vec<String>,
    /// First seed of each scenario.
    #[arg(long, default_value_t = 11)]
    first_seed: u64,
    /// Number of seeds for each scenario.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Number of concurrent runs.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Reason of the runs, which the benchmark program records.
    #[arg(long)]
    why: String,
    /// Variants as NAME=DIR. The first one is the baseline of the comparison.
    #[arg(required = true)]
    arms: Vec<Variant>,
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: Arguments) -> eyre::Result<()> {
    let scratch = std::env::temp_dir().join(format!("gorsebank-plays-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).wrap_err_with(|| scratch.display().to_string())?;
    let bench = Bench {
        program: std::path::absolute(&arguments.bench)?,
        site: std::path::absolute(&arguments.site)?,
        scratch: scratch.clone(),
        reason: arguments.why.clone(),
    };
    let scenarios = scenarios(&arguments);
    for variant in &arguments.arms {
        bench
            .build(variant)
            .wrap_err_with(|| format!("variant {}", variant.name))?;
    }
    let outcomes = run_all(&bench, &arguments.arms, &scenarios, arguments.jobs)?;
    print!("{}", outcomes.render(&arguments.arms, &scenarios));
    std::fs::remove_dir_all(&scratch).wrap_err_with(|| scratch.display().to_string())
}

/// Returns every scenario with every seed.
fn scenarios(arguments: &Arguments) -> Vec<Scenario> {
    let seeds = arguments.first_seed..arguments.first_seed + arguments.seeds;
    seeds
        .flat_map(|seed| {
            let names = arguments.days.iter().cloned();
            names.map(move |name| Scenario { name, seed })
        })
        .collect()
}

/// Runs every scenario with every variant, `jobs` runs at a time. Failed runs are
/// printed and left out of the outcomes.
fn run_all(
    bench: &Bench,
    variants: &[Variant],
    scenarios: &[Scenario],
    jobs: usize,
) -> eyre::Result<Outcomes> {
    let runs: Vec<ScenarioRun> = scenarios
        .iter()
        .flat_map(|scenario| {
            let variants = variants.iter().enumerate();
            variants.map(move |(variant_index, variant)| ScenarioRun {
                variant_index,
                variant,
                scenario,
            })
        })
        .collect();
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(jobs)
        .build()
        .wrap_err("cannot create the thread pool for the runs")?;
    let results: Vec<_> =
        pool.install(|| runs.par_iter().map(|run| bench.run_scenario(run)).collect());
    let mut outcomes = Outcomes::default();
    let mut failed = 0;
    for (run, result) in runs.iter().zip(results) {
        match result {
            Ok(outcome) => outcomes.insert(run.variant_index, run.scenario.clone(), outcome),
            Err(error) => {
                failed += 1;
                eprintln!("{} {}: {error:#}", run.variant.name, run.scenario);
            }
        }
    }
    if failed == runs.len() {
        return Err(eyre!("all runs failed"));
    }
    Ok(outcomes)
}
