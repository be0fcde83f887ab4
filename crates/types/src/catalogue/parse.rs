//! The conversion from YAML to the records of the catalogue, with the line of each error.
//!
//! The text is parsed once into sections of [`Record`]s, so one invalid record does not hide the next. Each record that
//! can't be decoded becomes [`Finding`](super::Finding)s at its lines; the rules that concern several records are
//! checked on the decoded ones.

use std::collections::HashMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::check::{Findings, Section, UnreadSections, check_readable};
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

/// Decodes records, and collects their lines, the errors, and the sections with undecoded records.
#[derive(Debug, Default)]
struct Reader {
    lines: HashMap<(Section, usize), u64>,
    unread: UnreadSections,
    findings: Findings,
}

impl Reader {
    fn read_record<T: DeserializeOwned>(&mut self, section: Section, item: &Record) -> Option<T> {
        match item.read() {
            Ok(record) => Some(record),
            Err(errors) => {
                self.mark_unread(section);
                for LineError { line, message } in errors {
                    self.findings.push_at(section, line, message);
                }
                None
            }
        }
    }

    fn mark_unread(&mut self, section: Section) {
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

    fn read_list<T: DeserializeOwned>(&mut self, section: Section, items: &[Record]) -> Vec<T> {
        let mut records = Vec::with_capacity(items.len());
        for item in items {
            if let Some(record) = self.read_record(section, item) {
                self.lines.insert((section, records.len()), item.line());
                records.push(record);
            }
        }
        records
    }

    fn read_block<T: DeserializeOwned + Default>(
        &mut self,
        section: Section,
        item: Option<&Record>,
    ) -> T {
        let Some(item) = item else {
            return T::default();
        };
        self.lines.insert((section, 0), item.line());
        self.read_record(section, item).unwrap_or_default()
    }
}

/// Reads a catalogue from YAML and checks it.
///
/// # Errors
///
/// All findings, sorted by line.
pub fn parse(text: &str) -> Result<CatalogueSpec, Findings> {
    let outline: Outline = serde_saphyr::from_str(text).map_err(|error| outline_error(&error))?;
    let mut reader = Reader::default();
    let spec = CatalogueSpec {
        data_centres: reader.read_list(Section::DataCentres, &outline.data_centres),
        pools: reader.read_list(Section::Pools, &outline.pools),
        teams: reader.read_list(Section::Teams, &outline.teams),
        queues: reader.read_list(Section::Queues, &outline.queues),
        keys: reader.read_list(Section::Keys, &outline.keys),
        operators: reader.read_list(Section::Operators, &outline.operators),
        weights: reader.read_block(Section::Weights, outline.weights.as_ref()),
        maintenance: reader.read_block(Section::Maintenance, outline.maintenance.as_ref()),
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
