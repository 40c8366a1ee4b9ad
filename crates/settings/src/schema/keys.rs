//! Lists the known keys of the settings, with the types and ranges of their values.

use super::{Range, Schema};

/// Upper bound of all numbers, so that their sums and products stay finite.
const MAX_NUMBER: f64 = 1e12;
/// Upper bound of timeouts: one day, the longest time for which timers are set.
const MAX_TIMEOUT_MS: f64 = 86_400_000.0;

const DURATION: Schema = Schema::Number(Range {
    min: 0.0,
    excludes_min: false,
    max: MAX_NUMBER,
    unit: " milliseconds",
});
const TIMEOUT: Schema = Schema::Number(Range {
    min: 0.0,
    excludes_min: true,
    max: MAX_TIMEOUT_MS,
    unit: " milliseconds",
});
const AMOUNT: Schema = Schema::Number(Range {
    min: 0.0,
    excludes_min: false,
    max: MAX_NUMBER,
    unit: "",
});
const COUNT: Schema = Schema::Number(Range {
    min: 1.0,
    excludes_min: false,
    max: MAX_NUMBER,
    unit: "",
});

/// The schema of all settings that are checked. The documentation of the package lists the settings that are used.
pub(crate) const SETTINGS_SCHEMA: Schema = Schema::Object(&[
    (
        "allowed",
        Schema::Object(&[
            ("cancelling", Schema::Flag),
            ("dial-timeout", TIMEOUT),
            ("idle-close", DURATION),
            ("max-attempts", COUNT),
            ("max-retry-after", DURATION),
            ("may-probe", Schema::Flag),
            ("open-cap", COUNT),
            ("retry-after", Schema::Flag),
        ]),
    ),
    ("balancers", COUNT),
    (
        "categories",
        Schema::ListOfObjects(&[
            ("aim-stretch", AMOUNT),
            ("allowed-on", Schema::List(&Schema::Index)),
            ("dedup-window", DURATION),
            ("give-up", TIMEOUT),
            ("goal-time", DURATION),
            ("key-scope", Schema::Text),
            ("late-share", AMOUNT),
            ("name", Schema::Text),
            ("one-at-a-time", Schema::Flag),
            ("semantics", Schema::Text),
            ("worth", AMOUNT),
            ("zones-only", Schema::List(&Schema::Index)),
        ]),
    ),
    (
        "domain",
        Schema::Object(&[
            ("grants-count", Schema::Flag),
            ("kind-cores", Schema::List(&AMOUNT)),
            ("kind-memory-mb", Schema::List(&AMOUNT)),
            ("largest-share", AMOUNT),
            ("loads", Schema::List(&Schema::Flag)),
            ("parallelism", Schema::List(&AMOUNT)),
            ("progress", DURATION),
            ("waits-for-loads", Schema::List(&Schema::Flag)),
        ]),
    ),
    ("kinds", Schema::List(&Schema::Text)),
    ("registry-mode", Schema::Text),
    (
        "rules",
        Schema::Object(&[
            ("cold-from", AMOUNT),
            ("extra-floor", AMOUNT),
            ("extra-per-request", AMOUNT),
            ("extra-window", DURATION),
            ("fall", DURATION),
            ("fall-multiple", AMOUNT),
            ("order-pause", DURATION),
            ("warm-after", DURATION),
        ]),
    ),
    (
        "telemetry",
        Schema::Object(&[
            ("fields", Schema::List(&Schema::Text)),
            ("how", Schema::Text),
        ]),
    ),
    (
        "tenants",
        Schema::ListOfObjects(&[
            ("name", Schema::Text),
            // `portion` and `quota-per-s` are checked but not used: the shares and limits of tenants come from the
            // `tenant` blocks of a plan.
            ("portion", AMOUNT),
            ("quota-per-s", AMOUNT),
        ]),
    ),
    ("zones", Schema::List(&Schema::Text)),
]);
