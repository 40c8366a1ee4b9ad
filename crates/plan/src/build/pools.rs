//! Address sets and pools.

use super::entries::named;
use super::Builder;
use crate::address::{difference, span, union, Spans};
use crate::check::Spanned;
use crate::fault::Fault;
use crate::model::{AddressSet, Pool};
use crate::quantity::Value;

impl Builder<'_> {
    pub(super) fn addresses(&mut self) {
        let blocks = self.of("addresses");
        let of: Vec<Vec<usize>> = blocks
            .iter()
            .map(|b| self.refs("addresses", b.get("of")))
            .collect();
        let order = self.ordered("addresses", &of);
        let flat = |values: &[Spanned]| -> Spans {
            let nets = values.iter().filter_map(|s| match &s.value {
                Value::Network(net) => Some(span(net)),
                _ => None,
            });
            union(nets.collect())
        };
        let mut all: Vec<Spans> = vec![Spans::new(); blocks.len()];
        for n in order {
            let mut spans = flat(blocks[n].values("net"));
            spans.extend(of[n].iter().flat_map(|other| all[*other].clone()));
            all[n] = difference(&union(spans), &flat(blocks[n].values("except")));
        }
        for (block, spans) in blocks.into_iter().zip(all) {
            let given = block.get("net").is_some() || block.get("of").is_some();
            if !given {
                let fault = Fault::new(
                    block.span.clone(),
                    format!("the address set `{}` says nothing", block.name),
                );
                self.says_too_little(block, fault.help("net 10.1.0.0/16"));
            } else if spans.is_empty() && !block.values("net").is_empty() {
                let text = format!("the address set `{}` holds no address", block.name);
                self.faults.push(Fault::new(block.span.clone(), text));
            }
            let (name, span) = (block.name.clone(), block.span.clone());
            self.plan.addresses.push(AddressSet { name, span, spans });
        }
    }

    pub(super) fn pools(&mut self) {
        for block in self.of("pool") {
            let addresses = self.refs("addresses", block.get("address"));
            let union = self.refs("pool", block.get("union"));
            let except = self.refs("pool", block.get("except"));
            let pool = Pool {
                name: block.name.clone(),
                span: block.span.clone(),
                all: block.get("all").is_some(),
                zones: named(block.values("zone")),
                kinds: named(block.values("kind")),
                ids: named(block.values("id")),
                addresses,
                union,
                except,
            };
            let selects = ["all", "zone", "kind", "id", "address", "union"]
                .iter()
                .any(|e| block.get(e).is_some());
            if !selects {
                let fault = Fault::new(
                    block.span.clone(),
                    format!("the pool `{}` holds no engine", block.name),
                );
                self.says_too_little(
                    block,
                    fault.help(
                        "say which it holds: `all`, `zone`, `kind`, `id`, `address` or `union`",
                    ),
                );
            }
            self.plan.pools.push(pool);
        }
        let refers = |p: &Pool| p.union.iter().chain(&p.except).copied().collect();
        let refers: Vec<Vec<usize>> = self.plan.pools.iter().map(refers).collect();
        self.plan.pool_order = self.ordered("pool", &refers);
    }
}
