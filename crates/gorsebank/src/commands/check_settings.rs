//! `gorsebank check-settings`: checks a settings file without starting anything.

use std::path::Path;

use gorsebank_node::NodeSettings;
use gorsebank_platform::NodeSettings as GatewaySettings;

/// Checks the file. With `gateway`, the file is read in the format that the users' platform fills
/// in for a gateway.
pub fn run(file: &Path, gateway: bool) -> eyre::Result<()> {
    if gateway {
        GatewaySettings::read(file, None)?;
    } else {
        NodeSettings::read(file)?;
    }
    println!("{}: ok", file.display());
    Ok(())
}
