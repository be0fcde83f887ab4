//! YAML to the records of the catalogue, with every error at its line.
//!
//! The text is read once into sections of [`Record`]s, so one bad record does not hide the next. What can't be read
//! becomes a [`Finding`](super::Finding) at its line; the rules that span records are checked on what could be read.

use std::collections::HashMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::check::{Findings, Section, Unread, check_readable};
use super::spec::CatalogueSpec;
use crate::yaml::{LineError, Record};

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Outline {
    data_centres: Vec<Record>,
    pools: Vec<Record>,
    teams: Vec<Record>,
    queues: Vec<Record>,
    keys: Vec<Record>,
    operators: Vec<Record>,
    weights: Option<Record>,
    maintenance: Option<Record>,
}

/// Collects records, the lines they stand at, and what could not be read.
#[derive(Debug, Default)]
struct Reader {
    lines: HashMap<(Section, usize), u64>,
    unread: Unread,
    findings: Findings,
}

impl Reader {
    fn one<T: DeserializeOwned>(&mut self, section: Section, item: &Record) -> Option<T> {
        match item.read() {
            Ok(record) => Some(record),
            Err(errors) => {
                self.note_unread(section);
                for LineError { line, message } in errors {
                    self.findings.push_at(section, line, message);
                }
                None
            }
        }
    }

    fn note_unread(&mut self, section: Section) {
        match section {
            Section::Teams => self.unread.teams = true,
            Section::Pools => self.unread.pools = true,
            Section::DataCentres => self.unread.data_centres = true,
            Section::Document
            | Section::Queues
            | Section::Keys
            | Section::Operators
            | Section::Weights
            | Section::Maintenance => {}
        }
    }

    fn list<T: DeserializeOwned>(&mut self, section: Section, items: &[Record]) -> Vec<T> {
        let mut records = Vec::with_capacity(items.len());
        for item in items {
            if let Some(record) = self.one(section, item) {
                self.lines.insert((section, records.len()), item.line());
                records.push(record);
            }
        }
        records
    }

    fn block<T: DeserializeOwned + Default>(
        &mut self,
        section: Section,
        item: Option<&Record>,
    ) -> T {
        let Some(item) = item else {
            return T::default();
        };
        self.lines.insert((section, 0), item.line());
        self.one(section, item).unwrap_or_default()
    }
}

/// Reads a catalogue from YAML and checks it as a whole.
///
/// # Errors
///
/// Every finding, at its line, sorted by line.
pub fn parse(text: &str) -> Result<CatalogueSpec, Findings> {
    let outline: Outline = serde_saphyr::from_str(text).map_err(|error| outline_error(&error))?;
    let mut reader = Reader::default();
    let spec = CatalogueSpec {
        data_centres: reader.list(Section::DataCentres, &outline.data_centres),
        pools: reader.list(Section::Pools, &outline.pools),
        teams: reader.list(Section::Teams, &outline.teams),
        queues: reader.list(Section::Queues, &outline.queues),
        keys: reader.list(Section::Keys, &outline.keys),
        operators: reader.list(Section::Operators, &outline.operators),
        weights: reader.block(Section::Weights, outline.weights.as_ref()),
        maintenance: reader.block(Section::Maintenance, outline.maintenance.as_ref()),
    };
    let mut findings = reader.findings;
    for finding in check_readable(&spec, reader.unread).iter() {
        findings.push(finding.section, finding.index, finding.message.clone());
    }
    if findings.is_empty() {
        return Ok(spec);
    }
    let lines = reader.lines;
    findings.locate(|section, index| match section {
        Section::Document => Some(1),
        _ => lines.get(&(section, index)).copied(),
    });
    Err(findings)
}

fn outline_error(error: &serde_saphyr::Error) -> Findings {
    let mut findings = Findings::new();
    let LineError { line, message } = LineError::of_text(error);
    findings.push_at(Section::Document, line, message);
    findings
}
