//! Compares compiled routing with the plan's own evaluation, over random plans.

#[path = "../../plan/tests/generate/mod.rs"]
mod generate;

use garnetwall_plan::model::EngineFacts;
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
        gone in vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let plan = Arc::new(plan_of(&blocks).plan);
        let routing = Routing::new(plan.clone(), names());
        // Engines are added in random order, then some are removed.
        let all = engines();
        let mut here: Vec<Option<EngineFacts>> = Vec::new();
        let mut members = PoolMembers::new(&routing);
        for pick in listed {
            let facts = all[pick.index(all.len())];
            members.update(&routing, here.len(), Some(&facts));
            here.push(Some(facts));
        }
        for pick in gone {
            let engine = pick.index(here.len());
            members.update(&routing, engine, None);
            here[engine] = None;
        }
        let at = |names: &[String], name: &str| names.iter().position(|n| n == name).expect("a name of the settings");
        for facts in queries().iter().step_by(7) {
            let query = RoutedQuery {
                class: at(&routing.names().classes, facts.class),
                tenant: at(&routing.names().tenants, facts.tenant),
                client: facts.client,
                has_key: facts.has_key,
                data_set: facts.data_set,
                minute: facts.minute_of_day,
                statement_bytes: 1,
            };
            let plain = plan.routes.iter().position(|r| r.first_unmet_entry(facts, &plan.addresses).is_none());
            prop_assert_eq!(routing.route(&query), plain, "{:?}", facts);
            match routing.decide(&query) {
                RouteDecision::Rejected { route } => prop_assert!(plan.routes[route].reject_reason.is_some()),
                RouteDecision::StatementTooLong { .. } => prop_assert!(false, "no generated plan limits the length of statements"),
                RouteDecision::Admitted { route, class, endpoint_subset } => {
                    prop_assert_eq!(route, plain);
                    let treated = plain.and_then(|r| plan.routes[r].as_class.clone());
                    prop_assert_eq!(&routing.names().classes[class], &treated.unwrap_or(facts.class.to_string()));
                    let levels = members.priority_levels(&routing, endpoint_subset);
                    for (n, engine) in here.iter().enumerate() {
                        let wanted = engine.as_ref().map(|e| plan.priority_levels(facts, e));
                        for (index, level) in levels.iter().enumerate() {
                            prop_assert_eq!(level.contains(n), wanted.as_ref().is_some_and(|wanted| wanted[index]));
                        }
                    }
                }
            }
        }
    }
}
