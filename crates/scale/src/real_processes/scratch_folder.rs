//! A folder for the files of one run.

use std::path::PathBuf;

/// A folder for configurations and logs of gateways, deleted after the run unless a gateway failed.
pub struct ScratchFolder {
    pub path: PathBuf,
    pub keep: bool,
}

impl ScratchFolder {
    /// # Errors
    /// Where the system's folder for temporary files can't be written.
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
