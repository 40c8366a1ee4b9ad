//! The requests of a lease holder whose replies are accepted.

use std::time::Duration;

/// Rounds of requests whose replies are accepted. Four are due in a lease; `want` and `release` start further ones. Where more than
/// this many start within one round trip, replies are dropped and leases may lapse.
const RECENT_REQUESTS: usize = 6;

/// A round of requests, one or more to each issuer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct SentRequest {
    /// 0 where no request was sent.
    number: u32,
    sent_at: Duration,
}

/// The last rounds of requests, by number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct RecentRequests {
    sent: [SentRequest; RECENT_REQUESTS],
    last_number: u32,
}

impl RecentRequests {
    /// Numbers a round of requests that is sent now; it replaces the oldest one.
    pub(super) fn record(&mut self, sent_at: Duration) -> u32 {
        self.last_number += 1;
        let number = self.last_number;
        self.sent[slot(number)] = SentRequest { number, sent_at };
        number
    }

    /// When the request with this number was sent; `None` where it is not among the recent ones.
    pub(super) fn sent_at(&self, number: u32) -> Option<Duration> {
        let request = self.sent[slot(number)];
        (number != 0 && request.number == number).then_some(request.sent_at)
    }
}

fn slot(number: u32) -> usize {
    number as usize % RECENT_REQUESTS
}
