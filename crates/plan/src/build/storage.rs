//! Builds the storage of bodies and of the query journal from the `bodies` and `journal` blocks, of which a plan can
//! have at most one each.

use super::entries::{count, first_text, number, texts};
use super::{blocks_of_kind, Builder};
use crate::check::CheckedBlock;
use crate::diagnostic::Diagnostic;
use crate::model::{Bodies, Journal};

/// Memory for all bodies, used if the plan has no `memory` entry.
const DEFAULT_MEMORY_BYTES: u64 = 32 << 20;
/// Fraction of the memory, as a divisor, that a single body may use if the plan has no `batch-memory` entry.
const DEFAULT_BODY_MEMORY_DIVISOR: u64 = 8;
/// Size of the longest accepted body, used if the plan has no `batch` entry.
const DEFAULT_MAX_BODY_BYTES: u64 = 200 << 20;

impl<'a> Builder<'a> {
    /// Returns the only block of a kind, or the first one if there are several, which is reported as an error.
    fn single(&mut self, kind: &'static str) -> Option<&'a CheckedBlock> {
        let all = blocks_of_kind(self.blocks, kind);
        let (first, others) = all.split_first()?;
        for other in others {
            let text = format!("duplicate block `{kind}`: a plan can have only one");
            let diagnostic = Diagnostic::new(other.name_span.clone(), text);
            self.diagnostics
                .push(diagnostic.related(first.name_span.clone(), "first defined here"));
        }
        Some(first)
    }

    pub(super) fn build_bodies(&mut self) {
        let Some(block) = self.single("bodies") else {
            return;
        };
        let size = |entry: &str| count(block.first_value(entry));
        let memory_bytes = size("memory").unwrap_or(DEFAULT_MEMORY_BYTES);
        let bodies = Bodies {
            memory_bytes,
            max_body_memory_bytes: size("batch-memory")
                .unwrap_or(memory_bytes / DEFAULT_BODY_MEMORY_DIVISOR),
            file_bytes: size("files").unwrap_or(0),
            directory: first_text(block.values("directory")),
            max_body_bytes: size("batch").unwrap_or(DEFAULT_MAX_BODY_BYTES),
            tenant_share: number(block.first_value("share")).unwrap_or(1.0),
            unknown_length_allowed: block.entry("unknown-length").is_some(),
            storage_required: texts(block.values("must-keep")),
        };
        self.check_bodies(block, &bodies);
        self.plan.bodies = Some(bodies);
    }

    fn check_bodies(&mut self, block: &CheckedBlock, bodies: &Bodies) {
        let mut report = |entry: &str, text: &str| {
            let span = block
                .entry(entry)
                .map_or(&block.name_span, |entry| &entry.span);
            self.diagnostics.push(Diagnostic::new(span.clone(), text));
        };
        if bodies.max_body_memory_bytes > bodies.memory_bytes {
            let text = "`batch-memory` is larger than `memory`, the memory for all bodies together";
            report("batch-memory", text);
        }
        match (&bodies.directory, bodies.file_bytes > 0) {
            (None, true) => report("files", "`files` requires a `directory`"),
            (Some(_), false) => report("directory", "`directory` has no effect without `files`"),
            _ => {}
        }
    }

    pub(super) fn build_journal(&mut self) {
        let Some(block) = self.single("journal") else {
            return;
        };
        match first_text(block.values("directory")) {
            Some(directory) => self.plan.journal = Some(Journal { directory }),
            None => {
                let diagnostic =
                    Diagnostic::new(block.name_span.clone(), "`journal` has no `directory`");
                self.report_incomplete(block, diagnostic.help("directory \"/var/lib/garnetwall\""));
            }
        }
    }
}
