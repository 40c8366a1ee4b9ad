//! What all subcommands share: their arguments, and their verdict.

use std::path::PathBuf;

/// The arguments of a run: its experiment, and where its results go.
#[derive(clap::Args)]
pub struct RunArguments {
    /// The experiment's file.
    pub experiment: PathBuf,
    /// Writes results here as JSON lines, and beside it as CSV and SVG.
    #[arg(long)]
    pub results: Option<PathBuf>,
    /// Overrides the experiment's seed.
    #[arg(long)]
    pub seed: Option<u64>,
}

/// Whether everything that was judged passed.
pub type Verdict = Result<bool, Box<dyn std::error::Error>>;
