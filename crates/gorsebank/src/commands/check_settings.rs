//! `gorsebank check-settings`: checks a settings file and does nothing else.

use std::path::Path;

use gorsebank_node::NodeSettings;
use gorsebank_platform::NodeSettings as GatewayFile;

/// Checks the file; a gateway's is read as the users' platform fills it.
pub fn run(file: &Path, gateway: bool) -> eyre::Result<()> {
    if gateway {
        GatewayFile::read(file, None)?;
    } else {
        NodeSettings::read(file)?;
    }
    println!("{}: ok", file.display());
    Ok(())
}
