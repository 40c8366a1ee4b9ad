//! Stores the bytes of the journal in a file, which is appended to and from time to time replaced as a whole.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Storage for the bytes of one journal. All methods block, and are called from one thread at a time.
pub trait JournalStorage: Send {
    /// Returns all stored bytes; empty if there is no journal yet.
    ///
    /// # Errors
    ///
    /// The stored bytes cannot be read.
    fn read(&mut self) -> io::Result<Vec<u8>>;

    /// Appends bytes at the end. They are durable only after [`sync`](JournalStorage::sync).
    ///
    /// # Errors
    ///
    /// The write failed; part of the bytes may be stored.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Waits until all appended bytes are durable.
    ///
    /// # Errors
    ///
    /// The sync failed; bytes appended since the last sync may be lost.
    fn sync(&mut self) -> io::Result<()>;

    /// Replaces all stored bytes, and waits until the replacement is durable.
    ///
    /// # Errors
    ///
    /// The replacement failed; the storage holds either all the old bytes or all the new ones.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// Journal in a file. A replacement is written to a new file beside it and then renamed over it.
#[derive(Debug)]
pub struct FileStorage {
    path: PathBuf,
    /// The file that this process wrote with [`JournalStorage::replace`]; `None` before the first
    /// replacement and after a failed one.
    file: Option<File>,
}

impl FileStorage {
    /// Creates a storage for the journal at `path`, where a journal may already exist. Does not access the disk.
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
            // A missing file means that no journal was written yet. A missing directory is an error.
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
        // Always create a new file: after a failed sync the content of an earlier replacement file is unknown.
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
        // The rename is durable only after the directory is synced.
        File::open(self.directory())?.sync_all()?;
        self.file = Some(file);
        Ok(())
    }
}
