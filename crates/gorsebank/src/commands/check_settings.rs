//! `gorsebank check-settings`: checks a settings file and does nothing else.

use std::path::Path;

use gorsebank_node::NodeSettings;

/// Checks the file.
pub fn run(file: &Path) -> eyre::Result<()> {
    NodeSettings::read(file)?;
    println!("{}: ok", file.display());
    Ok(())
}
