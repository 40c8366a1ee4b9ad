//! The journal of once-only batches: records on a disk that lasts, written by a thread of its own. All that waits when a
//! write begins goes out with one sync (group commit). After a failed sync nothing is promised any more: what the disk
//! has then is not known.

use crate::book::{Book, Record, Sent};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;

/// Records that go out with one sync at most.
const MOST: usize = 4096;

/// Where the journal is kept.
pub trait Log: Send {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self) -> io::Result<()>;
    /// Puts these bytes in the place of all that is there, all or nothing.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A file; a copy is written beside it and takes its place by its name.
#[derive(Debug)]
pub struct FileLog {
    path: PathBuf,
    file: File,
}

impl FileLog {
    /// Opens or makes a journal: what is in it, cut to what is whole.
    pub fn open(path: &Path) -> io::Result<(FileLog, Vec<u8>)> {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        let mut log = FileLog { path: path.to_path_buf(), file: file.map_err(named)? };
        let mut bytes = Vec::new();
        log.file.read_to_end(&mut bytes).map_err(named)?;
        let good = Book::read(&bytes).1.good;
        bytes.truncate(good);
        log.cut(good as u64).map_err(named)?;
        Ok((log, bytes))
    }

    fn cut(&mut self, good: u64) -> io::Result<()> {
        self.file.set_len(good)?;
        self.file.seek(SeekFrom::Start(good))?;
        self.file.sync_data()?;
        sync_folder(&self.path)
    }
}

/// A name is on the disk once its folder is.
fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

impl Log for FileLog {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let beside = self.path.with_extension("new");
        let mut file = OpenOptions::new().write(true).create(true).truncate(true).open(&beside)?;
        file.write_all(bytes)?;
        file.sync_data()?;
        std::fs::rename(&beside, &self.path)?;
        sync_folder(&self.path)?;
        self.file = file;
        Ok(())
    }
}

/// Told once a record is on the disk, or can't be.
pub type Done = Box<dyn FnOnce(io::Result<()>) + Send>;

enum Order {
    Write(Record, Option<Done>),
    Stop,
}

/// The journal of a running gateway.
pub struct Journal {
    orders: Sender<Order>,
    thread: Option<JoinHandle<()>>,
}

impl Journal {
    /// Goes on with a log that holds these bytes; `now` gives Unix milliseconds.
    pub fn start(
        log: impl Log + 'static,
        held: &[u8],
        now: impl Fn() -> u64 + Send + 'static,
    ) -> (Journal, Vec<(Sent, bool)>) {
        let book = Book::read(held).0;
        let open = book.known(now());
        let (orders, taken) = channel();
        let thread = std::thread::spawn(move || write_all(log, book, &taken, now));
        (Journal { orders, thread: Some(thread) }, open)
    }

    /// A once-only batch is about to go out: it may once `done` is told so.
    pub fn sent(&self, sent: Sent, done: Done) {
        if let Err(e) = self.orders.send(Order::Write(Record::Sent(sent), Some(done))) {
            if let Order::Write(_, Some(done)) = e.0 {
                done(Err(io::Error::other("the journal has stopped")));
            }
        }
    }

    /// It is proved over. Nobody waits for that: were it lost, its key would rest and its id be refused, no more.
    pub fn over(&self, id: u64) {
        // A journal that has stopped holds it as open, which is the safe side.
        let _ = self.orders.send(Order::Write(Record::Over { id }, None));
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

fn write_all(mut log: impl Log, mut book: Book, orders: &Receiver<Order>, now: impl Fn() -> u64) {
    let mut failed = false;
    while let Ok(first) = orders.recv() {
        let mut waiting = Vec::new();
        let mut bytes = Vec::new();
        let mut stops = false;
        for order in std::iter::once(first).chain(std::iter::from_fn(|| orders.try_recv().ok())).take(MOST) {
            match order {
                Order::Write(record, done) => {
                    bytes.extend_from_slice(&record.bytes());
                    book.add(&record);
                    waiting.extend(done);
                }
                Order::Stop => stops = true,
            }
        }
        let wanted = !waiting.is_empty();
        let written = match failed {
            true => Err(io::Error::other("an earlier write of the journal failed")),
            // What nobody waits for goes to the disk with the next that somebody does.
            false => log.append(&bytes).and_then(|()| if wanted || stops { log.sync() } else { Ok(()) }),
        };
        failed |= written.is_err();
        for done in waiting {
            done(written.as_ref().copied().map_err(|e| io::Error::new(e.kind(), e.to_string())));
        }
        let at = now();
        if !failed && book.is_stale(at) {
            failed |= log.replace(&book.copy(at)).is_err();
        }
        if stops {
            return;
        }
    }
}
