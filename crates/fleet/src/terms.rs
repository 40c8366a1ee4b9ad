//! The durations of leases, checked against clock drift and round-trip time.

use std::time::Duration;

/// Grantors of a fleet; of nine, four may fail.
pub const MAX_GRANTORS: usize = 9;
/// Renewals within the term of a lease, so that two may be lost.
const REQUESTS_PER_TERM: u32 = 4;

/// Why the settings of a fleet cannot be used, and what to do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TermsError {
    /// The number of grantors is even or above [`MAX_GRANTORS`].
    #[error("{0} grantors are named: name an odd number from 1 to 9, since an even one bears no more failures than one less")]
    Grantors(usize),
    /// A grantor, by index, is named twice.
    #[error("grantor {0} is named twice: give each grantor a gateway of its own, or two could be one vote counted double")]
    Twice(usize),
    /// The lease leaves its holder too little time to renew it.
    #[error(
        "a lease of {length:?} is too short for a drift of {drift} parts in a million and {round_trip:?} on the way: \
         its holder would be left {term:?}; take a longer lease or a smaller drift"
    )]
    Short {
        /// The duration by the grantor's clock.
        length: Duration,
        /// The clock drift, in parts in a million.
        drift: u32,
        /// The round-trip time.
        round_trip: Duration,
        /// The duration that is left to the holder.
        term: Duration,
    },
    /// The clock drift, in parts in a million, is half a clock or more.
    #[error("a drift of {0} parts in a million is half a clock or more: measure the machines' clocks, usual is under 500")]
    Drift(u32),
}

/// How long leases last for grantors and holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Terms {
    length: Duration,
    term: Duration,
    grantors: usize,
}

impl Terms {
    /// `length` is the duration of a lease by the grantor's clock. `drift` bounds how fast or slow any clock may run, in
    /// parts in a million. `round_trip` bounds the round-trip time of a message while the network is healthy.
    ///
    /// # Errors
    ///
    /// Names the setting that cannot be used, and what to do.
    pub fn new(
        length: Duration,
        drift: u32,
        round_trip: Duration,
        grantors: &[u64],
    ) -> Result<Terms, TermsError> {
        if grantors.len().is_multiple_of(2) || grantors.len() > MAX_GRANTORS {
            return Err(TermsError::Grantors(grantors.len()));
        }
        let twice = |n: &usize| grantors[..*n].contains(&grantors[*n]);
        if let Some(n) = (0..grantors.len()).find(twice) {
            return Err(TermsError::Twice(n));
        }
        if drift >= 500_000 {
            return Err(TermsError::Drift(drift));
        }
        // A slow clock's term ends no later than a fast clock's length, for (1 - d) / (1 + d) is never under 1 - 2d.
        let early = length.mul_f64(2.0 * f64::from(drift) / 1e6) + Duration::from_nanos(1);
        let term = length.saturating_sub(early);
        if term < round_trip * REQUESTS_PER_TERM {
            return Err(TermsError::Short {
                length,
                drift,
                round_trip,
                term,
            });
        }
        Ok(Terms {
            length,
            term,
            grantors: grantors.len(),
        })
    }

    /// Terms without checks, for tests that show what wrong ones break.
    pub fn unchecked(length: Duration, term: Duration, grantors: usize) -> Terms {
        Terms {
            length,
            term,
            grantors,
        }
    }

    /// The duration of a lease by the grantor's clock.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// The duration of a lease by the holder's clock, from when it sent its request.
    pub fn term(&self) -> Duration {
        self.term
    }

    /// The time between two requests of a holder.
    pub fn request_interval(&self) -> Duration {
        self.term / REQUESTS_PER_TERM
    }

    /// How many grantors there are.
    pub fn grantors(&self) -> usize {
        self.grantors
    }

    /// How many grantors are a majority.
    pub fn majority(&self) -> usize {
        self.grantors / 2 + 1
    }
}
