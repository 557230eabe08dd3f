//! Recovery of the control VM's log file after a crash.

use ragwortgated::disk::LogFile;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Declares a test for each `name => function`; the function gets a folder of its own.
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
    /// The VM loses power in the middle of a record. The complete records before it are kept, and
    /// records that are appended after the truncation follow them without a gap.
    torn_tail_is_cut_and_appended_after => torn_tail_case;
    /// The VM loses power during a rewrite of the log, which leaves a partial new file beside the
    /// old one. The old log stays valid, and the partial file doesn't disturb a later rewrite.
    interrupted_rewrite_leaves_the_old_log => leftover_case;
    /// After a rewrite the process appends to the new file. Votes and entries that were appended to
    /// the old one would be lost at the next start.
    appends_after_a_rewrite_are_kept => rewrite_case;
    /// A disk was replaced by an empty one, on which the data folder doesn't exist yet.
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
