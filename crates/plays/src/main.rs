//! `gorsebank-plays`: paired plays of the users' bench.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::{WrapErr, eyre};
use gorsebank_plays::table::Outcomes;
use gorsebank_plays::{Arm, Bench, Day, Play};
use rayon::prelude::*;

/// Plays the same days and seeds with several variants of the sources.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The bench's program.
    #[arg(long)]
    bench: PathBuf,
    /// The site file.
    #[arg(long)]
    site: PathBuf,
    /// Names of days, or files with a day.
    #[arg(long, value_delimiter = ',', required = true)]
    days: Vec<String>,
    /// First seed.
    #[arg(long, default_value_t = 11)]
    first_seed: u64,
    /// Seeds for each day.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Plays at the same time.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// A line for the journal.
    #[arg(long)]
    why: String,
    /// Variants as NAME=DIR; the others are compared with the first.
    #[arg(required = true)]
    arms: Vec<Arm>,
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
        why: arguments.why.clone(),
    };
    let days = days(&arguments);
    for arm in &arguments.arms {
        bench
            .build(arm)
            .wrap_err_with(|| format!("arm {}", arm.name))?;
    }
    let outcomes = play_all(&bench, &arguments.arms, &days, arguments.jobs)?;
    print!("{}", outcomes.render(&arguments.arms, &days));
    std::fs::remove_dir_all(&scratch).wrap_err_with(|| scratch.display().to_string())
}

fn days(arguments: &Arguments) -> Vec<Day> {
    let seeds = arguments.first_seed..arguments.first_seed + arguments.seeds;
    seeds
        .flat_map(|seed| {
            let names = arguments.days.iter().cloned();
            names.map(move |name| Day { name, seed })
        })
        .collect()
}

fn play_all(bench: &Bench, arms: &[Arm], days: &[Day], jobs: usize) -> eyre::Result<Outcomes> {
    let plays: Vec<Play> = days
        .iter()
        .flat_map(|day| {
            let arms = arms.iter().enumerate();
            arms.map(move |(arm_index, arm)| Play {
                arm_index,
                arm,
                day,
            })
        })
        .collect();
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(jobs)
        .build()
        .wrap_err("no threads for plays")?;
    let played: Vec<_> = pool.install(|| plays.par_iter().map(|play| bench.play(play)).collect());
    let mut outcomes = Outcomes::default();
    let mut lost = 0;
    for (play, result) in plays.iter().zip(played) {
        match result {
            Ok(outcome) => outcomes.insert(play.arm_index, play.day.clone(), outcome),
            Err(error) => {
                lost += 1;
                eprintln!("{} {}: {error:#}", play.arm.name, play.day);
            }
        }
    }
    if lost == plays.len() {
        return Err(eyre!("no play gave a report"));
    }
    Ok(outcomes)
}
