//! The parts of the program that can be measured, a file or folder for each, and what they share.

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

/// The role of this name.
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
