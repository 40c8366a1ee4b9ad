//! Role `leases`: a lease issuer whose members renew their leases.

use super::stopwatch::{memory_growth, timed_repeatedly};
use crate::slopes::measurement::{Measured, Point};
use crate::slopes::metric::Metric;
use crate::slopes::role::{Role, RoleError};
use garnetwall_fleet::{
    Claim, Epoch, HolderId, IssuerLimits, LeaseIssuer, LeaseRequest, LeaseTerms, Resource,
};
use std::time::Duration;

/// Length of a lease at the issuer; the holders' term is slightly shorter and is renewed four times.
const LEASE_LENGTH: Duration = Duration::from_secs(2);
const TERM_LENGTH: Duration = Duration::from_millis(1990);
const RENEWALS_PER_TERM: u64 = 4;
const ISSUERS: usize = 3;
/// Number of leases that the issuer may store.
const MAX_LEASES: usize = 100_000;

/// Measures the lease issuer.
pub struct Leases;

impl Role for Leases {
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError> {
        let members = point.quantities.members;
        let terms = LeaseTerms::unchecked(LEASE_LENGTH, TERM_LENGTH, ISSUERS);
        let limits = IssuerLimits {
            max_holders: members as usize,
            max_resources: MAX_LEASES,
        };
        let mut issuer = LeaseIssuer::start(Duration::ZERO, 0, 1, &terms, limits);
        let begin = LEASE_LENGTH * 2;
        let (resident, refused) = memory_growth(|| {
            let first = |member: u64| {
                issuer
                    .handle_request(begin, &lease_request(member, 1, true))
                    .is_err()
            };
            (0..members).map(first).filter(|refused| *refused).count()
        })?;
        if refused > 0 {
            return Err(RoleError::Data(format!(
                "{refused} of {members} members were refused a lease"
            )));
        }
        // All members renew in turn, evenly spread over a quarter of the term.
        let step = TERM_LENGTH.as_nanos() as u64 / RENEWALS_PER_TERM / members;
        let renewal = timed_repeatedly(|repeat| {
            let now = begin + Duration::from_nanos(step * repeat);
            issuer.handle_request(
                now,
                &lease_request(repeat % members, 2 + (repeat / members) as u32, false),
            )
        });
        Ok(vec![
            Measured::new(Metric::Renewal, renewal),
            Measured::new(Metric::Resident, resident),
        ])
    }
}

/// Creates a member's request, which renews its membership and, with `claims`, claims one lease.
fn lease_request(member: u64, number: u32, claims: bool) -> LeaseRequest {
    /// Later than any epoch that the issuer rules out at its start.
    const FIRST_EPOCH: Epoch = Epoch(1 << 40);
    let claim = Claim {
        resource: Resource(member),
        epoch: FIRST_EPOCH,
    };
    let holder = HolderId {
        gateway: member,
        incarnation: 1,
    };
    LeaseRequest {
        holder,
        number,
        claims: if claims { vec![claim] } else { Vec::new() },
        releases: Vec::new(),
    }
}
