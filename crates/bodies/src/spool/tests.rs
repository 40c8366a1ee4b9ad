//! Tests the spool file: pieces are read as written, damage is an error, and leftover files are removed.

use super::*;
use std::fs::OpenOptions;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("garnetwall-spool-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("the folder exists");
    path
}

#[test]
fn pieces_are_read_as_written_and_slots_are_reused() {
    let folder = folder("again");
    let spool = Spool::new(
        SpoolFile::create(&folder, "n0").expect("the spool file is created"),
        2 * PIECE_BYTES,
    );
    assert_eq!(
        std::fs::read_dir(&folder)
            .expect("the folder exists")
            .count(),
        0,
        "the open spool file is unlinked"
    );
    let a = spool.write(1, 0, b"first").expect("a slot is free");
    let b = spool
        .write(1, 1, &vec![7; PIECE_BYTES as usize])
        .expect("a slot is free");
    assert!(matches!(spool.write(2, 0, b"x"), Err(SpoolError::Full)));
    assert_eq!(
        spool.read(&a, 1, 0, 5).expect("the piece is stored"),
        b"first"
    );
    assert_eq!(
        spool
            .read(&b, 1, 1, PIECE_BYTES as usize)
            .expect("the piece is stored"),
        vec![7; PIECE_BYTES as usize]
    );
    spool.free(a);
    let c = spool.write(2, 0, b"other").expect("a slot is free again");
    assert_eq!(
        (
            spool.used_slots(),
            spool.read(&c, 2, 0, 5).expect("the piece is stored")
        ),
        (2, b"other".to_vec())
    );
    // The header shows that the slot now belongs to another body, or to another piece.
    assert!(matches!(spool.read(&c, 1, 0, 5), Err(SpoolError::Damaged)));
    assert!(matches!(spool.read(&b, 1, 0, 5), Err(SpoolError::Damaged)));
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

#[test]
fn each_damaged_byte_of_a_slot_is_detected() {
    let folder = folder("damaged");
    let disk = SpoolFile::create(&folder, "n0").expect("the spool file is created");
    let file = disk.0.try_clone().expect("the file handle is duplicated");
    let spool = Spool::new(disk, PIECE_BYTES);
    let slot = spool
        .write(5, 3, b"INSERT INTO sales_17.orders")
        .expect("a slot is free");
    for at in 0..HEADER_BYTES as u64 + 27 {
        let mut byte = [0];
        file.read_exact_at(&mut byte, at).expect("the byte is read");
        file.write_all_at(&[byte[0] ^ 0x10], at)
            .expect("the write succeeds");
        assert!(
            matches!(spool.read(&slot, 5, 3, 27), Err(SpoolError::Damaged)),
            "byte {at}"
        );
        file.write_all_at(&byte, at).expect("the write succeeds");
    }
    assert!(spool.read(&slot, 5, 3, 27).is_ok());
    file.set_len(10).expect("the file is truncated");
    assert!(matches!(
        spool.read(&slot, 5, 3, 27),
        Err(SpoolError::Damaged)
    ));
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

#[test]
fn only_leftover_files_of_the_same_gateway_are_removed() {
    let folder = folder("left");
    let make = |name: &str| std::fs::write(folder.join(name), b"x").expect("the write succeeds");
    for name in ["n0-12-99.garnetwall-spool", "n0-7-1.garnetwall-spool"] {
        make(name);
    }
    let others = [
        "n1-12-99.garnetwall-spool",
        "n0-12-99.txt",
        "n0-x-99.garnetwall-spool",
        "n0.garnetwall-spool",
    ];
    others.iter().for_each(|name| make(name));
    assert_eq!(
        remove_leftover_files(&folder, "n0").expect("leftover files are removed"),
        2
    );
    let mut remaining: Vec<_> = std::fs::read_dir(&folder)
        .expect("the folder exists")
        .map(|e| {
            e.expect("the folder entry is readable")
                .file_name()
                .into_string()
                .expect("the file name is UTF-8")
        })
        .collect();
    remaining.sort();
    let mut others = others.map(String::from).to_vec();
    others.sort();
    assert_eq!(remaining, others);
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

/// Uses /dev/full, to which every write fails with ENOSPC.
#[test]
fn a_full_disk_is_an_error_and_the_slot_is_free_again() {
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .open("/dev/full")
        .expect("/dev/full can be opened");
    let spool = Spool::new(SpoolFile(file), 4 * PIECE_BYTES);
    match spool.write(1, 0, b"x") {
        Err(SpoolError::Io(e)) => assert_eq!(e.kind(), io::ErrorKind::StorageFull),
        other => panic!("{other:?}"),
    }
    assert_eq!(spool.used_slots(), 0);
}
