//! Routes.

use super::entries::named;
use super::Builder;
use crate::check::Spanned;
use crate::fault::Fault;
use crate::model::Route;
use crate::quantity::Value;

impl Builder<'_> {
    pub(super) fn routes(&mut self) {
        for block in self.of("route") {
            let clients = self.refs("addresses", block.get("client"));
            let to = self.refs("pool", block.get("to"));
            let word = |entry: &str| named(block.values(entry)).into_iter().next();
            let says = ["to", "as", "refuse"]
                .iter()
                .any(|e| block.get(e).is_some());
            if !says {
                let fault = Fault::new(
                    block.span.clone(),
                    format!("the route `{}` says nothing", block.name),
                );
                self.says_too_little(
                    block,
                    fault.help("say what becomes of its batches: `to`, `as` or `refuse`"),
                );
            }
            if let Some(refuse) = block.get("refuse") {
                if let Some(other) = block.get("to").or(block.get("as")) {
                    let fault = Fault::new(refuse.span.clone(), "what is refused goes nowhere");
                    self.faults
                        .push(fault.related(other.span.clone(), "and this says where it goes"));
                }
            }
            let spans = |entry: &str| {
                let pair = |s: &Spanned| match s.value {
                    Value::Numbers(a, b) | Value::Clock(a, b) => Some((a, b)),
                    _ => None,
                };
                block.values(entry).iter().filter_map(pair).collect()
            };
            self.plan.routes.push(Route {
                classes: named(block.values("group")),
                tenants: named(block.values("tenant")),
                clients,
                key: word("key").map(|w| w == "given"),
                data_sets: spans("data-set"),
                hours: spans("hours"),
                pools: to,
                pools_span: block.get("to").map(|g| g.span.clone()),
                as_class: word("as"),
                as_span: block.get("as").map(|g| g.span.clone()),
                reject_reason: word("refuse"),
                name: block.name.clone(),
                span: block.span.clone(),
            });
        }
    }
}
