//! Faults of the machine, put into one gateway process by a library that stands before the C library's calls
//! (`tests/faults/interpose.c`). A fault is on while a file of its name stands in the process's folder of faults.

use super::new_id;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Names faults that all gateways of a test program have from their start, as in `short=2,eintr=20`.
const ALWAYS: &str = "GATEWAY_TEST_FAULTS";

/// The library, built once a test program.
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
            compiler.status().expect("a C compiler").success(),
            "{} does not compile",
            source.display()
        );
        built
    })
}

/// The faults of one gateway, or of several.
#[derive(Clone, Debug)]
pub struct Faults(PathBuf);

impl Faults {
    pub fn none() -> Faults {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
            "faults-{}-{}",
            std::process::id(),
            new_id()
        ));
        std::fs::create_dir_all(&folder).unwrap();
        Faults(folder)
    }

    /// Those that the environment names for all gateways, if it names any.
    pub fn always() -> Option<Faults> {
        let named = std::env::var(ALWAYS).ok()?;
        let faults = Faults::none();
        for (name, figures) in named.split(',').filter_map(|fault| fault.split_once('=')) {
            faults.on(name, &figures.replace(':', " "));
        }
        Some(faults)
    }

    /// Has a process started by this command meet them.
    pub fn strike(&self, command: &mut Command) {
        command
            .env("LD_PRELOAD", library())
            .env("GATEWAY_FAULTS", &self.0);
    }

    /// Switches a fault on, with its figures.
    pub fn on(&self, name: &str, figures: &str) {
        // Never read half written.
        let beside = self.0.join(format!("{name}.new"));
        std::fs::write(&beside, figures).unwrap();
        std::fs::rename(beside, self.0.join(name)).unwrap();
    }

    pub fn off(&self, name: &str) {
        std::fs::remove_file(self.0.join(name)).unwrap();
    }
}
