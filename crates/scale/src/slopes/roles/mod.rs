//! The roles, one file or folder for each, and their shared parts.

mod configuration;
mod gateway_list;
mod leases;
mod ledger;
mod list;
mod membership;
mod module;
mod pool;
mod stopwatch;
mod subset;

use super::role::Role;
use super::role_name::RoleName;

/// Returns the role of a name.
pub fn role(name: RoleName) -> &'static dyn Role {
    match name {
        RoleName::Module => &module::Module,
        RoleName::List => &list::List,
        RoleName::Subset => &subset::SubsetChoice,
        RoleName::Membership => &membership::Membership,
        RoleName::Ledger => &ledger::OpenAttempts,
        RoleName::Configuration => &configuration::Configuration,
        RoleName::Leases => &leases::Leases,
    }
}
