//! Compares the diagnostics of the invalid plans in `tests/broken` with the expected output beside each plan.
//!
//! `BLESS=1 cargo test -p garnetwall-plan --test broken` overwrites the expected output; review it before committing.

use garnetwall_plan::compile;
use garnetwall_plan::model::{DeduplicationScope, Idempotency};
use garnetwall_plan::source::{resolve_relative, LoadError, Loader};
use garnetwall_plan::{Settings, SettingsClass};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

struct Directory(PathBuf);

impl Loader for Directory {
    fn load(&self, name: &str) -> Result<Vec<u8>, LoadError> {
        let path = self.0.join(name);
        match path.is_dir() {
            true => Err(LoadError::IsDirectory),
            false => std::fs::read(path).map_err(|_| LoadError::NotFound),
        }
    }

    fn resolve(&self, from: &str, included: &str) -> String {
        resolve_relative(from, included)
    }
}

/// Returns the settings used for the plans whose file name starts with `settings`.
fn settings() -> Settings {
    let class = |name: &str, idempotency, in_order, kinds: Option<&str>| SettingsClass {
        name: name.into(),
        latency_objective: Duration::from_secs(1),
        deadline: Duration::from_secs(5),
        in_order,
        idempotency,
        kinds: kinds.map(|kind| vec![kind.to_string()]),
        zones: None,
    };
    let by_key = Idempotency::IdempotentByKey {
        scope: DeduplicationScope::Zone,
        window: Duration::from_secs(30),
    };
    Settings {
        classes: vec![
            class("lookup", Idempotency::Idempotent, false, None),
            class("catalogue", by_key, false, None),
            class("sale-load", Idempotency::NonIdempotent, true, None),
            class("price-feed", Idempotency::Idempotent, true, None),
            class(
                "trend-report",
                Idempotency::Idempotent,
                false,
                Some("engine-8"),
            ),
        ],
        tenants: vec!["acme".into(), "mura-drazbe".into()],
        kinds: vec!["engine-8".into(), "engine-16".into()],
        zones: vec!["maribor".into(), "tezno".into()],
    }
}

#[test]
fn invalid_plans_yield_the_expected_diagnostics() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/broken");
    let bless = std::env::var_os("BLESS").is_some();
    let mut plans: Vec<PathBuf> = std::fs::read_dir(&directory)
        .expect("the directory of invalid plans is readable")
        .map(|entry| entry.expect("the directory entry is readable").path())
        .filter(|path| path.extension().is_some_and(|e| e == "plan"))
        .collect();
    plans.sort();
    assert!(
        plans.len() >= 60,
        "only {} invalid plans found",
        plans.len()
    );
    let mut mismatches = Vec::new();
    let mut messages = BTreeSet::new();
    for path in plans {
        let name = path
            .file_name()
            .and_then(|n| n.to_str())
            .expect("the file name is UTF-8")
            .to_string();
        let settings = name.starts_with("settings").then(settings);
        let message = match compile(&Directory(directory.clone()), &name, settings.as_ref()) {
            Ok(_) => "no errors\n".to_string(),
            Err(invalid) => invalid.to_string(),
        };
        let expected = path.with_extension("txt");
        if bless {
            std::fs::write(&expected, &message).expect("the expected output is written");
        }
        messages.insert(message.lines().next().unwrap_or_default().to_string());
        if message.starts_with("no errors")
            || std::fs::read_to_string(&expected).ok().as_deref() != Some(&message)
        {
            mismatches.push(format!("{name}:\n{message}"));
        }
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
    assert!(
        messages.len() >= 60,
        "only {} distinct messages",
        messages.len()
    );
}

/// The block reference in docs/plan-language.md must match the table that the checker uses.
#[test]
fn language_page_matches_the_table_of_blocks() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/plan-language.md");
    let text = std::fs::read_to_string(&page).expect("docs/plan-language.md is readable");
    let begin = "<!-- blocks: made from the table; a test compares -->\n";
    let (before, tail) = text
        .split_once(begin)
        .expect("the page has the start marker of the table");
    let (table, after) = tail
        .split_once("<!-- end of blocks -->")
        .expect("the page has the end marker of the table");
    let made = garnetwall_plan::schema::as_markdown();
    if std::env::var_os("BLESS").is_some() {
        std::fs::write(
            &page,
            format!("{before}{begin}{made}<!-- end of blocks -->{after}"),
        )
        .expect("the page is written");
    } else {
        assert_eq!(table, made);
    }
}
