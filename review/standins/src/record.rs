//! The record of a run: what was sent, answered and run, with the milliseconds since the start of the run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file that the variable `RECORD` names.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds from the start of the run to `at`.
    pub fn at(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started).as_millis()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.at(Instant::now()));
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the case with 2: it could not run.
pub fn cannot_run(cause: &str) -> ! {
    eprintln!("the case could not run: {cause}");
    std::process::exit(2);
}
