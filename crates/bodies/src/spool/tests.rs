use super::*;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("garnetwall-spool-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

#[test]
fn pieces_come_back_and_slots_are_used_again() {
    let folder = folder("again");
    let spool = Spool::new(Disk::open(&folder, "n0").expect("a file"), 2 * PIECE);
    assert_eq!(
        std::fs::read_dir(&folder).expect("a folder").count(),
        0,
        "unlinked while it is open"
    );
    let a = spool.write(1, 0, b"first").expect("room");
    let b = spool.write(1, 1, &vec![7; PIECE as usize]).expect("room");
    assert!(matches!(spool.write(2, 0, b"x"), Err(SpoolError::Full)));
    assert_eq!(spool.read(&a, 1, 0, 5).expect("kept"), b"first");
    assert_eq!(
        spool.read(&b, 1, 1, PIECE as usize).expect("kept"),
        vec![7; PIECE as usize]
    );
    spool.free(a);
    let c = spool.write(2, 0, b"other").expect("room again");
    assert_eq!(
        (spool.used(), spool.read(&c, 2, 0, 5).expect("kept")),
        (2, b"other".to_vec())
    );
    // A slot that is another's by now, or of another piece, proves itself.
    assert!(matches!(spool.read(&c, 1, 0, 5), Err(SpoolError::Damaged)));
    assert!(matches!(spool.read(&b, 1, 0, 5), Err(SpoolError::Damaged)));
    std::fs::remove_dir_all(folder).expect("removed");
}

/// Every byte of a slot, flipped: told as damaged.
#[test]
fn a_damaged_piece_is_told() {
    let folder = folder("damaged");
    let disk = Disk::open(&folder, "n0").expect("a file");
    let file = disk.0.try_clone().expect("a second handle");
    let spool = Spool::new(disk, PIECE);
    let slot = spool
        .write(5, 3, b"INSERT INTO sales_17.orders")
        .expect("room");
    for at in 0..HEAD as u64 + 27 {
        let mut byte = [0];
        file.read_exact_at(&mut byte, at).expect("read");
        file.write_all_at(&[byte[0] ^ 0x10], at).expect("written");
        assert!(
            matches!(spool.read(&slot, 5, 3, 27), Err(SpoolError::Damaged)),
            "byte {at}"
        );
        file.write_all_at(&byte, at).expect("written");
    }
    assert!(spool.read(&slot, 5, 3, 27).is_ok());
    file.set_len(10).expect("cut");
    assert!(matches!(
        spool.read(&slot, 5, 3, 27),
        Err(SpoolError::Damaged)
    ));
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn only_our_own_left_overs_are_removed() {
    let folder = folder("left");
    let make = |name: &str| std::fs::write(folder.join(name), b"x").expect("written");
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
    assert_eq!(remove_leftover_files(&folder, "n0").expect("looked"), 2);
    let mut left: Vec<_> = std::fs::read_dir(&folder)
        .expect("a folder")
        .map(|e| {
            e.expect("an entry")
                .file_name()
                .into_string()
                .expect("a name")
        })
        .collect();
    left.sort();
    let mut others = others.map(String::from).to_vec();
    others.sort();
    assert_eq!(left, others);
    std::fs::remove_dir_all(folder).expect("removed");
}

/// The disk is full in truth: every write to /dev/full fails with ENOSPC.
#[test]
fn a_full_disk_is_an_error_and_the_slot_is_free_again() {
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .open("/dev/full")
        .expect("/dev/full");
    let spool = Spool::new(Disk(file), 4 * PIECE);
    match spool.write(1, 0, b"x") {
        Err(SpoolError::Disk(e)) => assert_eq!(e.kind(), io::ErrorKind::StorageFull),
        other => panic!("{other:?}"),
    }
    assert_eq!(spool.used(), 0);
}
