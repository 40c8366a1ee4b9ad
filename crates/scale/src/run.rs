//! Command-line arguments and the result type that the subcommands share.

use std::path::PathBuf;

/// Arguments of a run: the experiment, the results file and the seed.
#[derive(clap::Args)]
pub struct RunArguments {
    /// Experiment file (TOML).
    pub experiment: PathBuf,
    /// Results file, written as JSON lines; `slopes` and `spread` also write CSV and SVG files beside it.
    #[arg(long)]
    pub results: Option<PathBuf>,
    /// Seed that overrides the one of the experiment.
    #[arg(long)]
    pub seed: Option<u64>,
}

/// The result of a run: whether all judged figures passed, or the error that ended it.
pub type Verdict = Result<bool, Box<dyn std::error::Error>>;
