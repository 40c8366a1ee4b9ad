//! The terms of all leases of a fleet, checked once.

use std::time::Duration;

/// More grantors only make each claim cost more: with nine, four may fail.
pub const MOST_GRANTORS: usize = 9;
/// A lease is asked for anew so many times in its term, so that two asks may be lost.
const ASKS: u32 = 4;

/// What of a fleet's settings can't be used. Each says what to do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("{0} grantors are named: name an odd number from 1 to 9, since an even one bears no more failures than one less")]
    Grantors(usize),
    #[error("grantor {0} is named twice: give each grantor a gateway of its own, or two could be one vote counted double")]
    Twice(usize),
    #[error(
        "a lease of {length:?} is too short for a drift of {drift} parts in a million and {trip:?} on the way: \
         its holder would be left {term:?}; take a longer lease or a smaller drift"
    )]
    Short {
        length: Duration,
        drift: u32,
        trip: Duration,
        term: Duration,
    },
    #[error("a drift of {0} parts in a million is half a clock or more: measure the machines' clocks, usual is under 500")]
    Drift(u32),
}

/// How long leases last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Terms {
    length: Duration,
    term: Duration,
    grantors: usize,
}

impl Terms {
    /// `length`: for how long a grantor gives a lease, by its own clock. `drift`: by how many parts in a million a clock may run
    /// fast or slow, the same bound for all. `trip`: how long a message there and back takes at the most in good times.
    ///
    /// # Errors
    ///
    /// Each says which setting is at fault and what to do.
    pub fn new(
        length: Duration,
        drift: u32,
        trip: Duration,
        grantors: &[u64],
    ) -> Result<Terms, Fault> {
        if grantors.len().is_multiple_of(2) || grantors.len() > MOST_GRANTORS {
            return Err(Fault::Grantors(grantors.len()));
        }
        let twice = |n: &usize| grantors[..*n].contains(&grantors[*n]);
        if let Some(n) = (0..grantors.len()).find(twice) {
            return Err(Fault::Twice(n));
        }
        if drift >= 500_000 {
            return Err(Fault::Drift(drift));
        }
        // A slow clock's term ends no later than a fast clock's length, for (1 - d) / (1 + d) is never under 1 - 2d.
        let early = length.mul_f64(2.0 * f64::from(drift) / 1e6) + Duration::from_nanos(1);
        let term = length.saturating_sub(early);
        if term < trip * ASKS {
            return Err(Fault::Short {
                length,
                drift,
                trip,
                term,
            });
        }
        Ok(Terms {
            length,
            term,
            grantors: grantors.len(),
        })
    }

    /// Terms as they are wanted, right or wrong: for tests that show what a wrong one breaks.
    pub fn unchecked(length: Duration, term: Duration, grantors: usize) -> Terms {
        Terms {
            length,
            term,
            grantors,
        }
    }

    /// For how long a grantor gives a lease, by its clock.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// For how long the holder takes itself to have it, by its clock, from when it asked.
    pub fn term(&self) -> Duration {
        self.term
    }

    /// How long a holder waits between two asks.
    pub fn pause(&self) -> Duration {
        self.term / ASKS
    }

    pub fn grantors(&self) -> usize {
        self.grantors
    }

    /// So many grantors are a majority.
    pub fn majority(&self) -> usize {
        self.grantors / 2 + 1
    }
}
