//! What a run found: its figures, and what was judged.

use super::figure::Figure;
use super::judge::Judgement;
use std::error::Error;

/// What a run found.
#[derive(Default)]
pub struct Findings {
    pub figures: Vec<Figure>,
    pub judgements: Vec<Judgement>,
}

/// The findings, or why there are none.
pub type RunResult = Result<Findings, Box<dyn Error>>;
