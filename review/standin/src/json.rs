//! A JSON value with a parser and a printer.

use std::fmt;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

/// Shorthand for a number.
pub fn num(value: u64) -> Json {
    Json::Number(value as f64)
}

/// Shorthand for a text.
pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

/// Shorthand for an object.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Object(fields.map(|(name, value)| (name.to_owned(), value)).into())
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut parser = Parser {
            rest: text.trim_start(),
        };
        let value = parser.value()?;
        parser.rest.trim().is_empty().then_some(value)
    }

    /// A field of an object; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map_or(&Self::Null, |(_, value)| value),
            _ => &Self::Null,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            Self::Number(value) if *value >= 0.0 => Some(*value as u64),
            _ => None,
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(value) => write!(f, "{value}"),
            Self::Text(value) => quote(f, value),
            Self::List(items) => {
                f.write_str("[")?;
                for (at, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if at > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Self::Object(fields) => {
                f.write_str("{")?;
                for (at, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if at > 0 { "," } else { "" })?;
                    quote(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn quote(f: &mut fmt::Formatter<'_>, value: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in value.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if u32::from(c) < 0x20 => write!(f, "\\u{:04x}", u32::from(c))?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn take(&mut self, token: &str) -> bool {
        self.rest = self.rest.trim_start();
        match self.rest.strip_prefix(token) {
            Some(rest) => {
                self.rest = rest;
                true
            }
            None => false,
        }
    }

    fn value(&mut self) -> Option<Json> {
        self.rest = self.rest.trim_start();
        match self.rest.chars().next()? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.string().map(Json::Text),
            't' => self.take("true").then_some(Json::Bool(true)),
            'f' => self.take("false").then_some(Json::Bool(false)),
            'n' => self.take("null").then_some(Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{");
        let mut fields = Vec::new();
        if self.take("}") {
            return Some(Json::Object(fields));
        }
        loop {
            self.rest = self.rest.trim_start();
            let name = self.string()?;
            if !self.take(":") {
                return None;
            }
            fields.push((name, self.value()?));
            if self.take("}") {
                return Some(Json::Object(fields));
            }
            if !self.take(",") {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[");
        let mut items = Vec::new();
        if self.take("]") {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take("]") {
                return Some(Json::List(items));
            }
            if !self.take(",") {
                return None;
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let end = self
            .rest
            .find(|c: char| !(c.is_ascii_digit() || "+-.eE".contains(c)))
            .unwrap_or(self.rest.len());
        let (number, rest) = self.rest.split_at(end);
        self.rest = rest;
        number.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        let mut out = String::new();
        let mut chars = self.rest.strip_prefix('"')?.char_indices();
        let body = &self.rest[1..];
        loop {
            let (at, c) = chars.next()?;
            match c {
                '"' => {
                    self.rest = &body[at + 1..];
                    return Some(out);
                }
                '\\' => match chars.next()?.1 {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'b' => out.push('\u{8}'),
                    'f' => out.push('\u{c}'),
                    'u' => {
                        let mut code = 0;
                        for _ in 0..4 {
                            code = code * 16 + chars.next()?.1.to_digit(16)?;
                        }
                        out.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                    }
                    other => out.push(other),
                },
                c => out.push(c),
            }
        }
    }
}
