//! Compares compiled routing with the plan's own evaluation, over random plans.

#[path = "../../plan/tests/generate/mod.rs"]
mod generate;

use garnetwall_plan::model::EngineAttributes;
use garnetwall_routing::{Names, PoolMembers, RouteDecision, RoutedQuery, Routing};
use generate::*;
use proptest::collection::vec;
use proptest::prelude::*;
use std::sync::Arc;

fn names() -> Names {
    let list = |names: &[&str]| {
        names
            .iter()
            .map(|n| n.to_string())
            .chain(["other".to_string()])
            .collect()
    };
    Names {
        classes: list(&CLASSES),
        tenants: list(&TENANTS),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn compiled_routing_agrees_with_the_plan_evaluation(
        blocks in blocks(),
        listed in vec(any::<prop::sample::Index>(), 1..40),
        removed in vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let plan = Arc::new(plan_of(&blocks).plan);
        let routing = Routing::new(plan.clone(), names());
        // Engines are added in random order, then some are removed.
        let all = engines();
        let mut current: Vec<Option<EngineAttributes>> = Vec::new();
        let mut members = PoolMembers::new(&routing);
        for pick in listed {
            let attributes = all[pick.index(all.len())];
            members.update(&routing, current.len(), Some(&attributes));
            current.push(Some(attributes));
        }
        for pick in removed {
            let engine = pick.index(current.len());
            members.update(&routing, engine, None);
            current[engine] = None;
        }
        let index_of = |names: &[String], name: &str| names.iter().position(|n| n == name).expect("a name of the settings");
        for facts in queries().iter().step_by(7) {
            let query = RoutedQuery {
                class: index_of(&routing.names().classes, facts.class),
                tenant: index_of(&routing.names().tenants, facts.tenant),
                client: facts.client,
                has_key: facts.has_key,
                data_set: facts.data_set,
                minute: facts.minute_of_day,
                statement_bytes: 1,
            };
            let expected_route = plan.routes.iter().position(|r| r.first_unmet_entry(facts, &plan.addresses).is_none());
            prop_assert_eq!(routing.route(&query), expected_route, "{:?}", facts);
            match routing.decide(&query) {
                RouteDecision::Rejected { route } => prop_assert!(plan.routes[route].reject_reason.is_some()),
                RouteDecision::StatementTooLong { .. } => prop_assert!(false, "no generated plan limits the length of statements"),
                RouteDecision::Admitted { route, class, endpoint_subset } => {
                    prop_assert_eq!(route, expected_route);
                    let expected_class = expected_route.and_then(|r| plan.routes[r].as_class.clone());
                    prop_assert_eq!(&routing.names().classes[class], &expected_class.unwrap_or(facts.class.to_string()));
                    let levels = members.priority_levels(&routing, endpoint_subset);
                    for (n, engine) in current.iter().enumerate() {
                        let expected = engine.as_ref().map(|e| plan.priority_levels(facts, e));
                        for (index, level) in levels.iter().enumerate() {
                            prop_assert_eq!(level.contains(n), expected.as_ref().is_some_and(|expected| expected[index]));
                        }
                    }
                }
            }
        }
    }
}
