//! Tests the validation of settings and the computation of the effective size.

mod world;

use garnetwall_subset::{
    Catalog, PlacementClass, SizeReason, Subset, SubsetError, SubsetSettings, UpdateScope,
    MAX_CLASSES, MAX_NEAR_WEIGHT,
};
use world::{listed_engines, settings};

fn validation_error(settings: SubsetSettings) -> Option<SubsetError> {
    Subset::new("g", settings).err()
}

/// Returns the setting that the error names, or `None` if the text lacks a cause or a remedy.
fn named_setting(settings: SubsetSettings) -> Option<String> {
    let text = validation_error(settings)?.to_string();
    let (place, rest) = text.split_once(": ")?;
    let (cause, remedy) = rest.split_once("; ")?;
    (!cause.is_empty() && !remedy.is_empty()).then(|| place.to_string())
}

#[test]
fn errors_name_the_setting_the_cause_and_the_remedy() {
    let good = settings(8);
    assert_eq!(validation_error(good.clone()), None);
    assert_eq!(
        named_setting(SubsetSettings {
            size: 0,
            ..good.clone()
        })
        .as_deref(),
        Some("subset.size")
    );
    assert_eq!(
        named_setting(SubsetSettings {
            class_floor: 9,
            ..good.clone()
        })
        .as_deref(),
        Some("subset.class_floor")
    );
    let classes = vec![PlacementClass::default(); MAX_CLASSES + 1];
    assert_eq!(
        named_setting(SubsetSettings {
            classes,
            ..good.clone()
        })
        .as_deref(),
        Some("subset.classes")
    );
    for joins_per_second in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let faulty = SubsetSettings {
            joins_per_second,
            ..good.clone()
        };
        assert_eq!(
            named_setting(faulty).as_deref(),
            Some("subset.joins_per_second")
        );
    }
    for near_weight in [0.0, 0.99, MAX_NEAR_WEIGHT * 2.0, f64::NAN, f64::INFINITY] {
        let faulty = SubsetSettings {
            near_weight,
            ..good.clone()
        };
        assert_eq!(named_setting(faulty).as_deref(), Some("subset.near_weight"));
    }
    for gateways in [0.0, 0.5, -3.0, f64::NAN, f64::INFINITY] {
        let faulty = SubsetSettings {
            gateways,
            ..good.clone()
        };
        assert_eq!(named_setting(faulty).as_deref(), Some("subset.gateways"));
    }
    let unnamed = Subset::new("", good).err().expect("a gateway needs a name");
    assert_eq!(unnamed, SubsetError::UnnamedGateway);
    assert!(
        unnamed.to_string().starts_with("gateway name: ") && unnamed.to_string().contains("; ")
    );
}

#[test]
fn extreme_settings_are_valid() {
    let widest = SubsetSettings {
        size: usize::MAX,
        class_floor: usize::MAX,
        reserve: usize::MAX,
        joins_per_second: f64::MIN_POSITIVE / 4.0,
        gateways: f64::MAX,
        classes: vec![PlacementClass::default()],
        ..settings(1)
    };
    let mut catalog = Catalog::default();
    let mut subset = Subset::new("g", widest).expect("the settings are valid");
    let changes = catalog.apply(&listed_engines(50, 5), UpdateScope::FullList);
    subset.changed(1.0, &catalog, &changes);
    assert_eq!(subset.poll(1.0, &catalog).len(), 50);
    assert!(subset.wake().is_none_or(f64::is_finite));
}

#[test]
fn effective_size_depends_on_settings_gateways_and_list() {
    let size = |size: usize, gateways: f64, engines: u32| {
        let mut catalog = Catalog::default();
        catalog.apply(&listed_engines(engines, 5), UpdateScope::FullList);
        let subset = Subset::new(
            "g",
            SubsetSettings {
                gateways,
                ..settings(size)
            },
        )
        .expect("good settings");
        let effective = subset.effective_size(&catalog);
        (effective.size, effective.reason)
    };
    assert_eq!(size(80, 4_400.0, 6_500), (80, SizeReason::Configured));
    assert_eq!(size(20, 4_400.0, 6_500), (36, SizeReason::MinHolders));
    assert_eq!(size(80, 4_400.0, 80), (80, SizeReason::WholeList));
    assert_eq!(size(8, 10.0, 40), (40, SizeReason::WholeList));
}

#[test]
fn unserved_classes_are_reported() {
    let unserved = PlacementClass {
        zones: Some(vec![7]),
        kinds: None,
    };
    let served = PlacementClass {
        zones: Some(vec![1]),
        kinds: None,
    };
    let classes = vec![served, unserved.clone()];
    let subset = Subset::new(
        "g",
        SubsetSettings {
            class_floor: 2,
            classes,
            ..settings(8)
        },
    )
    .expect("good settings");
    let mut catalog = Catalog::default();
    catalog.apply(&listed_engines(40, 5), UpdateScope::FullList);
    assert_eq!(
        subset.unserved_classes(&catalog).collect::<Vec<_>>(),
        [&unserved]
    );
}
