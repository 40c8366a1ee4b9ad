//! Names of the roles in experiment files and results.

use serde::{Deserialize, Serialize};

/// A part of the program that can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoleName {
    /// The decision module, fed with queries in simulated time.
    Module,
    /// The endpoint list, as the gateway decodes it and passes it to the module.
    List,
    /// The catalog and the choice of a subset.
    Subset,
    /// Membership, with all members in one process and simulated time.
    Membership,
    /// The ledger of open attempts.
    Ledger,
    /// Reading and checking of a configuration file.
    Configuration,
    /// A lease issuer.
    Leases,
}

impl RoleName {
    /// Name of the role in tables and results.
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
