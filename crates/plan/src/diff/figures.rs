//! Reports changes of single properties: rules of query classes, limits of tenants, storage of bodies and the journal.

use super::Change;
use crate::explain::{bytes, describe_bucket, describe_idempotency, order, percent, seconds};
use crate::model::{Bodies, Bucket, ClassRules, Plan, Tenant};
use std::collections::BTreeSet;

/// A property of a kind of block that is compared by its printed form.
struct Property<Block> {
    name: &'static str,
    /// Returns the printed form of the value; `None` if the block does not set it.
    get: fn(&Block) -> Option<String>,
}

const fn property<Block>(name: &'static str, get: fn(&Block) -> Option<String>) -> Property<Block> {
    Property { name, get }
}

const CLASS_PROPERTIES: [Property<ClassRules>; 6] = [
    property("goal", |class| class.latency_objective.map(seconds)),
    property("limit", |class| class.deadline.map(seconds)),
    property("order", |class| {
        class.in_order.map(|in_order| order(in_order).to_string())
    }),
    property("effect", |class| {
        class.idempotency.as_ref().map(describe_idempotency)
    }),
    property("further", |class| class.retries_per_query.map(percent)),
    property("statement", |class| class.max_statement_bytes.map(bytes)),
];

const TENANT_PROPERTIES: [Property<Tenant>; 4] = [
    property("share", |tenant| tenant.share.map(percent)),
    property("in-hand limit", |tenant| {
        tenant.max_in_flight.map(|count| count.to_string())
    }),
    property("rate", |tenant| bucket(tenant.rate)),
    property("bytes", |tenant| bucket(tenant.bytes)),
];

const BODIES_PROPERTIES: [Property<Bodies>; 8] = [
    property("memory", |bodies| Some(bytes(bodies.memory_bytes))),
    property("batch-memory", |bodies| {
        Some(bytes(bodies.max_body_memory_bytes))
    }),
    property("files", |bodies| Some(bytes(bodies.file_bytes))),
    property("directory", |bodies| {
        Some(bodies.directory.clone().unwrap_or_default())
    }),
    property("batch", |bodies| Some(bytes(bodies.max_body_bytes))),
    property("share", |bodies| Some(percent(bodies.tenant_share))),
    property("unknown-length", |bodies| {
        Some(bodies.unknown_length_allowed.to_string())
    }),
    property("must-keep", |bodies| Some(sorted(&bodies.storage_required))),
];

fn bucket(bucket: Option<Bucket>) -> Option<String> {
    bucket.as_ref().map(describe_bucket)
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
    label: &str,
    old: Option<String>,
    new: Option<String>,
) -> Option<Change> {
    if old == new {
        return None;
    }
    let printed = |value: Option<String>| value.unwrap_or_else(|| "none".to_string());
    let text = format!("{label}: {} -> {}", printed(old), printed(new));
    Some(Change { subject, text })
}

/// Returns the changed properties of a block, which may be absent from either plan.
fn property_changes<Block>(
    subject: &'static str,
    name: &str,
    properties: &[Property<Block>],
    old: Option<&Block>,
    new: Option<&Block>,
) -> Vec<Change> {
    let changed = properties.iter().filter_map(|property| {
        let label = format!("{} of {name}", property.name);
        let old = old.and_then(property.get);
        let new = new.and_then(property.get);
        change(subject, &label, old, new)
    });
    changed.collect()
}

/// Returns the changes in the rules of query classes.
pub(super) fn class_changes(old: &Plan, new: &Plan) -> Vec<Change> {
    let classes = old.classes.iter().chain(&new.classes);
    let names: BTreeSet<&str> = classes.map(|class| class.name.as_str()).collect();
    let changes = names.into_iter().flat_map(|name| {
        let quoted = format!("`{name}`");
        property_changes(
            "group",
            &quoted,
            &CLASS_PROPERTIES,
            old.class(name),
            new.class(name),
        )
    });
    changes.collect()
}

/// Returns the changes in the limits of tenants.
pub(super) fn tenant_changes(old: &Plan, new: &Plan) -> Vec<Change> {
    let tenants = old.tenants.iter().chain(&new.tenants);
    let names: BTreeSet<&str> = tenants.map(|tenant| tenant.name.as_str()).collect();
    let changes = names.into_iter().flat_map(|name| {
        let quoted = format!("`{name}`");
        property_changes(
            "tenant",
            &quoted,
            &TENANT_PROPERTIES,
            old.tenant(name),
            new.tenant(name),
        )
    });
    changes.collect()
}

/// Returns the changes in the storage of bodies and of the journal.
pub(super) fn storage_changes(old: &Plan, new: &Plan) -> Vec<Change> {
    let mut changes = property_changes(
        "store",
        "bodies",
        &BODIES_PROPERTIES,
        old.bodies.as_ref(),
        new.bodies.as_ref(),
    );
    let directory = |plan: &Plan| {
        let journal = plan.journal.as_ref();
        journal.map(|journal| journal.directory.clone())
    };
    let label = "directory of the journal";
    changes.extend(change("store", label, directory(old), directory(new)));
    changes
}
