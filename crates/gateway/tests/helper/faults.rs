//! Machine faults, injected into one gateway process by a library that interposes C library calls
//! (`tests/faults/interpose.c`). A fault is enabled while a file of its name exists in the process's fault directory.

use super::new_id;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Environment variable with the faults that every gateway of a test program starts with, as in `short=2,eintr=20`.
const DEFAULT_FAULTS_VARIABLE: &str = "GATEWAY_TEST_FAULTS";

/// Returns the path of the library. The first call in a test program builds it.
fn library() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/faults/interpose.c");
        let built = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("interpose-{}.so", std::process::id()));
        let mut compiler = Command::new("cc");
        compiler
            .args(["-O1", "-shared", "-fPIC", "-o"])
            .arg(&built)
            .arg(&source)
            .arg("-ldl");
        assert!(
            compiler.status().expect("a C compiler named cc").success(),
            "{} does not compile",
            source.display()
        );
        built
    })
}

/// The fault directory of one or several gateways.
#[derive(Clone, Debug)]
pub struct Faults(PathBuf);

impl Faults {
    /// Creates an empty fault directory.
    pub fn new() -> Faults {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
            "faults-{}-{}",
            std::process::id(),
            new_id()
        ));
        std::fs::create_dir_all(&folder).unwrap();
        Faults(folder)
    }

    /// Returns the faults that `GATEWAY_TEST_FAULTS` asks for, or `None` where it is not set.
    pub fn from_environment() -> Option<Faults> {
        let named = std::env::var(DEFAULT_FAULTS_VARIABLE).ok()?;
        let faults = Faults::new();
        for (name, parameters) in named.split(',').filter_map(|fault| fault.split_once('=')) {
            faults.enable(name, &parameters.replace(':', " "));
        }
        Some(faults)
    }

    /// Injects the faults into the process that this command starts.
    pub fn apply_to(&self, command: &mut Command) {
        command
            .env("LD_PRELOAD", library())
            .env("GATEWAY_FAULTS", &self.0);
    }

    /// Enables a fault; `parameters` are the numbers that `interpose.c` describes for it.
    pub fn enable(&self, name: &str, parameters: &str) {
        // The file is renamed into place, so that the process never reads it half written.
        let temporary = self.0.join(format!("{name}.new"));
        std::fs::write(&temporary, parameters).unwrap();
        std::fs::rename(temporary, self.0.join(name)).unwrap();
    }

    /// Disables a fault that is enabled.
    pub fn disable(&self, name: &str) {
        std::fs::remove_file(self.0.join(name)).unwrap();
    }
}
