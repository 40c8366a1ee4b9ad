//! Resolves names: those of the settings, and those of other blocks.

use super::{Builder, Settings};
use crate::check::Given;
use crate::fault::Fault;
use crate::files::Span;
use crate::quantity::Value;
use crate::schema::{Outer, Shape};

impl Builder<'_> {
    /// Names of groups, tenants, kinds and zones, where the settings are at hand.
    pub(super) fn outer_names(&mut self) {
        let Some(settings) = self.settings else {
            return;
        };
        for block in self.blocks {
            if let Some(outer) = block.kind.outer {
                self.outer_name(settings, outer, &block.name, &block.span);
            }
            for entry in block.kind.entries {
                let (Shape::Outer(outer) | Shape::OneOuter(outer)) = entry.shape else {
                    continue;
                };
                for value in block.values(entry.name) {
                    if let Value::Name(name) = &value.value {
                        self.outer_name(settings, outer, name, &value.span);
                    }
                }
            }
        }
    }

    fn outer_name(&mut self, settings: &Settings, outer: Outer, name: &str, span: &Span) {
        let names = settings.names(outer);
        if !names.contains(&name) {
            let text = format!("the settings know no {} `{name}`", outer.is());
            self.faults
                .push(Fault::new(span.clone(), text).suggest_nearest(name, names));
        }
    }

    /// The indices of blocks of a kind that an entry names.
    pub(super) fn refs(&mut self, kind: &'static str, given: Option<&Given>) -> Vec<usize> {
        let known = &self.places[kind];
        let mut found = Vec::new();
        for value in given.map_or(&[][..], |g| &g.values) {
            let Value::Name(name) = &value.value else {
                continue;
            };
            match known.get(name.as_str()) {
                Some(n) if found.contains(n) => {
                    self.faults.push(Fault::new(
                        value.span.clone(),
                        format!("`{name}` stands twice in this list"),
                    ));
                }
                Some(n) => found.push(*n),
                None => {
                    let what = if kind == "pool" {
                        "pool"
                    } else {
                        "address set"
                    };
                    let fault =
                        Fault::new(value.span.clone(), format!("there is no {what} `{name}`"));
                    self.faults
                        .push(fault.suggest_nearest(name, known.keys().copied()));
                }
            }
        }
        found
    }

    /// An order in which each block comes after those that it refers to; those in a loop are a fault.
    pub(super) fn ordered(&mut self, kind: &str, refers: &[Vec<usize>]) -> Vec<usize> {
        let blocks: Vec<(String, Span)> = self
            .of(kind)
            .iter()
            .map(|b| (b.name.clone(), b.span.clone()))
            .collect();
        let (mut done, mut order) = (vec![false; refers.len()], Vec::new());
        for first in 0..refers.len() {
            // The way from `first` down, with how far each one's references were followed.
            let mut way: Vec<(usize, usize)> = if done[first] {
                Vec::new()
            } else {
                vec![(first, 0)]
            };
            while let Some((at, next)) = way.last_mut() {
                let at = *at;
                let Some(&other) = refers[at].get(*next) else {
                    done[at] = true;
                    order.push(at);
                    way.pop();
                    continue;
                };
                *next += 1;
                if let Some(begins) = way.iter().position(|(n, _)| *n == other) {
                    let mut names: Vec<&str> = way[begins..]
                        .iter()
                        .map(|(n, _)| blocks[*n].0.as_str())
                        .collect();
                    names.push(&blocks[other].0);
                    let text = format!(
                        "`{}` refers to itself: {}",
                        blocks[other].0,
                        names.join(" -> ")
                    );
                    self.faults.push(Fault::new(blocks[other].1.clone(), text));
                } else if !done[other] {
                    way.push((other, 0));
                }
            }
        }
        order
    }
}
