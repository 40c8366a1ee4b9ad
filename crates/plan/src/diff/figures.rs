//! Reports changes of single properties: rules of query classes, limits of tenants, storage of bodies and the journal.

use super::Change;
use crate::explain::{bucket_in_words, bytes, idempotency_in_words, order, percent, seconds};
use crate::model::{Bodies, Bucket, ClassRules, Plan, Tenant};
use std::collections::BTreeSet;

/// A property of a kind of block that is compared by its printed form.
struct Figure<Block> {
    name: &'static str,
    /// Returns the printed form of the value; `None` if the block does not set it.
    printed: fn(&Block) -> Option<String>,
}

const fn figure<Block>(name: &'static str, printed: fn(&Block) -> Option<String>) -> Figure<Block> {
    Figure { name, printed }
}

const CLASS_FIGURES: [Figure<ClassRules>; 6] = [
    figure("goal", |class| class.latency_objective.map(seconds)),
    figure("limit", |class| class.deadline.map(seconds)),
    figure("order", |class| {
        class.in_order.map(|in_order| order(in_order).to_string())
    }),
    figure("effect", |class| {
        class.idempotency.as_ref().map(idempotency_in_words)
    }),
    figure("further", |class| class.retries_per_query.map(percent)),
    figure("statement", |class| class.max_statement_bytes.map(bytes)),
];

const TENANT_FIGURES: [Figure<Tenant>; 4] = [
    figure("share", |tenant| tenant.share.map(percent)),
    figure("in-hand limit", |tenant| {
        tenant.max_in_flight.map(|count| count.to_string())
    }),
    figure("rate", |tenant| bucket(tenant.rate)),
    figure("bytes", |tenant| bucket(tenant.bytes)),
];

const BODIES_FIGURES: [Figure<Bodies>; 8] = [
    figure("memory", |bodies| Some(bytes(bodies.memory_bytes))),
    figure("batch-memory", |bodies| {
        Some(bytes(bodies.max_body_memory_bytes))
    }),
    figure("files", |bodies| Some(bytes(bodies.file_bytes))),
    figure("directory", |bodies| {
        Some(bodies.directory.clone().unwrap_or_default())
    }),
    figure("batch", |bodies| Some(bytes(bodies.max_body_bytes))),
    figure("share", |bodies| Some(percent(bodies.tenant_share))),
    figure("unknown-length", |bodies| {
        Some(bodies.unknown_length_allowed.to_string())
    }),
    figure("must-keep", |bodies| Some(sorted(&bodies.storage_required))),
];

fn bucket(bucket: Option<Bucket>) -> Option<String> {
    bucket.as_ref().map(bucket_in_words)
}

/// Returns the names in alphabetical order without duplicates, as one list.
fn sorted(names: &[String]) -> String {
    let names: BTreeSet<&str> = names.iter().map(String::as_str).collect();
    let names: Vec<&str> = names.into_iter().collect();
    names.join(", ")
}

/// Returns a change if the printed values differ.
fn change(
    subject: &'static str,
    what: &str,
    old: Option<String>,
    new: Option<String>,
) -> Option<Change> {
    if old == new {
        return None;
    }
    let printed = |figure: Option<String>| figure.unwrap_or_else(|| "none".to_string());
    let text = format!("{what}: {} -> {}", printed(old), printed(new));
    Some(Change { subject, text })
}

/// Returns the changed properties of a block, which may be absent from either plan.
fn figures<Block>(
    subject: &'static str,
    name: &str,
    figures: &[Figure<Block>],
    old: Option<&Block>,
    new: Option<&Block>,
) -> Vec<Change> {
    let changed = figures.iter().filter_map(|figure| {
        let what = format!("{} of {name}", figure.name);
        let old = old.and_then(figure.printed);
        let new = new.and_then(figure.printed);
        change(subject, &what, old, new)
    });
    changed.collect()
}

/// Returns the changes in the rules of query classes.
pub(super) fn of_classes(old: &Plan, new: &Plan) -> Vec<Change> {
    let classes = old.classes.iter().chain(&new.classes);
    let names: BTreeSet<&str> = classes.map(|class| class.name.as_str()).collect();
    let changes = names.into_iter().flat_map(|name| {
        let quoted = format!("`{name}`");
        figures(
            "group",
            &quoted,
            &CLASS_FIGURES,
            old.class(name),
            new.class(name),
        )
    });
    changes.collect()
}

/// Returns the changes in the limits of tenants.
pub(super) fn of_tenants(old: &Plan, new: &Plan) -> Vec<Change> {
    let tenants = old.tenants.iter().chain(&new.tenants);
    let names: BTreeSet<&str> = tenants.map(|tenant| tenant.name.as_str()).collect();
    let changes = names.into_iter().flat_map(|name| {
        let quoted = format!("`{name}`");
        figures(
            "tenant",
            &quoted,
            &TENANT_FIGURES,
            old.tenant(name),
            new.tenant(name),
        )
    });
    changes.collect()
}

/// Returns the changes in the storage of bodies and of the journal.
pub(super) fn of_storage(old: &Plan, new: &Plan) -> Vec<Change> {
    let mut changes = figures(
        "store",
        "bodies",
        &BODIES_FIGURES,
        old.bodies.as_ref(),
        new.bodies.as_ref(),
    );
    let directory = |plan: &Plan| {
        let journal = plan.journal.as_ref();
        journal.map(|journal| journal.directory.clone())
    };
    let what = "directory of the journal";
    changes.extend(change("store", what, directory(old), directory(new)));
    changes
}
