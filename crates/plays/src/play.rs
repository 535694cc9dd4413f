//! One play: the bench run in an arm's checkout, on a day with a seed.

use std::fmt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::str::FromStr;

use eyre::{WrapErr, bail, eyre};

use crate::outcome::Outcome;

/// A variant of the sources: a name and its checkout, written `NAME=DIR`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arm {
    /// What the tables call it.
    pub name: String,
    /// Where its sources are.
    pub directory: PathBuf,
}

impl FromStr for Arm {
    type Err = eyre::Report;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, directory) = text
            .split_once('=')
            .ok_or_else(|| eyre!("expected NAME=DIR, got {text:?}"))?;
        if name.is_empty() || directory.is_empty() {
            bail!("expected NAME=DIR, got {text:?}");
        }
        Ok(Arm {
            name: name.to_owned(),
            directory: PathBuf::from(directory),
        })
    }
}

/// A day of the site with a seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Day {
    /// Its name in the site file, or the path of a file with a day.
    pub name: String,
    /// The seed that it is played with.
    pub seed: u64,
}

impl fmt::Display for Day {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} --seed {}", self.name, self.seed)
    }
}

/// The bench and the deployment that it plays.
#[derive(Clone, Debug)]
pub struct Bench {
    /// The bench's program.
    pub program: PathBuf,
    /// The site file.
    pub site: PathBuf,
    /// Directory for reports.
    pub scratch: PathBuf,
    /// A line for the journal.
    pub why: String,
}

/// One play to be made.
#[derive(Clone, Debug)]
pub struct Play<'a> {
    /// Index of the arm.
    pub arm_index: usize,
    /// The arm.
    pub arm: &'a Arm,
    /// The day.
    pub day: &'a Day,
}

impl Bench {
    /// Builds an arm, so that plays at the same time find it built.
    ///
    /// # Errors
    ///
    /// If the bench cannot be run or says that the build failed.
    pub fn build(&self, arm: &Arm) -> eyre::Result<()> {
        self.run(&arm.directory, &["build".into()])
    }

    /// Makes a play and reads its report.
    ///
    /// # Errors
    ///
    /// If the bench cannot be run, fails, or leaves no report that can be read.
    pub fn play(&self, play: &Play<'_>) -> eyre::Result<Outcome> {
        let day = play.day;
        let label = day.name.replace(['/', '.'], "-");
        let file = format!("{}-{label}-{}.json", play.arm_index, day.seed);
        let report = self.scratch.join(file);
        let arguments = [
            "run".into(),
            self.site.as_os_str().to_owned(),
            day.name.clone().into(),
            "--seed".into(),
            day.seed.to_string().into(),
            "--why".into(),
            format!("{} ({})", self.why, play.arm.name).into(),
            "--report".into(),
            report.as_os_str().to_owned(),
        ];
        self.run(&play.arm.directory, &arguments)?;
        let text = std::fs::read_to_string(&report)
            .wrap_err_with(|| format!("report of {day} ({})", play.arm.name))?;
        Outcome::parse(&text).wrap_err_with(|| format!("report of {day} ({})", play.arm.name))
    }

    fn run(&self, directory: &Path, arguments: &[std::ffi::OsString]) -> eyre::Result<()> {
        let output = Command::new(&self.program)
            .args(arguments)
            .current_dir(directory)
            .output()
            .wrap_err_with(|| format!("cannot run {}", self.program.display()))?;
        if !output.status.success() {
            let said = String::from_utf8_lossy(&output.stdout);
            let complained = String::from_utf8_lossy(&output.stderr);
            bail!("the bench ended with {}: {said}{complained}", output.status);
        }
        Ok(())
    }
}
