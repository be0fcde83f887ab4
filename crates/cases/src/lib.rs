//! A runner for tests in text form: a folder of case files, each of which holds inputs and the expected outputs.
//!
//! [`Cases::check`] passes the whole text of each file to the test's `run` function, which returns the text that the
//! file should have, and compares the two. The format of a case is therefore up to its test: some put the expected
//! output below a line of dashes, which [`split`] supports, others below each event.

use std::env;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The environment variable that makes [`Cases::check`] overwrite case files which differ, instead of failing. Review
/// the difference before committing it.
pub const BLESS: &str = "GOLDCREST_BLESS";

/// The case files of one folder, and how they are checked.
#[derive(Debug)]
pub struct Cases {
    folder: PathBuf,
    min_files: usize,
    is_blessing: bool,
}

impl Cases {
    /// Creates a runner for the folder `tests/cases` of the crate whose manifest lies in `crate_folder`. Overwrites
    /// files that differ if [`BLESS`] is set.
    #[must_use]
    pub fn new(crate_folder: &str) -> Self {
        Self {
            folder: Path::new(crate_folder).join("tests/cases"),
            min_files: 1,
            is_blessing: env::var_os(BLESS).is_some(),
        }
    }

    /// Makes [`Cases::check`] fail if the folder holds fewer than `min_files` files. The default is 1. Guards against
    /// case files that were lost.
    #[must_use]
    pub fn with_least(self, min_files: usize) -> Self {
        Self { min_files, ..self }
    }

    /// Makes [`Cases::check`] never overwrite files, even if [`BLESS`] is set.
    #[must_use]
    pub fn with_no_blessing(self) -> Self {
        Self {
            is_blessing: false,
            ..self
        }
    }

    /// Passes the text of every file to `run` and compares the result with the file. Reports all files that differ.
    ///
    /// # Panics
    ///
    /// If a file differs, if there are too few files, or if the folder or a file can't be read or written.
    pub fn check(&self, run: impl Fn(&str) -> String) {
        let files = match files(&self.folder) {
            Ok(files) => files,
            Err(error) => panic!("{}: {error}", self.folder.display()),
        };
        let found = files.len();
        assert!(
            found >= self.min_files,
            "only {found} case files were found"
        );
        let mut differences = String::new();
        for file in files {
            let differing = match self.check_file(&file, &run) {
                Ok(differing) => differing,
                Err(error) => panic!("{}: {error}", file.display()),
            };
            if let Some(output) = differing {
                // Writing to a string can't fail.
                let _ = writeln!(
                    differences,
                    "{}: the run returned:\n{output}",
                    file.display()
                );
            }
        }
        assert!(differences.is_empty(), "{differences}");
    }

    /// Returns the text of the case file `name`.
    ///
    /// # Panics
    ///
    /// If the file can't be read.
    #[must_use]
    pub fn read(&self, name: &str) -> String {
        let file = self.folder.join(name);
        match fs::read_to_string(&file) {
            Ok(text) => text,
            Err(error) => panic!("{}: {error}", file.display()),
        }
    }

    /// Returns the output of `run` if it differs from the file. Overwrites the file instead if `is_blessing`.
    fn check_file(&self, file: &Path, run: impl Fn(&str) -> String) -> io::Result<Option<String>> {
        let text = fs::read_to_string(file)?;
        let output = run(&text);
        if output == text {
            return Ok(None);
        }
        if self.is_blessing {
            fs::write(file, output)?;
            return Ok(None);
        }
        Ok(Some(output))
    }
}

/// Lists the files of a folder, sorted by name.
fn files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let entries = fs::read_dir(folder)?;
    let mut files: Vec<PathBuf> = entries
        .map(|entry| Ok(entry?.path()))
        .collect::<io::Result<_>>()?;
    files.sort();
    Ok(files)
}

/// Returns the input of a case: the text before the line `mark`, which includes its line break.
///
/// # Panics
///
/// If the case has no such line.
#[must_use]
pub fn split<'a>(case: &'a str, mark: &str) -> &'a str {
    match case.split_once(mark) {
        Some((input, _)) => input,
        None => panic!("the case has no line '{}'", mark.trim_end()),
    }
}
