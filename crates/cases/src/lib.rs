//! Tests in text form: a folder of case files, each with what goes in and what came out.
//!
//! A case file is read whole, a test's `run` turns it into the file as it should be, and [`Cases::check`] compares the two. So the
//! form of a case is its test's own matter: some put what is expected below a line of dashes, some below each event. Start with
//! [`Cases`]; [`split`] is for the first form.

use std::env;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Set this variable to write what a run gave into the files. Read the difference before it is kept.
pub const BLESS: &str = "GOLDCREST_BLESS";

/// A folder of case files.
#[derive(Debug)]
pub struct Cases {
    folder: PathBuf,
    least: usize,
    is_blessing: bool,
}

impl Cases {
    /// The folder `tests/cases` of the crate whose manifest lies in `crate_folder`. What a run gave is written back if
    /// [`BLESS`] is set.
    #[must_use]
    pub fn new(crate_folder: &str) -> Self {
        Self {
            folder: Path::new(crate_folder).join("tests/cases"),
            least: 1,
            is_blessing: env::var_os(BLESS).is_some(),
        }
    }

    /// The same, where fewer than `least` files are taken as a folder that has lost some.
    #[must_use]
    pub fn with_least(self, least: usize) -> Self {
        Self { least, ..self }
    }

    /// The same, where what a run gave is never written back.
    #[must_use]
    pub fn with_no_blessing(self) -> Self {
        Self {
            is_blessing: false,
            ..self
        }
    }

    /// Runs every case file and tells of all that differ.
    ///
    /// # Panics
    ///
    /// If a case differs, if there are too few, or if the folder can't be read.
    pub fn check(&self, run: impl Fn(&str) -> String) {
        let files = match files(&self.folder) {
            Ok(files) => files,
            Err(error) => panic!("{}: {error}", self.folder.display()),
        };
        let found = files.len();
        assert!(found >= self.least, "only {found} case files were found");
        let mut wrong = String::new();
        for file in files {
            let differs = match self.check_file(&file, &run) {
                Ok(differs) => differs,
                Err(error) => panic!("{}: {error}", file.display()),
            };
            if let Some(given) = differs {
                // Writing to a text can't fail.
                let _ = writeln!(wrong, "{}: a run gave this:\n{given}", file.display());
            }
        }
        assert!(wrong.is_empty(), "{wrong}");
    }

    /// The text of one case file.
    ///
    /// # Panics
    ///
    /// If it can't be read.
    #[must_use]
    pub fn read(&self, name: &str) -> String {
        let file = self.folder.join(name);
        match fs::read_to_string(&file) {
            Ok(text) => text,
            Err(error) => panic!("{}: {error}", file.display()),
        }
    }

    /// What a run gave, if that is not what the file holds.
    fn check_file(&self, file: &Path, run: impl Fn(&str) -> String) -> io::Result<Option<String>> {
        let text = fs::read_to_string(file)?;
        let given = run(&text);
        if given == text {
            return Ok(None);
        }
        if self.is_blessing {
            fs::write(file, given)?;
            return Ok(None);
        }
        Ok(Some(given))
    }
}

/// The case files of a folder, by name.
fn files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let entries = fs::read_dir(folder)?;
    let mut files: Vec<PathBuf> = entries
        .map(|entry| Ok(entry?.path()))
        .collect::<io::Result<_>>()?;
    files.sort();
    Ok(files)
}

/// A case's input, which ends where the line `mark` begins.
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
