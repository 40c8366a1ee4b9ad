//! Decodes the settings text of an instance into the module's plain values.

use garnetwall::api::{ColdRule, Effect, FurtherBudget, Reports, Scope, ServiceGroup, Settings};
use std::collections::BTreeMap;

/// The settings and the names of the report's values, in wire order.
pub struct Decoded {
    pub settings: Settings,
    pub fields: Vec<String>,
}

struct Text<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Text<'a> {
    fn parse(text: &'a str) -> Result<Self, String> {
        let mut map = BTreeMap::new();
        for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
            let pair = line.split_once('=');
            let (path, value) = pair.ok_or_else(|| format!("settings line {}: no '='", n + 1))?;
            map.insert(path.trim(), value.trim());
        }
        Ok(Text(map))
    }

    fn word(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied().filter(|v| !v.is_empty())
    }

    fn number(&self, path: &str) -> Result<Option<f64>, String> {
        let Some(word) = self.word(path) else {
            return Ok(None);
        };
        match word.parse::<f64>() {
            Ok(v) if v.is_finite() => Ok(Some(v)),
            _ => Err(format!("settings {path}: '{word}' is not a number")),
        }
    }

    fn number_or(&self, path: &str, absent: f64) -> Result<f64, String> {
        Ok(self.number(path)?.unwrap_or(absent))
    }

    fn seconds(&self, path: &str) -> Result<Option<f64>, String> {
        Ok(self.number(path)?.map(|ms| ms / 1000.0))
    }

    fn seconds_or(&self, path: &str, absent: f64) -> Result<f64, String> {
        Ok(self.seconds(path)?.unwrap_or(absent))
    }

    fn flag(&self, path: &str) -> Result<bool, String> {
        match self.word(path) {
            None | Some("false") | Some("0") => Ok(false),
            Some("true") | Some("1") => Ok(true),
            Some(other) => Err(format!("settings {path}: '{other}' is neither true nor false")),
        }
    }

    fn list(&self, path: &str) -> Vec<&'a str> {
        self.word(path).map(|v| v.split(',').collect()).unwrap_or_default()
    }

    /// Positive numbers of a list; anything else in it stands as unknown.
    fn sizes(&self, path: &str) -> Vec<Option<f64>> {
        let size = |v: &str| v.parse::<f64>().ok().filter(|n| n.is_finite() && *n > 0.0);
        self.list(path).into_iter().map(size).collect()
    }

    fn indices(&self, path: &str) -> Result<Option<Vec<u32>>, String> {
        if !self.0.contains_key(path) {
            return Ok(None);
        }
        let one = |v: &str| v.parse().map_err(|_| format!("settings {path}: '{v}' is not an index"));
        self.list(path).into_iter().map(one).collect::<Result<_, _>>().map(Some)
    }

    /// How many items a list of objects says it has; more than it can hold in this text is malformed.
    fn count(&self, path: &str) -> Result<usize, String> {
        let said = self.number_or(&format!("{path}.count"), 0.0)?;
        if said < 0.0 || said.fract() != 0.0 || said > self.0.len() as f64 {
            return Err(format!("settings {path}.count: {said} is not a possible count"));
        }
        Ok(said as usize)
    }
}

pub fn decode(text: &str) -> Result<Decoded, String> {
    let t = Text::parse(text)?;
    let groups = (0..t.count("categories")?).map(|i| group(&t, i)).collect::<Result<Vec<_>, _>>()?;
    let tenants = t.count("tenants")?;
    let further = match t.seconds("rules.extra-window")? {
        None => None,
        Some(window) => Some(FurtherBudget {
            floor: t.number_or("rules.extra-floor", 0.0)?,
            per_batch: t.number_or("rules.extra-per-request", 0.0)?,
            window,
        }),
    };
    let cold = match (t.number("rules.fall-multiple")?, t.seconds("rules.fall")?) {
        (Some(multiple), Some(window)) => Some(ColdRule {
            starts_at: t.number_or("rules.cold-from", 0.0)?,
            warm_after: t.seconds_or("rules.warm-after", 0.0)?,
            multiple,
            window,
        }),
        _ => None,
    };
    let reports = match t.word("telemetry.how") {
        Some("inline") => Reports::WithAnswers,
        Some("on_probe") => Reports::WithProbes,
        _ => Reports::Never,
    };
    let settings = Settings {
        groups,
        tenants,
        gateways: t.number_or("balancers", 1.0)?.max(1.0),
        kind_cores: t.sizes("domain.kind-cores"),
        kind_memory: t.sizes("domain.kind-memory-mb"),
        largest_grant: t.number_or("domain.largest-share", 1.0)?,
        grants: t.flag("domain.grants-count")?,
        reports,
        may_probe: t.flag("allowed.may-probe")?,
        may_cancel: t.flag("allowed.cancelling")?,
        names_return: t.flag("allowed.retry-after")?,
        longest_return: t.seconds_or("allowed.max-retry-after", 0.0)?,
        max_dispatches: t.number_or("allowed.max-attempts", 1.0)?.max(1.0) as u32,
        list_on_request: t.word("registry-mode") == Some("on_request"),
        further,
        cold,
        notes_every: t.seconds_or("domain.progress", 0.0)?,
        key_rest: t.seconds_or("rules.order-pause", 0.0)?,
    };
    let fields = t.list("telemetry.fields").into_iter().map(String::from).collect();
    Ok(Decoded { settings, fields })
}

fn group(t: &Text, i: usize) -> Result<ServiceGroup, String> {
    let at = |key: &str| format!("categories.{i}.{key}");
    let scope = match t.word(&at("key-scope")) {
        Some("all") => Scope::Everywhere,
        Some("zone") => Scope::Zone,
        _ => Scope::Cell,
    };
    let effect = match t.word(&at("semantics")) {
        Some("retryable") => Effect::Repeatable,
        Some("dedup") => Effect::Referenced { scope, window: t.seconds_or(&at("dedup-window"), 0.0)? },
        Some("fragile") => Effect::OnceOnly,
        other => return Err(format!("settings {}: unknown kind {other:?}", at("semantics"))),
    };
    let nth = |path: &str| t.list(path).get(i).copied();
    let limit = t.seconds_or(&at("give-up"), 0.0)?;
    Ok(ServiceGroup {
        goal: t.seconds_or(&at("goal-time"), limit)?,
        goal_stretch: t.number_or(&at("aim-stretch"), 0.0)?,
        limit,
        utility: t.number_or(&at("worth"), 1.0)?,
        late_share: t.number_or(&at("late-share"), 0.0)?,
        effect,
        in_order: t.flag(&at("one-at-a-time"))?,
        zones: t.indices(&at("zones-only"))?,
        kinds: t.indices(&at("allowed-on"))?,
        threads: nth("domain.parallelism").and_then(|v| v.parse().ok()).filter(|v| *v >= 1.0).unwrap_or(1.0),
        is_load: nth("domain.loads") == Some("true"),
        waits_for_loads: nth("domain.waits-for-loads") == Some("true"),
    })
}
