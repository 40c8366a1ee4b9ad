//! Defines the file interface of a spool, and implements it with a disk file that is unlinked as soon as it is open.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Suffix of the name that a spool file has between its creation and its unlinking.
const FILE_SUFFIX: &str = ".garnetwall-spool";

/// File with random access that holds the slots of a spool.
pub trait RandomAccessFile: Send + Sync {
    /// Writes all of `bytes` at `offset`. Blocks the calling thread.
    ///
    /// # Errors
    ///
    /// The write failed; part of the bytes may have been written.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;

    /// Fills `buffer` with the bytes from `offset` on. Blocks the calling thread.
    ///
    /// # Errors
    ///
    /// The buffer could not be filled; [`io::ErrorKind::UnexpectedEof`] if the file ends before the
    /// buffer is full.
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<()>;
}

/// Open spool file that is already unlinked, so that the system removes it when the process ends.
#[derive(Debug)]
pub struct SpoolFile(pub(super) File);

impl SpoolFile {
    /// Creates a spool file in `directory` and unlinks it. Before that, removes spool files that a killed process of
    /// this gateway left there.
    ///
    /// # Errors
    ///
    /// The directory cannot be read, a leftover file cannot be removed, or the new file cannot be created or unlinked.
    /// The error text contains the path.
    pub fn create(directory: &Path, gateway: &str) -> io::Result<SpoolFile> {
        remove_leftover_files(directory, gateway).map_err(|error| with_path(directory, &error))?;
        let path = directory.join(file_name(gateway));
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .open(&path)
            .map_err(|error| with_path(&path, &error))?;
        std::fs::remove_file(&path).map_err(|error| with_path(&path, &error))?;
        Ok(SpoolFile(file))
    }
}

impl RandomAccessFile for SpoolFile {
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        self.0.write_all_at(bytes, offset)
    }

    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<()> {
        self.0.read_exact_at(buffer, offset)
    }
}

/// Removes the spool files that killed processes of this gateway left in `directory`. A file is left over if the
/// process was killed between creating and unlinking it. Returns the number of removed files.
///
/// # Errors
///
/// The directory cannot be read, or a file cannot be removed.
pub fn remove_leftover_files(directory: &Path, gateway: &str) -> io::Result<usize> {
    let mut removed = 0;
    for entry in std::fs::read_dir(directory)? {
        let path = entry?.path();
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or_default();
        if is_spool_file_of(gateway, name) {
            std::fs::remove_file(&path)?;
            removed += 1;
        }
    }
    Ok(removed)
}

/// Returns a file name that no other process uses, made of the gateway's name, the process id and the nanoseconds since
/// 1970.
fn file_name(gateway: &str) -> String {
    let nanoseconds = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos();
    format!(
        "{gateway}-{}-{nanoseconds}{FILE_SUFFIX}",
        std::process::id()
    )
}

/// Returns whether `name` is of the form that [`file_name`] returns for this gateway.
fn is_spool_file_of(gateway: &str, name: &str) -> bool {
    let numbers = name
        .strip_prefix(gateway)
        .and_then(|rest| rest.strip_prefix('-'))
        .and_then(|rest| rest.strip_suffix(FILE_SUFFIX));
    let Some((process_id, nanoseconds)) = numbers.and_then(|numbers| numbers.split_once('-'))
    else {
        return false;
    };
    is_number(process_id) && is_number(nanoseconds)
}

fn is_number(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Adds the path to the text of an error, and keeps its kind.
fn with_path(path: &Path, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}
