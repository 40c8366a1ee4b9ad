//! Temporary folder for the files of one run.

use std::path::PathBuf;

/// Folder for the gateways' configurations and logs. Dropping this deletes the folder unless `keep` is set.
pub struct ScratchFolder {
    pub path: PathBuf,
    /// Set after a gateway failed, so that its log can be read.
    pub keep: bool,
}

impl ScratchFolder {
    /// Creates the folder in the system's folder for temporary files.
    ///
    /// # Errors
    /// The system's folder for temporary files can't be written.
    pub fn new() -> std::io::Result<ScratchFolder> {
        let path = std::env::temp_dir().join(format!("garnetwall-beside-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(ScratchFolder { path, keep: false })
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
