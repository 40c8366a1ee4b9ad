//! The role of a lease grantor: members renew what they have.

use super::measurement::{Measured, Metric, Point, Role, RoleError};
use super::stopwatch::{growth, repeated};
use garnetwall_fleet::{Claim, Epoch, Grantor, LeaseRequest, Member, Resource, Terms};
use std::time::Duration;

/// A lease of two seconds, asked for each quarter of it.
const LEASE: Duration = Duration::from_secs(2);
const TERM: Duration = Duration::from_millis(1990);
const ASKS_A_TERM: u64 = 4;
const GRANTORS: usize = 3;
/// Things that the grantor may keep.
const MOST_THINGS: usize = 100_000;

pub struct Leases;

impl Role for Leases {
    fn measure(&self, point: &Point) -> Result<Vec<Measured>, RoleError> {
        let members = point.quantities.members;
        let terms = Terms::unchecked(LEASE, TERM, GRANTORS);
        let mut grantor =
            Grantor::start(Duration::ZERO, 0, 1, &terms, members as usize, MOST_THINGS);
        let begin = LEASE * 2;
        let (resident, refused) = growth(|| {
            let first = |member: u64| {
                grantor
                    .handle_request(begin, &ask(member, 1, true))
                    .is_err()
            };
            (0..members).map(first).filter(|refused| *refused).count()
        })?;
        if refused > 0 {
            return Err(RoleError::Data(format!(
                "{refused} of {members} members were refused a lease"
            )));
        }
        // Renewals of all members in turn, evenly over a quarter of the term.
        let step = TERM.as_nanos() as u64 / ASKS_A_TERM / members;
        let renewal = repeated(|repeat| {
            let now = begin + Duration::from_nanos(step * repeat);
            grantor.handle_request(
                now,
                &ask(repeat % members, 2 + (repeat / members) as u32, false),
            )
        });
        Ok(vec![
            Measured {
                metric: Metric::Renewal,
                value: renewal,
            },
            Measured {
                metric: Metric::Resident,
                value: resident,
            },
        ])
    }
}

/// What a member asks: that its stay goes on, and at first one thing.
fn ask(member: u64, number: u32, claims: bool) -> LeaseRequest {
    /// After any that the grantor's start rules out.
    const FIRST_EPOCH: Epoch = Epoch(1 << 40);
    let claim = Claim {
        resource: Resource(member),
        epoch: FIRST_EPOCH,
    };
    let from = Member {
        gateway: member,
        incarnation: 1,
    };
    LeaseRequest {
        from,
        number,
        claims: if claims { vec![claim] } else { Vec::new() },
        releases: Vec::new(),
    }
}
