//! Writes the results of a run as JSON lines, and the same rows as CSV to a second file.

use serde::Serialize;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A results file that could not be created or written.
#[derive(Debug, Error)]
#[error("{file}: cannot write results: {cause}; name a file in a writable directory", file = file.display())]
pub struct ResultsError {
    file: PathBuf,
    cause: io::Error,
}

/// Writes rows to a JSON and a CSV file, or discards them if no file was named.
pub struct Results {
    files: Option<Files>,
}

struct Files {
    path: PathBuf,
    json: BufWriter<File>,
    csv: csv::Writer<File>,
}

impl Results {
    /// Creates `path` for JSON lines, and a file of the same name with the extension `.csv`.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the files cannot be created.
    pub fn create(path: Option<&Path>) -> Result<Self, ResultsError> {
        let Some(path) = path else {
            return Ok(Results { files: None });
        };
        let csv_path = path.with_extension("csv");
        let json = BufWriter::new(create(path)?);
        let csv = csv::Writer::from_writer(create(&csv_path)?);
        Ok(Results {
            files: Some(Files {
                path: path.into(),
                json,
                csv,
            }),
        })
    }

    /// Writes a row, and flushes both files. The fields of a row must be scalars, because CSV has no nested values.
    ///
    /// # Errors
    ///
    /// Returns an error if the row cannot be serialized or written.
    pub fn add(&mut self, row: &impl Serialize) -> Result<(), ResultsError> {
        let Some(files) = self.files.as_mut() else {
            return Ok(());
        };
        files.write(row).map_err(|cause| ResultsError {
            file: files.path.clone(),
            cause,
        })
    }
}

impl Files {
    fn write(&mut self, row: &impl Serialize) -> io::Result<()> {
        serde_json::to_writer(&mut self.json, row)?;
        self.json.write_all(b"\n")?;
        self.json.flush()?;
        self.csv.serialize(row).map_err(io::Error::other)?;
        self.csv.flush()
    }
}

fn create(path: &Path) -> Result<File, ResultsError> {
    File::create(path).map_err(|cause| ResultsError {
        file: path.into(),
        cause,
    })
}
