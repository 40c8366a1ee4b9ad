//! Collects the output of the SWIM protocol: timers, messages to send, and events.

use super::event::MembershipEvent;
use super::peer::Peer;
use foca::{Notification, Runtime, Timer};
use std::collections::BTreeMap;
use std::time::Duration;

/// The key of a timer, which orders timers by due time. The number keeps timers that are due at the same time in the
/// order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due: Duration,
    number: u64,
}

/// A SWIM message to be sent to a peer.
pub(super) struct OutgoingMessage {
    pub(super) to: Peer,
    pub(super) bytes: Vec<u8>,
}

/// The output of the protocol that the membership has not processed yet.
pub(super) struct ProtocolOutput {
    now: Duration,
    last_timer_number: u64,
    timers: BTreeMap<TimerKey, Timer<Peer>>,
    outgoing: Vec<OutgoingMessage>,
    events: Vec<MembershipEvent>,
    rejoined: bool,
}

impl ProtocolOutput {
    /// Returns an output without timers, messages and events.
    pub(super) fn new(now: Duration) -> ProtocolOutput {
        ProtocolOutput {
            now,
            last_timer_number: 0,
            timers: BTreeMap::new(),
            outgoing: Vec::new(),
            events: Vec::new(),
            rejoined: false,
        }
    }

    /// Sets the current time: the delays of new timers are counted from it.
    pub(super) fn set_now(&mut self, now: Duration) {
        self.now = now;
    }

    /// Returns the time at which the next timer is due, or `None` if no timer is set.
    pub(super) fn next_timer_at(&self) -> Option<Duration> {
        self.timers.keys().next().map(|key| key.due)
    }

    /// Removes and returns the earliest timer, or returns `None` if none is due.
    pub(super) fn pop_due_timer(&mut self) -> Option<Timer<Peer>> {
        let entry = self.timers.first_entry()?;
        (entry.key().due <= self.now).then(|| entry.remove())
    }

    /// Returns and removes the messages to be sent.
    pub(super) fn take_outgoing(&mut self) -> Vec<OutgoingMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns and removes the events.
    pub(super) fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns true if this gateway has rejoined the group as a new incarnation since the last call.
    pub(super) fn take_rejoined(&mut self) -> bool {
        std::mem::take(&mut self.rejoined)
    }
}

impl Runtime<Peer> for ProtocolOutput {
    fn notify(&mut self, notification: Notification<'_, Peer>) {
        match notification {
            Notification::MemberUp(peer) => self.events.push(MembershipEvent::Up(*peer)),
            Notification::MemberDown(peer) => self.events.push(MembershipEvent::Down(*peer)),
            Notification::Rejoin(_) => {
                self.events.push(MembershipEvent::Rejoined);
                self.rejoined = true;
            }
            Notification::Idle => self.events.push(MembershipEvent::Alone),
            Notification::Rename(..) | Notification::Active | Notification::Defunct => {}
        }
    }

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        let bytes = data.to_vec();
        self.outgoing.push(OutgoingMessage { to, bytes });
    }

    fn submit_after(&mut self, timer: Timer<Peer>, after: Duration) {
        self.last_timer_number += 1;
        let key = TimerKey {
            due: self.now + after,
            number: self.last_timer_number,
        };
        self.timers.insert(key, timer);
    }
}
