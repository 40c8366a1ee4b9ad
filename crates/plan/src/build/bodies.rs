//! Where bodies and the journal of once-only batches are kept: blocks of which a plan has one at most.

use super::entries::{named, number};
use super::{of, Builder};
use crate::check::Checked;
use crate::fault::Fault;
use crate::model::{Bodies, Journal};

/// Where a `bodies` block says less.
const USUAL_MEMORY: f64 = 33_554_432.0;
const USUAL_BATCH: f64 = 209_715_200.0;

impl<'a> Builder<'a> {
    /// The block of a kind of which there is one at most.
    fn single(&mut self, kind: &'static str) -> Option<&'a Checked> {
        let all = of(self.blocks, kind);
        let (first, rest) = all.split_first()?;
        for other in rest {
            let fault = Fault::new(
                other.span.clone(),
                format!("a plan has one block `{kind}` at most"),
            );
            self.faults
                .push(fault.related(first.span.clone(), "the first"));
        }
        Some(first)
    }

    pub(super) fn bodies(&mut self) {
        let Some(block) = self.single("bodies") else {
            return;
        };
        let size = |entry: &str| number(block.one(entry));
        let memory = size("memory").unwrap_or(USUAL_MEMORY);
        let batch_memory = size("batch-memory").unwrap_or(memory / 8.0);
        let files = size("files").unwrap_or(0.0);
        let directory = named(block.values("directory")).into_iter().next();
        let mut wrong = |entry: &str, text: &str| {
            let span = block
                .get(entry)
                .map_or(&block.span, |given| &given.span)
                .clone();
            self.faults.push(Fault::new(span, text));
        };
        if batch_memory > memory {
            wrong(
                "batch-memory",
                "one body may have more memory than all together",
            );
        }
        match (&directory, files > 0.0) {
            (None, true) => wrong("files", "files need a `directory`"),
            (Some(_), false) => wrong("directory", "nothing goes there without `files`"),
            _ => {}
        }
        self.plan.bodies = Some(Bodies {
            memory: memory as u64,
            query_memory: batch_memory as u64,
            files: files as u64,
            directory,
            max_body: size("batch").unwrap_or(USUAL_BATCH) as u64,
            share: size("share").unwrap_or(1.0),
            unknown_length: block.get("unknown-length").is_some(),
            must_keep: named(block.values("must-keep")),
        });
    }

    pub(super) fn journal(&mut self) {
        let Some(block) = self.single("journal") else {
            return;
        };
        match named(block.values("directory")).into_iter().next() {
            Some(directory) => self.plan.journal = Some(Journal { directory }),
            None => {
                let fault = Fault::new(block.span.clone(), "the journal has no `directory`");
                self.says_too_little(block, fault.help("directory \"/var/lib/garnetwall\""));
            }
        }
    }
}
