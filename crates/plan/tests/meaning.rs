//! Property tests of plans: formatting preserves the meaning, a diff reports routing changes if and only if routing
//! differs, and no input makes the checker panic.

mod generate;

use garnetwall_plan::compile;
use garnetwall_plan::diff::diff;
use garnetwall_plan::format::format;
use garnetwall_plan::model::Plan;
use garnetwall_plan::source::InMemory;
use generate::*;
use proptest::collection::vec;
use proptest::prelude::*;

/// Returns whether two plans have the same outcome for every generated query.
fn have_equal_routing(a: &Plan, b: &Plan) -> bool {
    let engines = engines();
    let (outcomes_a, outcomes_b) = (outcomes(a, &engines), outcomes(b, &engines));
    let class_index = |name: &str| {
        CLASSES
            .iter()
            .position(|class| *class == name)
            .unwrap_or(CLASSES.len())
    };
    queries().iter().all(|query| {
        // The number of routes stands for no matching route.
        let route_index = |plan: &Plan| {
            plan.routes
                .iter()
                .position(|route| route.first_unmet_entry(query, &plan.addresses).is_none())
                .unwrap_or(plan.routes.len())
        };
        let class = class_index(query.class);
        outcomes_a[route_index(a)][class] == outcomes_b[route_index(b)][class]
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn formatting_is_idempotent_and_preserves_meaning(blocks in blocks(), variations in vec(0usize..6, 60)) {
        // Adds extra spaces, blank lines, comments and tabs between the lines.
        let mut variations = variations.into_iter().cycle();
        let unformatted: String = blocks.concat().lines().map(|line| match variations.next().unwrap_or_default() {
            0 => format!("{}  # why\n", line.replace(' ', "   ")),
            1 => format!("\n\n\n{line}\n"),
            2 => format!("# said before\n\t{line}  \n"),
            _ => format!("{line}\n"),
        }).collect();
        let printed = format(&unformatted).expect("the text can be parsed");
        prop_assert_eq!(&format(&printed).expect("the text can be parsed"), &printed, "formatting is idempotent");
        let comments = |text: &str| text.matches('#').count();
        prop_assert_eq!(comments(&printed), comments(&unformatted));
        let read = |text: &str| compile(&InMemory::one(text), "main.plan", None).expect("the plan is valid").plan;
        let (a, b) = (read(&unformatted), read(&printed));
        prop_assert_eq!(diff(&a, &b), vec![]);
        let plain = plan_of(&blocks).plan;
        prop_assert_eq!(diff(&plain, &b), vec![]);
    }

    #[test]
    fn diff_reports_routing_exactly_when_routing_differs(
        blocks in blocks(),
        changed in vec((any::<prop::sample::Index>(), 0usize..8, any_block()), 0..3),
    ) {
        let mut other = blocks.clone();
        for (at, how, new) in &changed {
            if other.is_empty() {
                break;
            }
            let at = at.index(other.len());
            match how {
                0 => drop(other.remove(at)),
                1 => other[at] = new.clone(),
                2 => other.push(new.clone()),
                // Removes an entry, so that for example a route matches more queries or has fewer pools.
                3..=6 => {
                    let lines: Vec<&str> = other[at].lines().collect();
                    let cut = (how + lines.len()) % lines.len().max(1);
                    let entry = |n: usize| n > 0 && n + 1 < lines.len();
                    let shorter = lines.iter().enumerate().filter(|(n, _)| *n != cut || !entry(*n));
                    other[at] = shorter.map(|(_, line)| format!("{line}\n")).collect();
                }
                _ => {
                    let block = other.remove(at);
                    other.insert(0, block);
                }
            }
        }
        let other = accepted_blocks(&other);
        let (a, b) = (plan_of(&blocks).plan, plan_of(&other).plan);
        prop_assert_eq!(diff(&a, &a), vec![]);
        let changes = diff(&a, &b);
        let routing = changes.iter().any(|c| c.subject == "routing");
        prop_assert_eq!(!routing, have_equal_routing(&a, &b), "{:?}\n--- {}\n+++ {}", changes, blocks.concat(), other.concat());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn random_bytes_compile_or_yield_diagnostics(bytes in vec(any::<u8>(), 0..400)) {
        if let Err(invalid) = compile(&InMemory::one(bytes), "main.plan", None) {
            prop_assert!(!invalid.to_string().is_empty());
        }
    }

    #[test]
    fn modified_plans_never_panic(
        blocks in blocks(),
        cuts in vec((any::<prop::sample::Index>(), prop_oneof![
            Just("{"), Just("}"), Just("\""), Just("#"), Just("\n"), Just("="), Just("$"), Just(","), Just("\0"), Just("..")
        ]), 1..6),
    ) {
        let mut text = format!("let a = 1s\n{}", blocks.concat());
        for (at, with) in cuts {
            let at = at.index(text.len());
            if text.is_char_boundary(at) {
                text.insert_str(at, with);
            }
        }
        match compile(&InMemory::one(text.clone()), "main.plan", None) {
            Err(invalid) => prop_assert!(invalid.to_string().contains("main.plan")),
            Ok(valid) => prop_assert_eq!(diff(&valid.plan, &valid.plan), vec![]),
        }
        if let Ok(printed) = format(&text) {
            prop_assert_eq!(&format(&printed).expect("the text can be parsed"), &printed);
        }
    }
}

/// Moved blocks, renamed constants, pools and routes, and other units for equal values must not be reported as changes;
/// changes of values and pools must be. A pool that adds no engines to the earlier ones is no change.
#[test]
fn equivalent_plans_have_no_diff() {
    let old =
        "let far = 1s\npool a {\n zone maribor\n}\ngroup lookup {\n limit $far\n pools a\n}\n\
        route x {\n group lookup\n to a\n}\nlimit l {\n rate 60/min\n}\n";
    let new =
        "# moved\nlimit l {\n rate 1/s burst 1\n}\nroute y {\n group lookup\n to big\n}\nlet near = 1000ms\n\
        group lookup {\n pools big\n limit $near\n}\npool big {\n zone maribor\n}\n";
    let plan = |text: &str| {
        compile(&InMemory::one(text), "main.plan", None)
            .unwrap_or_else(|f| panic!("{f}"))
            .plan
    };
    assert_eq!(diff(&plan(old), &plan(new)), vec![]);
    let texts = |a: &str, b: &str| -> Vec<String> {
        diff(&plan(a), &plan(b))
            .into_iter()
            .map(|c| c.text)
            .collect()
    };
    assert_eq!(
        texts(old, &old.replace("far = 1s", "far = 1.5s")),
        ["limit of `lookup`: 1s -> 1.5s"]
    );
    assert_eq!(
        texts(
            "tenant acme {\n in-hand 300\n}\n",
            "tenant acme {\n in-hand 200\n}\n"
        ),
        ["in-hand limit of `acme`: 300 -> 200"]
    );
    let reports =
        "pool a {\n kind engine-8\n zone tezno\n}\npool b {\n kind engine-16\n zone tezno\n}\n\
        route r {\n group trend-report\n to a, b\n}\n";
    let part = reports.replace("kind engine-16\n", "kind engine-8\n id e-0*\n");
    assert_eq!(
        texts(&part, &part.replace("to a, b", "to a")),
        [""; 0],
        "pool `b` has no engine that is not in pool `a`"
    );
    assert_eq!(
        texts(reports, &reports.replace("to a, b", "to a")),
        [
            "`trend-report` may no longer use engine-16 in tezno",
            "group trend-report: to a, b -> to a"
        ]
    );
}

/// Very large, deeply nested or self-multiplying input must yield diagnostics or a plan, without a panic, a stack
/// overflow or an exponential amount of work.
#[test]
fn huge_and_deeply_nested_files_are_handled() {
    let message = |bytes: Vec<u8>| match compile(&InMemory::one(bytes), "main.plan", None) {
        Ok(_) => String::new(),
        Err(invalid) => invalid.to_string(),
    };
    let deep = "pool a {\n".repeat(10_000);
    assert!(message(deep.into_bytes()).contains("unclosed block"));
    assert!(message("{".repeat(10_000).into_bytes()).contains("expected a block kind before `{`"));
    let long = message(format!("pool {} {{\n all\n}}\n", "x".repeat(1 << 20)).into_bytes());
    assert!(
        long.contains("invalid name `") && long.len() < 1000,
        "{} bytes",
        long.len()
    );
    let lines: String = (0..25_000)
        .map(|n| format!("pool p{n} {{\n  zone z{}\n}}\n\n", n % 7))
        .collect();
    assert_eq!(lines.lines().count(), 100_000);
    assert_eq!(message(lines.into_bytes()), "");
    let doubling_constants: String = (0..60)
        .map(|n| format!("let c{} = $c{n}, $c{n}\n", n + 1))
        .collect();
    assert!(message(
        format!("let c0 = 1\n{doubling_constants}route r {{\n data-set $c60\n refuse \"x\"\n}}\n")
            .into_bytes()
    )
    .contains("cannot expand constant `"));
    assert!(message(vec![b'a'; 17 << 20]).contains("more than the maximum of 16777216"));
    let includes: String = (0..300)
        .map(|n| format!("include \"{n}.plan\"\n"))
        .collect();
    let mut files = InMemory::one(includes);
    files
        .0
        .extend((0..300).map(|n| (format!("{n}.plan"), Vec::new())));
    let report = compile(&files, "main.plan", None)
        .expect_err("the plan has too many files")
        .to_string();
    assert!(
        report.contains("cannot include `255.plan`: a plan can have at most 256 files"),
        "{report}"
    );
    let many: String = (0..5000).map(|n| format!("nonsense {n}\n")).collect();
    assert!(message(many.into_bytes()).contains("and 4900 more"));
    // Each pool refers to the next one: a recursive search would overflow the stack.
    let chain: String = (0..10_000)
        .map(|n| format!("pool p{n} {{\n  union p{}\n}}\n", n + 1))
        .collect();
    assert_eq!(
        message(format!("{chain}pool p10000 {{\n  all\n}}\n").into_bytes()),
        ""
    );
}
