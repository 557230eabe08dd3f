//! The sources from which a program was built.

/// Digest of the sources, as `scripts/source-digest` prints it; `None` if the program wasn't built
/// by `scripts/build-release`.
///
/// All crates of the workspace depend on this one, so a build with another digest compiles all of
/// them again.
const SOURCES: Option<&str> = option_env!("RAGWORT_SOURCES");

/// Version and sources of this program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BuildInfo {
    /// Version of the package.
    pub version: &'static str,
    /// Digest of the sources, or `unknown`.
    pub sources: &'static str,
}

impl BuildInfo {
    /// Returns the version and the sources of the running program.
    ///
    /// # Examples
    ///
    /// ```
    /// use ragwort_types::BuildInfo;
    ///
    /// assert_eq!(BuildInfo::of_program().version, env!("CARGO_PKG_VERSION"));
    /// ```
    pub fn of_program() -> Self {
        Self {
            version: env!("CARGO_PKG_VERSION"),
            sources: SOURCES.unwrap_or("unknown"),
        }
    }

    /// Returns the line that a program prints for `--version`.
    pub fn to_line(self, program: &str) -> String {
        format!("{program} {} (sources {})", self.version, self.sources)
    }
}
