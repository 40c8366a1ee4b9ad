//! What every case needs: its record, a temporary folder, and whether the disruption is played.

use crate::record::Record;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// What a case found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

pub struct Case {
    pub record: Record,
    /// The command `run` of the deploy file.
    pub run: String,
    /// Whether the disruption is played.
    pub trouble: bool,
    /// A temporary folder, which is removed at the end.
    pub scratch: PathBuf,
}

impl Case {
    pub fn new(folder: &str, run: &str) -> Result<Case, String> {
        let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        let record = Record::create(&Path::new(folder).join("record.txt"))
            .map_err(|error| error.to_string())?;
        let scratch = std::env::temp_dir().join(format!("standins-2-{}", std::process::id()));
        std::fs::create_dir_all(&scratch).map_err(|error| error.to_string())?;
        record.line(format!("disruption played: {trouble}"));
        Ok(Case {
            record,
            run: run.to_string(),
            trouble,
            scratch,
        })
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.scratch);
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}

pub fn loopback() -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 0))
}
