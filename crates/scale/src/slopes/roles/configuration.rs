//! Role `configuration`: reads and checks a configuration file, as a gateway does at start and on reload.

use super::pool::{kind_name, log_event, whole_list, zone_name, KIND_CORES, ZONES};
use super::stopwatch::{memory_growth, timed};
use crate::slopes::measurement::{Measured, Point};
use crate::slopes::metric::Metric;
use crate::slopes::role::{Role, RoleError};
use garnetwall_gateway::configuration::{self, Files};
use serde_json::json;
use std::path::PathBuf;

/// Measures the reading and checking of a configuration with a list of engines.
pub struct Configuration;

impl Role for Configuration {
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError> {
        let text = configuration(point.quantities.engines);
        let bytes = text.len() as f64;
        let file = TemporaryFile::write(&text)?;
        drop(text);
        let files = || Files {
            config: Some(file.path.display().to_string()),
            plan: None,
        };
        let (resident, (read, config)) =
            memory_growth(|| timed(|| configuration::read(files(), |_| None)))?;
        config.map_err(|error| RoleError::Data(error.to_string()))?;
        Ok(vec![
            Measured::new(Metric::Read, read),
            Measured::new(Metric::Resident, resident),
            Measured::new(Metric::ListBytes, bytes),
        ])
    }
}

/// Renders a gateway's configuration with `engines` engines under `known`.
fn configuration(engines: u64) -> String {
    let nothing = log_event(2, false, std::iter::empty());
    let known = format!(
        "{{\"seq\":2,\"results\":[{},{nothing}]}}",
        whole_list(engines)
    );
    let zones: Vec<String> = (0..ZONES).map(zone_name).collect();
    let kinds: Vec<String> = (0..KIND_CORES.len()).map(kind_name).collect();
    let settings = json!({
        "kinds": kinds, "zones": zones, "tenants": [{"name": "tenant"}],
        "allowed": {"max-attempts": 3, "cancelling": true},
        "domain": {"kind-cores": KIND_CORES, "parallelism": [1]},
        "categories": [
            {"name": "query", "semantics": "retryable", "give-up": 5000, "goal-time": 1000, "worth": 1}
        ],
    });
    format!(
        "{{\"name\":\"gateway-0\",\"listen\":\"127.0.0.1:8080\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"sockets\":1024,\"memory_mb\":64}},\"changelog\":\"127.0.0.1:4222\",\
         \"known\":{known},\"settings\":{settings}}}"
    )
}

/// A file that is deleted when this is dropped.
struct TemporaryFile {
    path: PathBuf,
}

impl TemporaryFile {
    fn write(text: &str) -> std::io::Result<Self> {
        let name = format!("garnetwall-scale-{}.json", std::process::id());
        let file = TemporaryFile {
            path: std::env::temp_dir().join(name),
        };
        std::fs::write(&file.path, text)?;
        Ok(file)
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        // The file may have been deleted already.
        let _ = std::fs::remove_file(&self.path);
    }
}
