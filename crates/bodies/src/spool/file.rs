//! Where the slots of a spool are stored: behind a trait, and on a disk a file that is unlinked as soon as it is open.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// The end of a spool file's name while it has one, between its creation and its unlinking.
const FILE_SUFFIX: &str = ".garnetwall-spool";

/// Where the slots of a spool are stored.
pub trait RandomAccessFile: Send + Sync {
    /// Writes all of `bytes` at `offset`. It blocks.
    ///
    /// # Errors
    ///
    /// Not all bytes could be written.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;

    /// Fills `buffer` from `offset` on. It blocks.
    ///
    /// # Errors
    ///
    /// Not all bytes could be read; [`io::ErrorKind::UnexpectedEof`] where they are beyond the end.
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<()>;
}

/// An open spool file that has no name any more, so that it vanishes with its process.
#[derive(Debug)]
pub struct SpoolFile(pub(super) File);

impl SpoolFile {
    /// Creates a spool file in `directory` and unlinks it, after removing what a killed process of this gateway left
    /// there.
    ///
    /// # Errors
    ///
    /// The directory can't be read, or the file not created or unlinked; the text names the path.
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

/// Removes spool files that a process of this gateway left when it was killed between creating and unlinking them, and
/// no others. Returns how many were removed.
///
/// # Errors
///
/// The directory can't be read, or a file not be removed.
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

/// A name that no other process uses: gateway, process id, and nanoseconds since 1970.
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

/// Whether [`file_name`] makes such a name for this gateway.
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

fn with_path(path: &Path, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}
