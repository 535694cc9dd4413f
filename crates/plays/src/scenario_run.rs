//! Runs the benchmark program in the checkout of a variant, with a scenario and a
//! seed, and reads the report of the run.

use std::fmt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::str::FromStr;

use eyre::{WrapErr, bail, eyre};

use crate::outcome::Outcome;

/// A variant of the sources: a name and its checkout, written `NAME=DIR`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Variant {
    /// Name of the variant in the tables.
    pub name: String,
    /// Directory of the checkout.
    pub directory: PathBuf,
}

impl FromStr for Variant {
    type Err = eyre::Report;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, directory) = text
            .split_once('=')
            .ok_or_else(|| eyre!("expected NAME=DIR, got {text:?}"))?;
        if name.is_empty() || directory.is_empty() {
            bail!("expected NAME=DIR, got {text:?}");
        }
        Ok(Variant {
            name: name.to_owned(),
            directory: PathBuf::from(directory),
        })
    }
}

/// A benchmark scenario with a seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Scenario {
    /// Name of the scenario in the deployment's file, or path of a file with a
    /// scenario.
    pub name: String,
    /// Seed of the run.
    pub seed: u64,
}

impl fmt::Display for Scenario {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} --seed {}", self.name, self.seed)
    }
}

/// The benchmark program and its options.
#[derive(Clone, Debug)]
pub struct Bench {
    /// Path of the benchmark program.
    pub program: PathBuf,
    /// File that describes the benchmarked deployment.
    pub site: PathBuf,
    /// Directory to which reports are written.
    pub scratch: PathBuf,
    /// Reason of the runs, which the benchmark program records.
    pub reason: String,
}

/// A run of a scenario with a variant.
#[derive(Clone, Debug)]
pub struct ScenarioRun<'a> {
    /// Index of the variant.
    pub variant_index: usize,
    /// The variant.
    pub variant: &'a Variant,
    /// The scenario.
    pub scenario: &'a Scenario,
}

impl Bench {
    /// Builds a variant, so that concurrent runs do not build it.
    ///
    /// # Errors
    ///
    /// Returns an error if the benchmark program cannot be run or the build fails.
    pub fn build(&self, variant: &Variant) -> eyre::Result<()> {
        self.run(&variant.directory, &["build".into()])
    }

    /// Runs a scenario and reads the report.
    ///
    /// # Errors
    ///
    /// Returns an error if the benchmark program cannot be run or fails, or if the
    /// report cannot be read.
    pub fn run_scenario(&self, run: &ScenarioRun<'_>) -> eyre::Result<Outcome> {
        let scenario = run.scenario;
        let label = scenario.name.replace(['/', '.'], "-");
        let file = format!("{}-{label}-{}.json", run.variant_index, scenario.seed);
        let report = self.scratch.join(file);
        let arguments = [
            "run".into(),
            self.site.as_os_str().to_owned(),
            scenario.name.clone().into(),
            "--seed".into(),
            scenario.seed.to_string().into(),
            "--why".into(),
            format!("{} ({})", self.reason, run.variant.name).into(),
            "--report".into(),
            report.as_os_str().to_owned(),
        ];
        self.run(&run.variant.directory, &arguments)?;
        let text = std::fs::read_to_string(&report)
            .wrap_err_with(|| format!("report of {scenario} ({})", run.variant.name))?;
        Outcome::parse(&text)
            .wrap_err_with(|| format!("report of {scenario} ({})", run.variant.name))
    }

    fn run(&self, directory: &Path, arguments: &[std::ffi::OsString]) -> eyre::Result<()> {
        let output = Command::new(&self.program)
            .args(arguments)
            .current_dir(directory)
            .output()
            .wrap_err_with(|| format!("cannot run {}", self.program.display()))?;
        if !output.status.success() {
            let stdout = String::from_utf8_lossy(&output.stdout);
            let stderr = String::from_utf8_lossy(&output.stderr);
            bail!(
                "the benchmark program failed with {}: {stdout}{stderr}",
                output.status
            );
        }
        Ok(())
    }
}
