//! The journal of once-only batches: records on a disk that lasts, written by a thread of its own. All that waits when a
//! write begins goes out with one sync (group commit).
//!
//! After a failed write or sync what the disk holds is not known, so nothing is promised until a whole new copy stands on it
//! under the journal's name: written beside it, synced, renamed, and its folder synced. That is tried again at a pace for as
//! long as it fails. Until the journal could be read for the first time what earlier processes sent is not known either.

use crate::records::{BootRun, JournalState, Record, SentQuery};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Records that go out with one sync at most.
const MOST: usize = 4096;
/// Between two tries to put a whole new copy on a disk that fails.
const RESTORE_PAUSE: Duration = Duration::from_millis(250);

/// Where the journal is kept.
pub trait JournalStorage: Send {
    /// All that is there.
    fn read(&mut self) -> io::Result<Vec<u8>>;
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self) -> io::Result<()>;
    /// Puts these bytes in the place of all that is there, all or nothing.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A file; a copy is written beside it and takes its place by its name.
#[derive(Debug)]
pub struct FileStorage {
    path: PathBuf,
    /// The copy that this process has put there.
    file: Option<File>,
}

impl FileStorage {
    /// A journal at a path, where there may be one already.
    pub fn new(path: &Path) -> FileStorage {
        FileStorage {
            path: path.to_path_buf(),
            file: None,
        }
    }

    fn folder(&self) -> &Path {
        self.path
            .parent()
            .filter(|p| !p.as_os_str().is_empty())
            .unwrap_or(Path::new("."))
    }
}

impl JournalStorage for FileStorage {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        match File::open(&self.path) {
            Ok(mut file) => file.read_to_end(&mut bytes).map(drop)?,
            // None was written yet, where its folder is there.
            Err(fault) if fault.kind() == io::ErrorKind::NotFound => {
                std::fs::metadata(self.folder())?;
            }
            Err(fault) => return Err(fault),
        }
        Ok(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file
            .as_mut()
            .ok_or(io::ErrorKind::NotConnected)?
            .write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file
            .as_ref()
            .ok_or(io::ErrorKind::NotConnected)?
            .sync_data()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file = None;
        let beside = self.path.with_extension("new");
        // A file of its own each time: what a failed sync left of the one before says nothing.
        match std::fs::remove_file(&beside) {
            Err(fault) if fault.kind() != io::ErrorKind::NotFound => return Err(fault),
            _ => {}
        }
        let mut file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&beside)?;
        file.write_all(bytes)?;
        file.sync_data()?;
        std::fs::rename(&beside, &self.path)?;
        // A name is on the disk once its folder is.
        File::open(self.folder())?.sync_all()?;
        self.file = Some(file);
        Ok(())
    }
}

/// Told once a record is on the disk, or can't be.
pub type WriteCallback = Box<dyn FnOnce(io::Result<()>) + Send>;

enum Order {
    Write(Record, Option<WriteCallback>),
    Stop,
}

/// Told what earlier processes sent, each with whether it is proved over, once the journal could be read.
pub type RecoveryCallback = Box<dyn FnOnce(Vec<(SentQuery, bool)>) + Send>;

/// The journal of a running gateway.
pub struct Journal {
    orders: Sender<Order>,
    thread: Option<JoinHandle<()>>,
}

impl Journal {
    /// Goes on with a log in a run of the machine, whose clock `now` gives in milliseconds. Whether it could be read and a whole
    /// new copy be put there at once; if not, that is tried again, and until it succeeds nothing is promised.
    pub fn start(
        log: impl JournalStorage + 'static,
        run: BootRun,
        now: impl Fn() -> u64 + Send + 'static,
        recovered: RecoveryCallback,
    ) -> (Journal, io::Result<()>) {
        let mut writer = Writer {
            log,
            run,
            now,
            recovered: Some(recovered),
            book: JournalState::default(),
            is_sound: false,
            tried: Instant::now(),
        };
        let begun = writer.restore();
        let (orders, taken) = channel();
        let thread = std::thread::spawn(move || writer.write_all(&taken));
        (
            Journal {
                orders,
                thread: Some(thread),
            },
            begun,
        )
    }

    /// A once-only batch is about to go out: it may once `done` is told so.
    pub fn record_sent(&self, sent: SentQuery, done: WriteCallback) {
        if let Err(e) = self
            .orders
            .send(Order::Write(Record::Sent(sent), Some(done)))
        {
            if let Order::Write(_, Some(done)) = e.0 {
                done(Err(io::Error::other("the journal has stopped")));
            }
        }
    }

    /// It is proved over. Nobody waits for that: were it lost, its key would rest and its id be refused, no more.
    pub fn record_finished(&self, id: u64) {
        // A journal that has stopped holds it as open, which is the safe side.
        let _ = self
            .orders
            .send(Order::Write(Record::Finished { id }, None));
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        let _ = self.orders.send(Order::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The thread that writes.
struct Writer<L, N> {
    log: L,
    run: BootRun,
    now: N,
    /// Until the log has been read.
    recovered: Option<RecoveryCallback>,
    book: JournalState,
    /// The log holds all that was promised, and can be added to.
    is_sound: bool,
    /// When it was last tried to make it so.
    tried: Instant,
}

impl<L: JournalStorage, N: Fn() -> u64> Writer<L, N> {
    fn write_all(mut self, orders: &Receiver<Order>) {
        loop {
            let first = match self.is_sound {
                true => orders.recv().map_err(|_| RecvTimeoutError::Disconnected),
                false => orders.recv_timeout(RESTORE_PAUSE),
            };
            let stops = match first {
                Ok(first) => self.write_group(first, orders),
                Err(RecvTimeoutError::Timeout) => false,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if stops {
                return;
            }
            if !self.is_sound && self.tried.elapsed() >= RESTORE_PAUSE {
                // It is tried again.
                let _ = self.restore();
            }
        }
    }

    /// Writes an order and those that wait behind it; whether it is to stop.
    fn write_group(&mut self, first: Order, orders: &Receiver<Order>) -> bool {
        let (mut waiting, mut bytes, mut stops) = (Vec::new(), Vec::new(), false);
        for order in std::iter::once(first)
            .chain(std::iter::from_fn(|| orders.try_recv().ok()))
            .take(MOST)
        {
            match order {
                // What is not promised is not sent, and need not be known.
                Order::Write(Record::Sent(_), Some(done)) if !self.is_sound => {
                    done(Err(io::Error::other(
                        "an earlier write of the journal failed",
                    )));
                }
                Order::Write(record, done) => {
                    bytes.extend_from_slice(&record.bytes());
                    self.book.add(&record);
                    waiting.extend(done);
                }
                Order::Stop => stops = true,
            }
        }
        if self.is_sound {
            self.append(&bytes, waiting, stops);
        }
        stops
    }

    fn append(&mut self, bytes: &[u8], waiting: Vec<WriteCallback>, stops: bool) {
        // What nobody waits for goes to the disk with the next that somebody does.
        let syncs = !waiting.is_empty() || stops;
        let written = self
            .log
            .append(bytes)
            .and_then(|()| if syncs { self.log.sync() } else { Ok(()) });
        if written.is_err() {
            (self.is_sound, self.tried) = (false, Instant::now());
        }
        for done in waiting {
            done(
                written
                    .as_ref()
                    .copied()
                    .map_err(|e| io::Error::new(e.kind(), e.to_string())),
            );
        }
        let now = (self.now)();
        if self.is_sound && self.book.is_stale(now) {
            // Where it fails that is tried again.
            let _ = self.restore();
        }
    }

    /// Reads the log if that was not done yet, and puts a whole new copy there.
    fn restore(&mut self) -> io::Result<()> {
        (self.is_sound, self.tried) = (false, Instant::now());
        let now = (self.now)();
        if self.recovered.is_some() {
            let mut book = JournalState::read(&self.log.read()?).0;
            book.resume(self.run, now);
            self.book = book;
            if let Some(recovered) = self.recovered.take() {
                recovered(self.book.unexpired(now));
            }
        }
        let copy = self.book.compacted(now);
        self.log.replace(&copy)?;
        self.is_sound = true;
        Ok(())
    }
}
