//! Defines the table of all kinds of blocks and their entries.
//!
//! The checker and the builder use the table, and the reference in docs/plan-language.md is generated from it. A new
//! kind of block is added here.

use crate::quantity::ValueKind;
use std::fmt::Write;

/// Syntax of the values that follow the name of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// No value.
    Flag,
    /// Exactly one value.
    One(ValueKind),
    /// One or several values, separated by commas. The entry may be repeated, as for all list shapes.
    List(ValueKind),
    /// List of names of blocks of this kind.
    BlockNames(&'static str),
    /// List of names that the settings define.
    SettingsNames(Namespace),
    /// One name that the settings define.
    SettingsName(Namespace),
    /// Exactly one of these words.
    Choice(&'static [&'static str]),
    /// List of some of these words.
    Words(&'static [&'static str]),
    /// A rate, optionally followed by `burst` and an amount: the parameters of a token bucket.
    Bucket {
        /// Kind of the rate.
        rate: ValueKind,
        /// Kind of the amount after `burst`.
        burst: ValueKind,
    },
    /// `repeatable`, `once-only`, or `referenced` with a scope and a deduplication window.
    Effect,
}

impl Shape {
    /// Returns whether an entry of this shape may be repeated; the values of all occurrences are concatenated.
    pub fn is_list(self) -> bool {
        matches!(
            self,
            Shape::List(_) | Shape::BlockNames(_) | Shape::SettingsNames(_) | Shape::Words(_)
        )
    }

    /// Returns the namespace of the values if the settings define them.
    pub fn namespace(self) -> Option<Namespace> {
        match self {
            Shape::SettingsNames(namespace) | Shape::SettingsName(namespace) => Some(namespace),
            _ => None,
        }
    }
}

/// A category of names that the platform's settings define.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Namespace {
    /// Names of query classes.
    QueryClass,
    /// Names of tenants.
    Tenant,
    /// Names of engine kinds.
    EngineKind,
    /// Names of zones.
    Zone,
}

impl Namespace {
    /// Returns the term for such a name in error messages.
    pub fn description(self) -> &'static str {
        match self {
            Namespace::QueryClass => "query class",
            Namespace::Tenant => "tenant",
            Namespace::EngineKind => "kind",
            Namespace::Zone => "zone",
        }
    }
}

/// Definition of an entry that a kind of block may have.
#[derive(Debug, PartialEq, Eq)]
pub struct EntryKind {
    /// Keyword that begins the entry.
    pub name: &'static str,
    /// Syntax of the values.
    pub shape: Shape,
    /// Meaning of the entry, for the documentation.
    pub about: &'static str,
    /// Example of the values without the name, for the documentation and for help texts; empty for a flag.
    pub example: &'static str,
}

/// Definition of a kind of block.
#[derive(Debug, PartialEq, Eq)]
pub struct BlockKind {
    /// Keyword that begins the block.
    pub name: &'static str,
    /// Meaning of the block, for the documentation.
    pub about: &'static str,
    /// Namespace of the block's name if the settings define it; `None` if the plan chooses the name.
    pub namespace: Option<Namespace>,
    /// Entries that the block may have.
    pub entries: &'static [EntryKind],
}

impl BlockKind {
    /// Returns the definition of an entry by its name.
    pub fn entry(&self, name: &str) -> Option<&'static EntryKind> {
        self.entries.iter().find(|entry| entry.name == name)
    }
}

const fn entry(
    name: &'static str,
    shape: Shape,
    example: &'static str,
    about: &'static str,
) -> EntryKind {
    EntryKind {
        name,
        shape,
        about,
        example,
    }
}

/// Values of a `per` entry.
pub const LIMIT_DIMENSIONS: &[&str] = &["group", "tenant", "client"];
/// Values of an `order` entry.
pub const ORDERS: &[&str] = &["key", "none"];
/// Values of a `key` entry in a route.
pub const KEY_CONDITIONS: &[&str] = &["given", "none"];
/// First words of an `effect` entry.
pub const EFFECTS: &[&str] = &["repeatable", "referenced", "once-only"];
/// Deduplication scopes, the second word of `effect referenced`.
pub const EFFECT_SCOPES: &[&str] = &["everywhere", "zone", "cell"];

/// Token bucket of queries.
const QUERY_BUCKET: Shape = Shape::Bucket {
    rate: ValueKind::Rate,
    burst: ValueKind::Count,
};
/// Token bucket of bytes.
const BYTE_BUCKET: Shape = Shape::Bucket {
    rate: ValueKind::ByteRate,
    burst: ValueKind::Size,
};

/// All kinds of blocks of the plan language, in the order of the documentation.
pub const BLOCKS: &[BlockKind] = &[
    BlockKind {
        name: "addresses",
        about: "A set of addresses of clients or engines.",
        namespace: None,
        entries: &[
            entry("net", Shape::List(ValueKind::Network), "10.1.0.0/16, 2001:db8::/32", "networks and single addresses in the set"),
            entry("of", Shape::BlockNames("addresses"), "houses, partners", "other sets that are in it"),
            entry("except", Shape::List(ValueKind::Network), "10.1.9.0/24", "networks that are not in it, whatever else says"),
        ],
    },
    BlockKind {
        name: "pool",
        about: "A set of engines: those that fit every entry of the first five, and those of other pools, less some.",
        namespace: None,
        entries: &[
            entry("all", Shape::Flag, "", "every engine"),
            entry("zone", Shape::SettingsNames(Namespace::Zone), "maribor, tezno", "engines in one of these zones"),
            entry("kind", Shape::SettingsNames(Namespace::EngineKind), "engine-8", "engines of one of these kinds"),
            entry("id", Shape::List(ValueKind::Pattern), "s-0*, s-1*", "engines whose id fits one of these patterns"),
            entry("address", Shape::BlockNames("addresses"), "racks", "engines at an address of one of these sets"),
            entry("union", Shape::BlockNames("pool"), "big, spare", "the engines of these pools, too"),
            entry("except", Shape::BlockNames("pool"), "cellar", "never the engines of these pools"),
        ],
    },
    BlockKind {
        name: "group",
        about: "Rules of a query class. They narrow what the settings allow, and never widen it.",
        namespace: Some(Namespace::QueryClass),
        entries: &[
            entry("goal", Shape::One(ValueKind::Time), "1s", "latency objective; at most the deadline"),
            entry("limit", Shape::One(ValueKind::Time), "5s", "deadline; at most that of the settings"),
            entry("pools", Shape::BlockNames("pool"), "big", "its queries never leave these pools, whatever a route says"),
            entry("order", Shape::Choice(ORDERS), "key", "whether queries of one ordering key run one at a time, in order"),
            entry("effect", Shape::Effect, "referenced zone 30s", "whether a query that may have run may run again"),
            entry("further", Shape::One(ValueKind::Share), "10%", "retries in a minute, as a share of its queries, 1 at least"),
            entry("statement", Shape::One(ValueKind::Size), "64KiB", "the largest statement"),
        ],
    },
    BlockKind {
        name: "tenant",
        about: "Limits of one tenant.",
        namespace: Some(Namespace::Tenant),
        entries: &[
            entry("share", Shape::One(ValueKind::Share), "30%", "the most of this gateway's capacity for queries that it may use"),
            entry("in-hand", Shape::One(ValueKind::Count), "200", "queries in flight at this gateway"),
            entry("rate", QUERY_BUCKET, "50/s burst 100", "queries admitted over time"),
            entry("bytes", BYTE_BUCKET, "1MiB/s burst 4MiB", "bytes of statements over time"),
        ],
    },
    BlockKind {
        name: "route",
        about: "Where queries go. Routes are tried in the order in which they stand; the first that matches decides.",
        namespace: None,
        entries: &[
            entry("group", Shape::SettingsNames(Namespace::QueryClass), "lookup, report", "only queries of these classes"),
            entry("tenant", Shape::SettingsNames(Namespace::Tenant), "acme", "only queries of these tenants"),
            entry("client", Shape::BlockNames("addresses"), "houses", "only from clients at these addresses"),
            entry("key", Shape::Choice(KEY_CONDITIONS), "given", "only queries with an ordering key, or only those without"),
            entry("data-set", Shape::List(ValueKind::Numbers), "17, 20..30", "only queries on these data sets"),
            entry("hours", Shape::List(ValueKind::TimesOfDay), "06:00..20:00", "only at these hours of the day, UTC"),
            entry("to", Shape::BlockNames("pool"), "big, small", "pools in order of preference: a later one only where no earlier one has an engine that may be used"),
            entry("as", Shape::SettingsName(Namespace::QueryClass), "report", "the class that they are treated as"),
            entry("refuse", Shape::One(ValueKind::Text), "\"closed on sale days\"", "they are rejected, with this reason"),
        ],
    },
    BlockKind {
        name: "limit",
        about: "A limit on what is admitted. A query over it is rejected at once, with a time to retry after.",
        namespace: None,
        entries: &[
            entry("per", Shape::Words(LIMIT_DIMENSIONS), "tenant, client", "one limit for each of these; without it one for all"),
            entry("group", Shape::SettingsNames(Namespace::QueryClass), "report", "counts only queries of these classes"),
            entry("tenant", Shape::SettingsNames(Namespace::Tenant), "acme", "counts only queries of these tenants"),
            entry("client", Shape::BlockNames("addresses"), "houses", "counts only queries from these addresses"),
            entry("in-hand", Shape::One(ValueKind::Count), "300", "queries in flight at this gateway"),
            entry("rate", QUERY_BUCKET, "50/s burst 100", "queries admitted over time"),
            entry("bytes", BYTE_BUCKET, "10MiB/s burst 20MiB", "bytes of statements over time"),
        ],
    },
    BlockKind {
        name: "bodies",
        about: "Where bodies of queries over 256 KiB are stored for retries. One at most; it takes effect at a start.",
        namespace: None,
        entries: &[
            entry("memory", Shape::One(ValueKind::Size), "32MiB", "stored in memory, in all"),
            entry("batch-memory", Shape::One(ValueKind::Size), "4MiB", "stored in memory of one body; a longer one goes to files"),
            entry("files", Shape::One(ValueKind::Size), "1GiB", "stored in a spool file, in all; without it nothing is"),
            entry("directory", Shape::One(ValueKind::Text), "\"/var/lib/garnetwall\"", "the directory of that file"),
            entry("batch", Shape::One(ValueKind::Size), "200MiB", "the longest body; a longer one is rejected"),
            entry("share", Shape::One(ValueKind::Share), "50%", "the most of memory and files that one tenant may use"),
            entry("unknown-length", Shape::Flag, "", "bodies are accepted whose length is not announced"),
            entry("must-keep", Shape::SettingsNames(Namespace::QueryClass), "lookup", "queries of these classes are rejected where their body can't be stored"),
        ],
    },
    BlockKind {
        name: "journal",
        about: "Non-idempotent queries are recorded before they are sent, so that a restart runs none again. One at most; it takes effect at a start.",
        namespace: None,
        entries: &[
            entry("directory", Shape::One(ValueKind::Text), "\"/var/lib/garnetwall\"", "on a disk that lasts"),
        ],
    },
];

/// Returns the definition of a kind of block by its keyword.
pub fn block(name: &str) -> Option<&'static BlockKind> {
    BLOCKS.iter().find(|block| block.name == name)
}

/// Returns the table as Markdown, in the form included in docs/plan-language.md.
pub fn as_markdown() -> String {
    BLOCKS.iter().map(block_as_markdown).collect()
}

fn block_as_markdown(block: &BlockKind) -> String {
    let mut out = String::new();
    // Writing to a `String` never fails.
    let _ = writeln!(out, "### `{}`\n\n{}\n", block.name, block.about);
    out += "| entry | example | meaning |\n|---|---|---|\n";
    for EntryKind {
        name,
        example,
        about,
        ..
    } in block.entries
    {
        let example = format!("{name} {example}");
        let _ = writeln!(out, "| `{name}` | `{}` | {about} |", example.trim_end());
    }
    out.push('\n');
    out
}
