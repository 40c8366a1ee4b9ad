//! Rules of service groups, and shares of tenants.

use super::entries::{bucket, named, number, time};
use super::Builder;
use crate::model::{Effect, Group, Scope, Tenant};

impl Builder<'_> {
    pub(super) fn groups(&mut self) {
        for block in self.of("group") {
            let pools = self.refs("pool", block.get("pools"));
            let word = |entry: &str| named(block.values(entry)).into_iter().next();
            let effect = block.values("effect");
            let scope = match named(effect).get(1).map(String::as_str) {
                Some("zone") => Scope::Zone,
                Some("cell") => Scope::Cell,
                _ => Scope::Everywhere,
            };
            let effect = word("effect").map(|word| match (word.as_str(), time(effect.get(2))) {
                ("once-only", _) => Effect::OnceOnly,
                ("referenced", Some(window)) => Effect::Referenced { scope, window },
                _ => Effect::Repeatable,
            });
            self.plan.groups.push(Group {
                goal: time(block.one("goal")),
                limit: time(block.one("limit")),
                pools,
                pools_span: block.get("pools").map(|g| g.span.clone()),
                in_order: word("order").map(|w| w == "key"),
                effect,
                further: number(block.one("further")),
                statement: number(block.one("statement")).map(|n| n as u64),
                name: block.name.clone(),
                span: block.span.clone(),
            });
        }
    }

    pub(super) fn tenants(&mut self) {
        for block in self.of("tenant") {
            self.plan.tenants.push(Tenant {
                share: number(block.one("share")),
                in_hand: number(block.one("in-hand")).map(|n| n as u64),
                rate: bucket(block.get("rate")),
                bytes: bucket(block.get("bytes")),
                name: block.name.clone(),
                span: block.span.clone(),
            });
        }
    }
}
