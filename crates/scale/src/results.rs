//! Results: flat rows as JSON lines, and the same rows beside them as CSV.

use serde::Serialize;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Results that could not be written.
#[derive(Debug, Error)]
#[error("{file}: results: {cause}; name a file in a directory that can be written", file = file.display())]
pub struct ResultsError {
    file: PathBuf,
    cause: io::Error,
}

/// Writes rows to two files, or to none where none was named.
pub struct Results {
    files: Option<Files>,
}

struct Files {
    path: PathBuf,
    json: BufWriter<File>,
    table: csv::Writer<File>,
}

impl Results {
    /// Opens `path` for JSON lines, and a file of the same name that ends in `.csv`.
    ///
    /// # Errors
    ///
    /// Where one of them can't be written.
    pub fn create(path: Option<&Path>) -> Result<Self, ResultsError> {
        let Some(path) = path else {
            return Ok(Results { files: None });
        };
        let table_path = path.with_extension("csv");
        let json = BufWriter::new(create(path)?);
        let table = csv::Writer::from_writer(create(&table_path)?);
        Ok(Results {
            files: Some(Files {
                path: path.into(),
                json,
                table,
            }),
        })
    }

    /// Adds a row, whose fields are plain values.
    ///
    /// # Errors
    ///
    /// Where it can't be written.
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
        self.table.serialize(row).map_err(io::Error::other)?;
        self.table.flush()
    }
}

fn create(path: &Path) -> Result<File, ResultsError> {
    File::create(path).map_err(|cause| ResultsError {
        file: path.into(),
        cause,
    })
}
