//! The steps of a trace: what happens, to whom, and what becomes of the swap.

use quickcheck::{Arbitrary, Gen};

/// What happens in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Tick,
    Crash,
    Pause,
    Start,
    Land,
    Renew,
    Refresh,
    Set,
    Admit,
    Serve,
    Tend,
    ReadFleet,
    BeginRelease,
    BeginIssue,
    Lower,
    Raise,
    EndMoves,
    Leave,
}

/// The kinds of steps, the frequent ones several times.
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
    Kind::Land,
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
    Kind::Tend,
    Kind::Tend,
    Kind::Tend,
    Kind::Tend,
    Kind::Tend,
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

/// One step: what happens, to whom, with which figure, and what becomes of its swap.
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
