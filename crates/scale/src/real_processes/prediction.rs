//! Predicts figures of the real gateways with hollow ones: passes the same list and settings directly through
//! `garnetwall-subset` and the decision module.

use super::endpoint_list::EndpointList;
use super::experiment::Experiment;
use super::figure::Figure;
use super::gateways;
use super::hollow_gateway::{self, Load};
use super::observations::Recorder;
use garnetwall_settings::{decode, FlatSettings};
use garnetwall_subset::{
    Action, Catalog, ConnectOutcome, EngineFacts, ListedEngine, ListedState, PlacementClass,
    RetryScope, Subset, SubsetError, SubsetSettings, UpdateScope,
};

/// Defaults of the gateways' `subset` block.
const CLASS_FLOOR: usize = 4;
const RESERVE_PART: usize = 4;
const JOINS_PER_SECOND: f64 = 1.0;
const NEAR_WEIGHT: f64 = 1.0;
/// Cores of a stub engine.
const CORES: f64 = 8.0;
/// Simulated time for a subset to fill, and the time step of that simulation.
const FILL_SECONDS: f64 = 60.0;
const STEP_SECONDS: f64 = 0.25;

type Figures = Result<Vec<Figure>, Box<dyn std::error::Error>>;

/// Returns the figures of hollow gateways, and the ratios of the real gateways' figures in `real` to them.
pub fn figures(experiment: &Experiment, real: &[Figure], recorder: &Recorder) -> Figures {
    let mut figures = member_figures(experiment, recorder)?;
    let of = |name: &str| figures.iter().find(|f| f.name == name).map(|f| f.value);
    let engines = of("predicted_members").map_or(experiment.engines, |members| members as usize);
    let holders = of("predicted_members").map(|members| {
        let gateways = experiment.assumed_gateways.unwrap_or(experiment.gateways) as f64;
        (gateways * members / experiment.engines as f64).max(1.0)
    });
    let settings = decode(&FlatSettings::from_json(&gateways::settings(experiment))?)?.settings;
    let keyed = experiment.keys as f64 * super::clients::QUERIES_PER_SECOND_OF_A_KEY;
    let load = Load {
        queries_per_second: (experiment.queries_per_second + keyed) / experiment.gateways as f64,
        work_seconds: (experiment.work_ms[0] + experiment.work_ms[1]) as f64 / 2000.0,
        seed: experiment.seed,
    };
    let whole_list = experiment.subset_size.map(|_| listed_engines(experiment));
    let members = hollow_gateway::endpoints(engines, experiment.zones, holders);
    let cost = hollow_gateway::measure_cost(&settings, &members, whole_list.as_deref(), load)?;
    let run = |name: &str, value: f64| Figure::new("run", 0.0, name, value);
    figures.push(run("hollow_queries_per_second", load.queries_per_second));
    figures.push(run("hollow_processor_share", cost.processor_share));
    figures.push(run("hollow_resident_bytes", cost.resident_bytes));
    for figure in real.iter().filter(|figure| figure.subject == "gateway") {
        let predicted = match figure.name.as_str() {
            "processor_share" if cost.processor_share > 0.0 => cost.processor_share,
            "resident_bytes" if cost.resident_bytes > 0.0 => cost.resident_bytes,
            _ => continue,
        };
        let name = format!("{}_over_hollow", figure.name);
        figures.push(Figure::new(
            "gateway",
            figure.position,
            &name,
            figure.value / predicted,
        ));
    }
    Ok(figures)
}

/// For each gateway: the number of engines that a hollow gateway of the same name holds, the number of engines that the
/// real one connected to, and their ratio. Empty if the experiment has no subset.
fn member_figures(
    experiment: &Experiment,
    recorder: &Recorder,
) -> Result<Vec<Figure>, SubsetError> {
    let Some(size) = experiment.subset_size else {
        return Ok(Vec::new());
    };
    let mut figures = Vec::new();
    for gateway in 0..experiment.gateways {
        let members = predicted_members(experiment, gateway, size)? as f64;
        let connected_engines = recorder
            .observations()
            .connected_engines
            .get(&gateway)
            .map_or(0, |engines| engines.len()) as f64;
        figures.push(Figure::new(
            "gateway",
            gateway as f64,
            "predicted_members",
            members,
        ));
        figures.push(Figure::new(
            "gateway",
            gateway as f64,
            "engines_met",
            connected_engines,
        ));
        figures.push(Figure::new(
            "gateway",
            gateway as f64,
            "met_over_predicted",
            connected_engines / members,
        ));
    }
    Ok(figures)
}

/// Returns the number of engines that one hollow gateway holds once its subset has filled.
fn predicted_members(
    experiment: &Experiment,
    gateway: usize,
    size: usize,
) -> Result<usize, SubsetError> {
    let settings = SubsetSettings {
        size,
        class_floor: CLASS_FLOOR,
        reserve: size / RESERVE_PART,
        joins_per_second: JOINS_PER_SECOND,
        zone: None,
        near_weight: NEAR_WEIGHT,
        gateways: experiment.assumed_gateways.unwrap_or(experiment.gateways) as f64,
        classes: vec![PlacementClass::default()],
        retry_scope: RetryScope::Everywhere,
    };
    let mut subset = Subset::new(&format!("g{gateway}"), settings)?;
    let mut catalog = Catalog::default();
    let changes = catalog.apply(&listed_engines(experiment), UpdateScope::FullList);
    subset.changed(0.0, &catalog, &changes);
    let mut now = 0.0;
    while now < FILL_SECONDS {
        for action in subset.poll(now, &catalog) {
            if let Action::Connect(engine) = action {
                subset.connect_ended(now, engine, ConnectOutcome::Reached);
            }
        }
        now += STEP_SECONDS;
    }
    Ok(subset.members().count())
}

fn listed_engines(experiment: &Experiment) -> Vec<ListedEngine> {
    let endpoint_list = EndpointList::new(experiment.engines, experiment.zones);
    let facts = |slot: usize| EngineFacts {
        zone: endpoint_list.zone(slot) as u32,
        kind: 0,
        cell: endpoint_list.cell(slot) as u32,
        cores: CORES,
        state: ListedState::Ready,
    };
    let listed_engine = |slot| ListedEngine {
        engine_id: endpoint_list.engine(slot).to_string(),
        facts: facts(slot),
    };
    (0..experiment.engines).map(listed_engine).collect()
}
