//! The settings that a gateway is told, with the figures of the site file `maribor-east.toml` (first size: 6 to 8
//! engines), but for what a case changes.

/// What a case may change.
pub struct Site {
    /// The classes, as JSON objects without the outer brackets.
    pub classes: String,
    /// Threads and data loads by class.
    pub threads: &'static str,
    pub loads: &'static str,
    pub max_attempts: u32,
}

pub fn lookup(give_up_ms: u32) -> String {
    format!(
        r#"{{"name":"lookup","semantics":"retryable","give-up":{give_up_ms},"goal-time":1000,"aim-stretch":1.5,"worth":1,"late-share":0,"stream":false}}"#
    )
}

/// Bound to the kind `engine-8`.
pub fn trend_report() -> String {
    r#"{"name":"trend-report","semantics":"retryable","give-up":15000,"goal-time":3000,"aim-stretch":2.5,"worth":6,"late-share":0.3,"stream":false,"allowed-on":["engine-8"]}"#.into()
}

/// In order for each key; `semantics` is JSON: the effect and, for repeats, the group and the window.
pub fn sale_load(semantics: &str) -> String {
    format!(
        r#"{{"name":"sale-load",{semantics},"give-up":20000,"goal-time":4000,"aim-stretch":3,"worth":5,"late-share":0.6,"stream":false,"one-at-a-time":true}}"#
    )
}

impl Site {
    pub fn json(&self) -> String {
        let Site {
            classes,
            threads,
            loads,
            max_attempts,
        } = self;
        format!(
            r#"{{"kind-of-service":"queries","kinds":["engine-8","engine-16"],"zones":["tezno"],"zone":0,"index":0,"balancers":1,"stages":["valuation-engines"],"tier":0,
"tenants":[{{"name":"drava-agro","portion":0.37,"quota-per-s":20}},{{"name":"pohorje-stroji","portion":0.34,"quota-per-s":20}},{{"name":"mura-drazbe","portion":0.29,"quota-per-s":20}}],
"registry-mode":"pushed","telemetry":{{"how":"on_probe","fields":["depth","load_share"]}},
"allowed":{{"cancelling":true,"may-probe":true,"peers":false,"may-duplicate":false,"retry-after":true,"max-retry-after":1000,"max-attempts":{max_attempts},"dial-timeout":250,"idle-close":30000,"open-cap":20000}},
"domain":{{"kind-cores":[8,16],"kind-memory-mb":[16384,32768],"parallelism":{threads},"loads":{loads},"waits-for-loads":[false,false,false],"grants-count":false,"lanes-count":false,"progress":0,"tells-cost":true,"on-shortage":"shrink"}},
"rules":{{"answer-slack":20,"drain-grace":2000,"fall-multiple":3,"fall":2000,"cold-from":0.35,"warm-after":14000,"order-pause":500}},
"categories":[{classes}]}}"#
        )
    }
}
