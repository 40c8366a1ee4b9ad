//! Builds routes from `route` blocks.

use super::entries::{first_text, minute_ranges, number_ranges, texts};
use super::names::RefKind;
use super::Builder;
use crate::check::CheckedBlock;
use crate::diagnostic::Diagnostic;
use crate::model::Route;

impl Builder<'_> {
    pub(super) fn build_routes(&mut self) {
        for block in self.blocks_of_kind("route") {
            let clients = self.block_indices(RefKind::AddressSet, block.entry("client"));
            let pools = self.block_indices(RefKind::Pool, block.entry("to"));
            self.check_outcome(block);
            let key = first_text(block.values("key"));
            let place = |entry: &str| block.entry(entry).map(|entry| entry.span.clone());
            self.plan.routes.push(Route {
                name: block.name.clone(),
                span: block.name_span.clone(),
                classes: texts(block.values("group")),
                tenants: texts(block.values("tenant")),
                clients,
                has_key: key.map(|word| word == "given"),
                data_sets: number_ranges(block.values("data-set")),
                times_of_day: minute_ranges(block.values("hours")),
                pools,
                pools_span: place("to"),
                as_class: first_text(block.values("as")),
                as_span: place("as"),
                reject_reason: first_text(block.values("refuse")),
            });
        }
    }

    /// Reports a route that neither has a destination (`to` or `as`) nor rejects its queries (`refuse`), or that does
    /// both.
    fn check_outcome(&mut self, block: &CheckedBlock) {
        if !block.has_any(&["to", "as", "refuse"]) {
            let text = format!("route `{}` has no effect", block.name);
            let help = "add `to`, `as` or `refuse`";
            let diagnostic = Diagnostic::new(block.name_span.clone(), text);
            self.report_incomplete(block, diagnostic.help(help));
        }
        let destination = block.entry("to").or(block.entry("as"));
        if let (Some(refuse), Some(destination)) = (block.entry("refuse"), destination) {
            let diagnostic = Diagnostic::new(
                refuse.span.clone(),
                "a route with `refuse` cannot have `to` or `as`",
            );
            let text = "conflicts with this entry";
            self.diagnostics
                .push(diagnostic.related(destination.span.clone(), text));
        }
    }
}
