//! The durations of leases, checked against clock drift and round-trip time.

use std::time::Duration;

/// Lease issuers of a fleet; of nine, four may fail.
pub const MAX_ISSUERS: usize = 9;
/// Renewals within the duration of a lease, so that two may be lost.
const REQUESTS_PER_LEASE: u32 = 4;

/// A drift of this or more, in parts in a million, is refused: half a clock.
const DRIFT_LIMIT_PPM: u32 = 500_000;
const PARTS_PER_MILLION: f64 = 1e6;

/// Why the settings of a fleet cannot be used, and what to do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseTermsError {
    /// The number of issuers is even or above [`MAX_ISSUERS`].
    #[error("{0} issuers are named: name an odd number from 1 to 9, since an even one bears no more failures than one less")]
    IssuerCount(usize),
    /// An issuer, by index, is named twice.
    #[error("issuer {0} is named twice: give each issuer a gateway of its own, or two could be one vote counted double")]
    DuplicateIssuer(usize),
    /// The lease leaves its holder too little time to renew it.
    #[error(
        "a lease of {issuer_duration:?} is too short for a drift of {drift_ppm} parts in a million and {round_trip:?} on the way: \
         its holder would be left {holder_duration:?}; take a longer lease or a smaller drift"
    )]
    LeaseTooShort {
        /// The duration by the issuer's clock.
        issuer_duration: Duration,
        /// The clock drift, in parts in a million.
        drift_ppm: u32,
        /// The round-trip time.
        round_trip: Duration,
        /// The duration that is left to the holder.
        holder_duration: Duration,
    },
    /// The clock drift, in parts in a million, is half a clock or more.
    #[error("a drift of {0} parts in a million is half a clock or more: measure the machines' clocks, usual is under 500")]
    DriftTooLarge(u32),
}

/// How long leases last for issuers and holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseTerms {
    issuer_duration: Duration,
    holder_duration: Duration,
    issuer_count: usize,
}

impl LeaseTerms {
    /// Terms for these gateways as issuers. `issuer_duration` is the duration of a lease by the issuer's clock. `drift_ppm`
    /// bounds how fast or slow any clock may run, in parts in a million. `round_trip` bounds the round-trip time of a message
    /// while the network is healthy.
    ///
    /// # Errors
    ///
    /// Names the setting that cannot be used, and what to do.
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
        // At the slowest holder a lease ends no later than at the fastest issuer: (1 - d) / (1 + d) is never under 1 - 2d.
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

    /// Terms without checks, for tests that show what wrong ones break.
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

    /// The duration of a lease by the issuer's clock.
    pub fn issuer_duration(&self) -> Duration {
        self.issuer_duration
    }

    /// The duration of a lease by the holder's clock, from when it sent its request.
    pub fn holder_duration(&self) -> Duration {
        self.holder_duration
    }

    /// The time between two requests of a holder.
    pub fn request_interval(&self) -> Duration {
        self.holder_duration / REQUESTS_PER_LEASE
    }

    /// How many issuers there are.
    pub fn issuer_count(&self) -> usize {
        self.issuer_count
    }

    /// How many issuers are a majority.
    pub fn majority(&self) -> usize {
        self.issuer_count / 2 + 1
    }
}
