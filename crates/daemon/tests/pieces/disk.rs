//! The control VM's log file: what a crash leaves behind.

use ragwortgated::disk::LogFile;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

macro_rules! disk_cases {
    ($($(#[$doc:meta])* $name:ident => $case:ident;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let folder = create_folder(stringify!($name));
            $case(&folder);
            fs::remove_dir_all(&folder).unwrap();
        }
    )*};
}

disk_cases! {
    /// The VM loses power in the middle of a record. The whole records before it are still there,
    /// and what is appended after the cut follows them without a gap.
    torn_tail_is_cut_and_appended_after => torn_tail_case;
    /// The VM loses power while the log is rewritten: a part of the new file lies beside the old
    /// one. The old log counts, and a later rewrite isn't disturbed by the leftover.
    interrupted_rewrite_leaves_the_old_log => leftover_case;
    /// After a rewrite the process goes on with the new file. Appends to the old one would be lost
    /// at the next start, with all votes and entries in them.
    appends_after_a_rewrite_are_kept => rewrite_case;
    /// A disk was replaced by an empty one, whose folder doesn't exist yet.
    missing_folder_is_an_empty_log => missing_case;
}

fn create_folder(name: &str) -> PathBuf {
    let process = std::process::id();
    let folder = std::env::temp_dir().join(format!("ragwort-disk-{process}-{name}"));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn read_log(folder: &Path) -> Vec<u8> {
    LogFile::open(folder).unwrap().1
}

fn write_log(folder: &Path, bytes: &[u8]) {
    let (mut log, _) = LogFile::open(folder).unwrap();
    log.append(bytes).unwrap();
    log.sync().unwrap();
}

fn torn_tail_case(folder: &Path) {
    write_log(folder, b"whole;to");
    let (mut log, bytes) = LogFile::open(folder).unwrap();
    assert_eq!(bytes, b"whole;to");
    log.truncate(6).unwrap();
    assert_eq!(log.length(), 6);
    log.append(b"next;").unwrap();
    log.sync().unwrap();
    assert_eq!(log.length(), 11);
    assert_eq!(read_log(folder), b"whole;next;");
}

fn leftover_case(folder: &Path) {
    write_log(folder, b"old;");
    fs::write(
        folder.join("agreement.log.new"),
        b"half of a much longer new",
    )
    .unwrap();
    let (mut log, bytes) = LogFile::open(folder).unwrap();
    assert_eq!(bytes, b"old;");
    log.rewrite(b"new;").unwrap();
    assert_eq!(read_log(folder), b"new;");
    assert!(!folder.join("agreement.log.new").exists());
}

fn rewrite_case(folder: &Path) {
    write_log(folder, b"a long history;");
    let (mut log, _) = LogFile::open(folder).unwrap();
    log.rewrite(b"snapshot;").unwrap();
    assert_eq!(log.length(), 9);
    log.append(b"entry;").unwrap();
    log.sync().unwrap();
    assert_eq!(log.length(), 15);
    assert_eq!(read_log(folder), b"snapshot;entry;");
}

fn missing_case(folder: &Path) {
    let missing = folder.join("data");
    assert!(read_log(&missing).is_empty());
    write_log(&missing, b"first;");
    assert_eq!(read_log(&missing), b"first;");
}
