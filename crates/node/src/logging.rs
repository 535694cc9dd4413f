//! Sets up logging with logforth. Log lines report changes of state; metrics count
//! frequent events.

use eyre::eyre;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};

use crate::settings::{LogFormat, LogSection};

/// Starts logging to standard error.
pub fn start(section: &LogSection) -> eyre::Result<()> {
    let filter = RustLogFilterBuilder::from_spec(&section.filter).build();
    let append = match section.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append))
        .try_apply()
        .map_err(|error| eyre!("cannot start logging: {error}"))
}
