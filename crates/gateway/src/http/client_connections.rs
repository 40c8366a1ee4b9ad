//! Clients' connections: which ask, which are silent or idle, and who gives way when room is short.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{watch, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;

/// Protocol: a call is on its way when its connection comes up; one this old that has said nothing is silent.
const ON_ITS_WAY: Duration = Duration::from_millis(100);

/// What a connection is at, in the order in which connections give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Doing {
    /// Has had its last answer; what its client still sends is not read as a call.
    Leaving,
    /// Has not brought a whole head since it came.
    Silent,
    /// Has had answers and asks for nothing now.
    Idle,
    /// Has just come; neither this nor the next gives way.
    New,
    /// Brings a call, or waits for its answer.
    Asking,
}

struct Entry {
    doing: Doing,
    since: Instant,
    leave: Arc<Notify>,
    told_to_leave: Option<Instant>,
}

impl Entry {
    /// What it is at by now: a new one that goes on saying nothing is silent.
    fn doing(&self) -> Doing {
        match self.doing {
            Doing::New if self.since.elapsed() > ON_ITS_WAY => Doing::Silent,
            doing => doing,
        }
    }
}

/// All connections of clients, as many as the budget has seats.
pub struct ClientConnections {
    seats: Arc<Semaphore>,
    open: Mutex<HashMap<u64, Entry>>,
    count: watch::Sender<usize>,
    /// A connection has come to where it may give way.
    may_leave: Notify,
}

impl ClientConnections {
    pub fn new(seats: Arc<Semaphore>) -> Arc<ClientConnections> {
        let (open, count) = (Mutex::default(), watch::Sender::new(0));
        Arc::new(ClientConnections {
            seats,
            open,
            count,
            may_leave: Notify::new(),
        })
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Entry>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A seat for one that has come, when need be that of one that asks for nothing.
    pub async fn acquire(self: &Arc<Self>, number: u64) -> ClientConnection {
        let seat = loop {
            if let Ok(seat) = self.seats.clone().try_acquire_owned() {
                break Some(seat);
            }
            self.make_room();
            tokio::select! {
                biased;
                seat = self.seats.clone().acquire_owned() => break seat.ok(),
                () = self.may_leave.notified() => {}
                // By then one that has just come is silent, or asks.
                () = sleep(ON_ITS_WAY) => {}
            }
        };
        let leave = Arc::new(Notify::new());
        let entry = Entry {
            doing: Doing::New,
            since: Instant::now(),
            leave: leave.clone(),
            told_to_leave: None,
        };
        self.open().insert(number, entry);
        self.count.send_modify(|n| *n += 1);
        ClientConnection {
            guests: self.clone(),
            number,
            leave,
            _seat: seat,
        }
    }

    /// Sends away the one that can best be spared, unless one is on its way out.
    fn make_room(&self) {
        let mut open = self.open();
        if open
            .values()
            .any(|e| e.told_to_leave.is_some_and(|at| at.elapsed() < ON_ITS_WAY))
        {
            return;
        }
        let spare = open
            .values_mut()
            .filter(|e| e.doing() < Doing::New && e.told_to_leave.is_none());
        if let Some(entry) = spare.min_by_key(|e| (e.doing(), e.since)) {
            entry.told_to_leave = Some(Instant::now());
            entry.leave.notify_one();
        }
    }

    /// Until the last has gone.
    pub async fn all_closed(&self) {
        // It fails only with the sender gone, which these guests hold.
        let _ = self.count.subscribe().wait_for(|n| *n == 0).await;
    }
}

/// One connection's seat, free again when this is dropped.
pub struct ClientConnection {
    guests: Arc<ClientConnections>,
    number: u64,
    /// Told when the connection is to give way.
    pub leave: Arc<Notify>,
    _seat: Option<OwnedSemaphorePermit>,
}

impl ClientConnection {
    fn now(&self, doing: Doing) {
        if let Some(entry) = self.guests.open().get_mut(&self.number) {
            (entry.doing, entry.since) = (doing, Instant::now());
        }
        if doing != Doing::Asking {
            self.guests.may_leave.notify_one();
        }
    }

    pub fn request_started(&self) {
        self.now(Doing::Asking);
        self.keep_open();
    }

    /// It does not give way now, though it was told to; another does.
    pub fn keep_open(&self) {
        if let Some(entry) = self.guests.open().get_mut(&self.number) {
            entry.told_to_leave = None;
        }
        self.guests.may_leave.notify_one();
    }

    pub fn became_idle(&self) {
        self.now(Doing::Idle);
    }

    pub fn client_closed(&self) {
        self.now(Doing::Leaving);
    }

    /// Whether a call of it is open.
    pub fn has_request(&self) -> bool {
        self.guests
            .open()
            .get(&self.number)
            .is_some_and(|e| e.doing == Doing::Asking)
    }

    /// Whether it has brought no call since it came.
    pub fn sent_nothing(&self) -> bool {
        self.guests
            .open()
            .get(&self.number)
            .is_some_and(|e| e.doing == Doing::New)
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.guests.open().remove(&self.number);
        self.guests.count.send_modify(|n| *n -= 1);
        self.guests.may_leave.notify_one();
    }
}

#[cfg(test)]
mod tests;
