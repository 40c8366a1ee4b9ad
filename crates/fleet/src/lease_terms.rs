//! The durations of leases by the clocks of issuers and holders, checked against clock drift and round-trip time.

use std::time::Duration;

/// The largest number of lease issuers of a fleet. Nine issuers tolerate the failure of four.
pub const MAX_ISSUERS: usize = 9;
/// The number of renewal requests that a holder sends within the duration of a lease, so that two of them may be lost.
const REQUESTS_PER_LEASE: u32 = 4;

/// The lowest clock drift that is rejected, in parts per million: 50 %.
const DRIFT_LIMIT_PPM: u32 = 500_000;
const PARTS_PER_MILLION: f64 = 1e6;

/// The error for lease settings that cannot be used. The message says what to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseTermsError {
    /// The number of issuers is even or above [`MAX_ISSUERS`].
    #[error("{0} lease issuers are configured: configure an odd number from 1 to 9, since an even number tolerates no more failures than the odd number below it")]
    IssuerCount(usize),
    /// The issuer at this index, from 0, is also listed at a lower index.
    #[error("lease issuer at index {0} is configured twice: give each issuer a gateway of its own, or one gateway would count as two votes")]
    DuplicateIssuer(usize),
    /// The holder's part of the lease is shorter than the round trips of its renewals.
    #[error(
        "lease of {issuer_duration:?} is too short for a clock drift of {drift_ppm} ppm and a round-trip time of {round_trip:?}: \
         its holder could use it for only {holder_duration:?}; take a longer lease or a smaller drift"
    )]
    LeaseTooShort {
        /// The duration of a lease by the issuer's clock.
        issuer_duration: Duration,
        /// The bound on clock drift, in parts per million.
        drift_ppm: u32,
        /// The bound on the round-trip time of a message.
        round_trip: Duration,
        /// The duration of a lease by the holder's clock, which is the issuer's less the drift of both clocks.
        holder_duration: Duration,
    },
    /// The bound on clock drift, in parts per million, is 50 % or more.
    #[error("clock drift of {0} ppm is 50 % or more: measure the drift of the machines' clocks, which is usually below 500 ppm")]
    DriftTooLarge(u32),
}

/// The durations of a lease by the clocks of issuers and holders, and the number of issuers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseTerms {
    issuer_duration: Duration,
    holder_duration: Duration,
    issuer_count: usize,
}

impl LeaseTerms {
    /// Returns the terms for a fleet with these issuers; each number identifies a gateway.
    ///
    /// `issuer_duration` is the duration of a lease by the issuer's clock. `drift_ppm` bounds by how much any clock may
    /// run too fast or too slow, in parts per million. `round_trip` bounds the round-trip time of a message while the
    /// network is healthy.
    ///
    /// # Errors
    ///
    /// The number of issuers is even or too large, an issuer is listed twice, the drift is too large, or the lease is
    /// too short for the drift and the round-trip time.
    pub fn new(
        issuer_duration: Duration,
        drift_ppm: u32,
        round_trip: Duration,
        issuers: &[u64],
    ) -> Result<LeaseTerms, LeaseTermsError> {
        if issuers.len().is_multiple_of(2) || issuers.len() > MAX_ISSUERS {
            return Err(LeaseTermsError::IssuerCount(issuers.len()));
        }
        let is_duplicate = |index: &usize| issuers[..*index].contains(&issuers[*index]);
        if let Some(index) = (0..issuers.len()).find(is_duplicate) {
            return Err(LeaseTermsError::DuplicateIssuer(index));
        }
        if drift_ppm >= DRIFT_LIMIT_PPM {
            return Err(LeaseTermsError::DriftTooLarge(drift_ppm));
        }
        // A lease must end at the holder with the slowest clock no later than at the issuer with the fastest one. With
        // a drift of d the holder's part may be (1 - d) / (1 + d) of the duration, which is never less than 1 - 2d.
        let drift_of_both = 2.0 * f64::from(drift_ppm) / PARTS_PER_MILLION;
        let margin = issuer_duration.mul_f64(drift_of_both) + Duration::from_nanos(1);
        let holder_duration = issuer_duration.saturating_sub(margin);
        if holder_duration < round_trip * REQUESTS_PER_LEASE {
            return Err(LeaseTermsError::LeaseTooShort {
                issuer_duration,
                drift_ppm,
                round_trip,
                holder_duration,
            });
        }
        Ok(LeaseTerms {
            issuer_duration,
            holder_duration,
            issuer_count: issuers.len(),
        })
    }

    /// Returns terms without any check, for measurements and for tests. The tests show that two gateways can hold the
    /// same resource if the holder's duration leaves no margin for drift.
    pub fn unchecked(
        issuer_duration: Duration,
        holder_duration: Duration,
        issuer_count: usize,
    ) -> LeaseTerms {
        LeaseTerms {
            issuer_duration,
            holder_duration,
            issuer_count,
        }
    }

    /// Returns the duration of a lease by the issuer's clock, from the receipt of the request.
    pub fn issuer_duration(&self) -> Duration {
        self.issuer_duration
    }

    /// Returns the duration of a lease by the holder's clock, from the time at which it sent the request.
    pub fn holder_duration(&self) -> Duration {
        self.holder_duration
    }

    /// Returns the time between two renewal requests of a holder: a quarter of the holder's duration.
    pub fn request_interval(&self) -> Duration {
        self.holder_duration / REQUESTS_PER_LEASE
    }

    /// Returns the number of issuers of the fleet.
    pub fn issuer_count(&self) -> usize {
        self.issuer_count
    }

    /// Returns the number of issuers that form a majority.
    pub fn majority(&self) -> usize {
        self.issuer_count / 2 + 1
    }
}
