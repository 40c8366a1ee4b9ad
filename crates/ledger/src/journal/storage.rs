//! Where the journal is stored: a file that is replaced as a whole.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Stores the bytes of a journal.
pub trait JournalStorage: Send {
    /// All that is stored; nothing where there is no journal yet.
    ///
    /// # Errors
    ///
    /// It can't be read.
    fn read(&mut self) -> io::Result<Vec<u8>>;

    /// Adds bytes at the end.
    ///
    /// # Errors
    ///
    /// They may be stored in part.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Waits until all that was appended lasts.
    ///
    /// # Errors
    ///
    /// What was appended may be lost.
    fn sync(&mut self) -> io::Result<()>;

    /// Replaces all that is stored, and waits until it lasts.
    ///
    /// # Errors
    ///
    /// All is stored as it was before, or as it was to be.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A journal in a file. A replacement is written beside it and renamed.
#[derive(Debug)]
pub struct FileStorage {
    path: PathBuf,
    /// The file that this process has put there.
    file: Option<File>,
}

impl FileStorage {
    /// A journal at a path, where there may be one already.
    pub fn new(path: &Path) -> FileStorage {
        FileStorage {
            path: path.to_path_buf(),
            file: None,
        }
    }

    fn directory(&self) -> &Path {
        let parent = self.path.parent();
        parent
            .filter(|path| !path.as_os_str().is_empty())
            .unwrap_or(Path::new("."))
    }
}

impl JournalStorage for FileStorage {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        match File::open(&self.path) {
            Ok(mut file) => {
                file.read_to_end(&mut bytes)?;
            }
            // No journal was written yet, if its directory is there.
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                std::fs::metadata(self.directory())?;
            }
            Err(error) => return Err(error),
        }
        Ok(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let file = self.file.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        file.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        let file = self.file.as_ref().ok_or(io::ErrorKind::NotConnected)?;
        file.sync_data()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file = None;
        let replacement = self.path.with_extension("new");
        // Always a new file: what a failed sync left of an earlier one is unknown.
        match std::fs::remove_file(&replacement) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let mut file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&replacement)?;
        file.write_all(bytes)?;
        file.sync_data()?;
        std::fs::rename(&replacement, &self.path)?;
        // The new name lasts once its directory does.
        File::open(self.directory())?.sync_all()?;
        self.file = Some(file);
        Ok(())
    }
}
