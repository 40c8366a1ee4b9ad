//! The send times of a lease holder's most recent requests. Replies to older requests are ignored.

use std::time::Duration;

/// The number of rounds of requests whose replies are accepted. Four rounds are due within the duration of a lease, and
/// `want` and `release` start further ones. If more rounds than this start within one round-trip time, replies are
/// ignored and leases may expire.
const RECENT_REQUESTS: usize = 6;

/// A round of requests that were sent at the same time, one or more to each issuer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct RequestRound {
    /// The number of the round, from 1; 0 if this entry is unused.
    number: u32,
    sent_at: Duration,
}

/// The last [`RECENT_REQUESTS`] rounds of requests, in a ring buffer indexed by number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct RecentRequests {
    sent: [RequestRound; RECENT_REQUESTS],
    last_number: u32,
}

impl RecentRequests {
    /// Records a round of requests that is sent at `sent_at`, in place of the oldest one, and returns its number.
    pub(super) fn record(&mut self, sent_at: Duration) -> u32 {
        self.last_number += 1;
        let number = self.last_number;
        self.sent[slot(number)] = RequestRound { number, sent_at };
        number
    }

    /// Returns the time at which the requests with this number were sent, or `None` if they are not among the recent
    /// ones.
    pub(super) fn sent_at(&self, number: u32) -> Option<Duration> {
        let request = self.sent[slot(number)];
        (number != 0 && request.number == number).then_some(request.sent_at)
    }
}

fn slot(number: u32) -> usize {
    number as usize % RECENT_REQUESTS
}
