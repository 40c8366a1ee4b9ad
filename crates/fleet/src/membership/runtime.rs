//! What the SWIM protocol asks of its caller: timers, datagrams and events.

use super::event::MembershipEvent;
use super::peer::Peer;
use foca::{Notification, Runtime, Timer};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
pub(super) struct ProtocolOutput {
    pub(super) now: Duration,
    pub(super) last_timer_number: u64,
    pub(super) timers: BTreeMap<(Duration, u64), Timer<Peer>>,
    pub(super) outgoing: Vec<(Peer, Vec<u8>)>,
    pub(super) events: Vec<MembershipEvent>,
    /// This member became another incarnation, which has not published its facts yet.
    pub(super) was_renewed: bool,
}

impl Runtime<Peer> for ProtocolOutput {
    fn notify(&mut self, what: Notification<'_, Peer>) {
        match what {
            Notification::MemberUp(peer) => self.events.push(MembershipEvent::Up(*peer)),
            Notification::MemberDown(peer) => self.events.push(MembershipEvent::Down(*peer)),
            Notification::Rejoin(_) => {
                self.events.push(MembershipEvent::Rejoined);
                self.was_renewed = true;
            }
            Notification::Idle => self.events.push(MembershipEvent::Alone),
            Notification::Rename(..) | Notification::Active | Notification::Defunct => {}
        }
    }

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        self.outgoing.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Peer>, after: Duration) {
        self.last_timer_number += 1;
        self.timers
            .insert((self.now + after, self.last_timer_number), event);
    }
}
