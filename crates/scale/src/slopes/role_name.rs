//! The roles by their names in an experiment.

use serde::{Deserialize, Serialize};

/// The part of the program that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoleName {
    /// Decisions of the module, fed with queries in simulated time.
    Module,
    /// The endpoint list as the gateway decodes it and passes it to the module.
    List,
    /// The catalog and the choice of a subset.
    Subset,
    /// Membership, all members in one process in simulated time.
    Membership,
    /// The ledger of open attempts.
    Ledger,
    /// A configuration file that is read and checked.
    Configuration,
    /// A lease issuer.
    Leases,
}

impl RoleName {
    /// Its name in tables and results.
    pub fn label(self) -> &'static str {
        match self {
            RoleName::Module => "module",
            RoleName::List => "list",
            RoleName::Subset => "subset",
            RoleName::Membership => "membership",
            RoleName::Ledger => "ledger",
            RoleName::Configuration => "configuration",
            RoleName::Leases => "leases",
        }
    }
}
