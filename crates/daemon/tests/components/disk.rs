//! Recovery of the control VM's log file after a crash.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_control::AgreementNode;
use ragwort_control::AgreementSettings;
use ragwort_control::DurableState;
use ragwort_control::VoterId;
use ragwort_control::agreement::EntryPayload;
use ragwort_control::encode_record;
use ragwort_types::VmIncarnation;
use ragwortgated::disk::LogFile;
use ragwortgated::disk::LogRewrite;
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
    /// The VM loses power at any step of a compaction, while entries are still acknowledged. The log
    /// that it finds at its start holds every entry that it has acknowledged.
    crash_in_a_compaction_keeps_acknowledged_entries => compaction_case;
    /// A rewrite is given up. It leaves no file that fills the disk, and the log is unchanged.
    abandoned_rewrite_is_removed => abandoned_case;
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

/// Replaces the first `covered` bytes of the log.
fn replace(folder: &Path, log: &mut LogFile, bytes: &[u8], covered: u64) {
    let mut rewrite = LogRewrite::create(folder).unwrap();
    rewrite.append(bytes).unwrap();
    rewrite.sync().unwrap();
    log.replace(&mut rewrite, covered).unwrap();
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
    replace(folder, &mut log, b"new;", 4);
    assert_eq!(read_log(folder), b"new;");
    assert!(!folder.join("agreement.log.new").exists());
}

fn rewrite_case(folder: &Path) {
    write_log(folder, b"a long history;");
    let (mut log, _) = LogFile::open(folder).unwrap();
    replace(folder, &mut log, b"snapshot;", 15);
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

fn abandoned_case(folder: &Path) {
    write_log(folder, b"old;");
    let mut rewrite = LogRewrite::create(folder).unwrap();
    rewrite.append(b"new;").unwrap();
    drop(rewrite);
    assert!(!folder.join("agreement.log.new").exists());
    assert_eq!(read_log(folder), b"old;");
}

/// A log with a single voter, whose state is the list of its commands.
struct SingleLog {
    node: AgreementNode,
    file: LogFile,
    folder: PathBuf,
    /// The number of committed commands.
    acknowledged: usize,
    random: Gen,
}

impl SingleLog {
    fn start(folder: &Path, seed: u64) -> Self {
        let id = VoterId::new("vm-1".into(), VmIncarnation(1));
        let settings = AgreementSettings::new(id.clone(), Vec::new(), seed);
        let mut node = AgreementNode::start(settings, DurableState::default()).unwrap();
        node.form(vec![id]).unwrap();
        while !node.is_leader() {
            node.tick();
        }
        let mut log = Self {
            node,
            file: LogFile::open(folder).unwrap().0,
            folder: folder.to_path_buf(),
            acknowledged: 0,
            random: Gen::from_size_and_seed(8, seed),
        };
        log.process_outputs();
        log
    }

    fn process_outputs(&mut self) {
        loop {
            let output = self.node.take_output();
            if output.is_empty() {
                return;
            }
            if !output.writes.is_empty() {
                let record = encode_record(&output.writes);
                self.file.append(&record).unwrap();
            }
            self.acknowledged += output
                .committed
                .iter()
                .filter(|one| one.data.is_some())
                .count();
        }
    }

    /// Commits up to four commands, then checks what a VM finds that loses power now.
    fn step(&mut self) {
        for _ in 0..u8::arbitrary(&mut self.random) % 5 {
            self.node
                .propose(format!("command {};", self.acknowledged))
                .unwrap();
            self.process_outputs();
        }
        self.check_crash();
    }

    fn check_crash(&self) {
        let bytes = fs::read(self.folder.join("agreement.log")).unwrap();
        self.check_log(&bytes);
    }

    fn check_log(&self, bytes: &[u8]) {
        let restored = DurableState::from_records(bytes).unwrap().state;
        let mut state = restored
            .snapshot()
            .map_or(String::new(), |one| one.data.clone());
        for entry in restored.entries() {
            if let EntryPayload::Data(data) = &entry.payload {
                state.push_str(data);
            }
        }
        assert_eq!(state, commands(self.acknowledged));
        assert_eq!(restored.id(), Some(self.node.id()));
        assert_eq!(restored.hard_state().term, self.node.term());
        assert_eq!(restored.hard_state().vote.as_ref(), Some(self.node.id()));
    }

    fn compact(&mut self) {
        let covered = self.file.length();
        let Ok(plan) = self.node.plan_compaction(self.node.commit_index()) else {
            return;
        };
        let (record, snapshot) = plan.into_record(commands(self.acknowledged));
        let mut rewrite = LogRewrite::create(&self.folder).unwrap();
        self.step();
        let middle = usize::arbitrary(&mut self.random) % record.len();
        rewrite.append(&record[..middle]).unwrap();
        self.step();
        rewrite.append(&record[middle..]).unwrap();
        self.step();
        rewrite.sync().unwrap();
        self.step();
        // The new file as it is just before the rename, or after one that was undone.
        let old = fs::read(self.folder.join("agreement.log")).unwrap();
        let tail = &old[covered as usize..];
        self.check_log(&[record.as_slice(), tail].concat());
        self.file.replace(&mut rewrite, covered).unwrap();
        drop(rewrite);
        self.check_crash();
        assert_eq!(self.file.length(), (record.len() + tail.len()) as u64);
        self.step();
        self.node.finish_compaction(snapshot).unwrap();
        self.step();
    }
}

fn commands(count: usize) -> String {
    (0..count)
        .map(|number| format!("command {number};"))
        .collect()
}

fn compaction_case(folder: &Path) {
    for seed in 0..50 {
        let folder = folder.join(seed.to_string());
        let mut log = SingleLog::start(&folder, seed);
        for _ in 0..4 {
            log.step();
            log.compact();
        }
    }
}
