//! Tests of the release build, on a copy of the workspace without its tests.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use std::time::SystemTime;

/// A time before that of any build.
const OLD_TIME: Duration = Duration::from_secs(1_000_000_000);

const BUILD_INFO: &str = "crates/types/src/build_info.rs";
const PROGRAM: &str = "target/release/ragwortctl";

/// A copy of the workspace, removed when dropped.
struct WorkspaceCopy {
    folder: PathBuf,
}

impl WorkspaceCopy {
    fn create() -> Self {
        let name = format!("ragwort-release-build-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let copy = Self { folder };
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        for part in ["Cargo.toml", "Cargo.lock", "crates", "platform", "scripts"] {
            copy_old(&root.join(part), &copy.folder.join(part));
        }
        copy
    }

    /// Replaces a text in a source, and gives the file a time before that of any build.
    fn change(&self, source: &str, from: &str, to: &str) {
        let path = self.folder.join(source);
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains(from), "{source}");
        fs::write(&path, text.replace(from, to)).unwrap();
        set_old_time(&path);
    }

    /// Builds `ragwortctl` by the release build, and returns what the build has printed.
    fn build(&self) -> String {
        self.run_build("sh", &["scripts/build-release", "-p", "ragwortctl"])
    }

    fn run_build(&self, program: &str, arguments: &[&str]) -> String {
        let output = Command::new(program)
            .args(arguments)
            .current_dir(&self.folder)
            .env("CARGO_TARGET_DIR", self.folder.join("target"))
            .env("CARGO_PROFILE_RELEASE_OPT_LEVEL", "0")
            .output()
            .unwrap();
        let printed = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{printed}");
        printed
    }

    fn run(&self, program: &str, arguments: &[&str]) -> String {
        let output = Command::new(self.folder.join(program))
            .args(arguments)
            .output()
            .unwrap();
        let printed = [output.stdout, output.stderr].concat();
        String::from_utf8(printed).unwrap().trim().to_owned()
    }
}

impl Drop for WorkspaceCopy {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn set_old_time(path: &Path) {
    let file = File::options().write(true).open(path).unwrap();
    file.set_modified(SystemTime::UNIX_EPOCH + OLD_TIME)
        .unwrap();
}

fn copy_old(from: &Path, to: &Path) {
    if !from.is_dir() {
        fs::create_dir_all(to.parent().unwrap()).unwrap();
        fs::copy(from, to).unwrap();
        set_old_time(to);
        return;
    }
    for entry in fs::read_dir(from).unwrap() {
        let name = entry.unwrap().file_name();
        if name != "tests" && name != "target" {
            copy_old(&from.join(&name), &to.join(&name));
        }
    }
}

/// Guards against a build that leaves a program of other sources in place, because their files are
/// older than the build folder.
#[test]
fn change_with_an_old_file_time_reaches_the_program() {
    let copy = WorkspaceCopy::create();
    // The build folder of former sources, which recorded no digest.
    let recorded = r#"option_env!("RAGWORT_SOURCES")"#;
    copy.change(BUILD_INFO, recorded, "None");
    copy.change("crates/ctl/src/main.rs", "no command:", "nothing given:");
    copy.run_build("cargo", &["build", "--release", "-p", "ragwortctl"]);
    copy.change(BUILD_INFO, "None;", &format!("{recorded};"));
    copy.change("crates/ctl/src/main.rs", "nothing given:", "no command:");
    copy.build();
    assert!(copy.run(PROGRAM, &[]).starts_with("no command:"));
    let before = copy.run(PROGRAM, &["--version"]);
    let digest = copy.run("scripts/source-digest", &[]);
    assert!(before.ends_with(&format!("(sources {digest})")), "{before}");

    copy.change("crates/ctl/src/main.rs", "no command:", "nothing to do:");
    copy.change(BUILD_INFO, "(sources", "(built from");
    copy.build();
    let digest = copy.run("scripts/source-digest", &[]);
    let after = copy.run(PROGRAM, &["--version"]);
    assert!(
        after.ends_with(&format!("(built from {digest})")),
        "{after}"
    );
    assert!(!before.contains(&digest), "{before}");
    assert!(copy.run(PROGRAM, &[]).starts_with("nothing to do:"));

    let printed = copy.build();
    assert!(!printed.contains("Compiling"), "{printed}");
}
