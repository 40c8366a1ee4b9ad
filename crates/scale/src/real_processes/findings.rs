//! Result of a run: its figures and judgements.

use super::figure::Figure;
use super::judge::Judgement;
use std::error::Error;

/// Figures and judgements of a run.
#[derive(Default)]
pub struct Findings {
    pub figures: Vec<Figure>,
    pub judgements: Vec<Judgement>,
}

/// Findings of a run, or the error that prevented it.
pub type RunResult = Result<Findings, Box<dyn Error>>;
