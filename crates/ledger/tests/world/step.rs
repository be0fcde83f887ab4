//! The steps of a random trace, and their generation and shrinking.

use quickcheck::{Arbitrary, Gen};

/// The action or event of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Tick,
    Crash,
    Pause,
    Start,
    ApplyDelayed,
    Renew,
    Refresh,
    Set,
    Admit,
    Serve,
    Observe,
    ReadFleet,
    BeginRelease,
    BeginIssue,
    Lower,
    Raise,
    EndMoves,
    Leave,
}

/// The kinds to draw from, repeated by their weights.
const KINDS: [Kind; 49] = [
    Kind::Tick,
    Kind::Tick,
    Kind::Tick,
    Kind::Tick,
    Kind::Crash,
    Kind::Pause,
    Kind::Start,
    Kind::Start,
    Kind::Start,
    Kind::ApplyDelayed,
    Kind::Renew,
    Kind::Renew,
    Kind::Refresh,
    Kind::Refresh,
    Kind::Refresh,
    Kind::Refresh,
    Kind::Refresh,
    Kind::Set,
    Kind::Set,
    Kind::Set,
    Kind::Admit,
    Kind::Admit,
    Kind::Admit,
    Kind::Admit,
    Kind::Admit,
    Kind::Serve,
    Kind::Serve,
    Kind::Serve,
    Kind::Serve,
    Kind::Serve,
    Kind::Serve,
    Kind::Observe,
    Kind::Observe,
    Kind::Observe,
    Kind::Observe,
    Kind::Observe,
    Kind::ReadFleet,
    Kind::ReadFleet,
    Kind::BeginRelease,
    Kind::BeginIssue,
    Kind::Lower,
    Kind::Raise,
    Kind::EndMoves,
    Kind::BeginRelease,
    Kind::BeginIssue,
    Kind::Lower,
    Kind::Raise,
    Kind::EndMoves,
    Kind::Leave,
];

/// One step: its kind, the process `who` that it concerns, an argument `arg` whose meaning depends on the kind, and the
/// `fate` of its swaps (taken effect, reply lost, or delayed).
#[derive(Debug, Clone)]
pub struct Step {
    pub kind: Kind,
    pub who: u8,
    pub arg: u8,
    pub fate: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let bytes: Vec<u8> = (0..=u8::MAX).collect();
        let mut byte = || *g.choose(&bytes).expect("there are bytes");
        let (who, arg, fate) = (byte(), byte(), byte());
        Self {
            kind: *g.choose(&KINDS).expect("there are kinds"),
            who,
            arg,
            fate,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let kind = self.kind;
        let figures = (self.who, self.arg, self.fate);
        Box::new(figures.shrink().map(move |(who, arg, fate)| Self {
            kind,
            who,
            arg,
            fate,
        }))
    }
}
