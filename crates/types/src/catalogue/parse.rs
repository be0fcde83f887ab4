//! YAML to the records of the catalogue, with every error at its line.
//!
//! The text is read once into sections of located values, so one bad record does not hide the next: each record is
//! read by itself, and what cannot be read becomes a [`Finding`](super::Finding) at that record's line.

use std::collections::HashMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_saphyr::Spanned;

use super::check::{Findings, Section, check};
use super::spec::CatalogueSpec;

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Outline {
    data_centres: Vec<Spanned<Value>>,
    pools: Vec<Spanned<Value>>,
    teams: Vec<Spanned<Value>>,
    queues: Vec<Spanned<Value>>,
    keys: Vec<Spanned<Value>>,
    operators: Vec<Spanned<Value>>,
    weights: Option<Spanned<Value>>,
    maintenance: Option<Spanned<Value>>,
}

/// Collects records, the lines they stand at, and what could not be read.
#[derive(Debug, Default)]
struct Reader {
    lines: HashMap<(Section, usize), u64>,
    findings: Findings,
}

impl Reader {
    fn one<T: DeserializeOwned>(&mut self, section: Section, item: Spanned<Value>) -> Option<T> {
        let line = item.referenced.line();
        match serde_json::from_value(item.value) {
            Ok(record) => Some(record),
            Err(error) => {
                self.findings.push_at(section, line, error.to_string());
                None
            }
        }
    }

    fn list<T: DeserializeOwned>(
        &mut self,
        section: Section,
        items: Vec<Spanned<Value>>,
    ) -> Vec<T> {
        let mut records = Vec::with_capacity(items.len());
        for item in items {
            let line = item.referenced.line();
            if let Some(record) = self.one(section, item) {
                self.lines.insert((section, records.len()), line);
                records.push(record);
            }
        }
        records
    }

    fn block<T: DeserializeOwned + Default>(
        &mut self,
        section: Section,
        item: Option<Spanned<Value>>,
    ) -> T {
        let Some(item) = item else {
            return T::default();
        };
        self.lines.insert((section, 0), item.referenced.line());
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
        data_centres: reader.list(Section::DataCentres, outline.data_centres),
        pools: reader.list(Section::Pools, outline.pools),
        teams: reader.list(Section::Teams, outline.teams),
        queues: reader.list(Section::Queues, outline.queues),
        keys: reader.list(Section::Keys, outline.keys),
        operators: reader.list(Section::Operators, outline.operators),
        weights: reader.block(Section::Weights, outline.weights),
        maintenance: reader.block(Section::Maintenance, outline.maintenance),
    };
    let mut findings = reader.findings;
    for finding in check(&spec).iter() {
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
    let line = error.location().map_or(1, |location| location.line());
    let message = format!("{}: correct the YAML at this line", error.without_snippet());
    findings.push_at(Section::Document, line, message);
    findings
}
