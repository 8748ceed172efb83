//! Fields of an object, or of one row of a table, each asked for by its name.

use jzon::JsonValue;
use jzon::object::Object;
use miette::Diagnostic;
use thiserror::Error;

/// Why something could not be read, or may not stand.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum Trouble {
    #[error("{path}: cannot be read: {why}")]
    #[diagnostic(code(jig::unreadable))]
    Unreadable { path: String, why: String },
    #[error("not JSON: {0}")]
    #[diagnostic(code(jig::not_json))]
    NotJson(String),
    #[error("{path}: expected {expected}, found {found}")]
    #[diagnostic(code(jig::unfit))]
    Unfit { path: String, expected: String, found: String },
    #[error("{path}: {why}")]
    #[diagnostic(code(jig::clash))]
    Clash { path: String, why: String },
}

pub type Res<T> = Result<T, Trouble>;

/// Larger whole numbers are not kept exactly by every reader of JSON.
pub const MOST: u64 = 1 << 53;

pub fn parse(bytes: &[u8]) -> Res<JsonValue> {
    let text = std::str::from_utf8(bytes).map_err(|e| Trouble::NotJson(e.to_string()))?;
    jzon::parse(text).map_err(|e| Trouble::NotJson(e.to_string()))
}

pub fn unfit(path: String, expected: &str, found: Option<&JsonValue>) -> Trouble {
    let found = match found {
        None => "nothing".to_string(),
        Some(v) => {
            let text = v.dump();
            match text.char_indices().nth(60) {
                Some((at, _)) => format!("{}...", &text[..at]),
                None => text,
            }
        }
    };
    Trouble::Unfit { path, expected: expected.to_string(), found }
}

pub fn clash(path: impl Into<String>, why: impl Into<String>) -> Trouble {
    Trouble::Clash { path: path.into(), why: why.into() }
}

#[derive(Clone, Copy)]
enum Source<'a> {
    Object(&'a Object),
    Row(&'a [&'a str], &'a [JsonValue]),
}

/// Named fields with the path that leads to them; empty: the top. A null counts as left out.
#[derive(Clone)]
pub struct Facts<'a> {
    path: String,
    source: Source<'a>,
}

impl<'a> Facts<'a> {
    pub fn of(path: &str, value: &'a JsonValue) -> Res<Facts<'a>> {
        let object = value.as_object().ok_or_else(|| {
            let path = if path.is_empty() { "the whole" } else { path };
            unfit(path.to_string(), "an object", Some(value))
        })?;
        Ok(Facts { path: path.to_string(), source: Source::Object(object) })
    }

    pub fn row(path: String, columns: &'a [&'a str], row: &'a [JsonValue]) -> Facts<'a> {
        Facts { path, source: Source::Row(columns, row) }
    }

    pub fn path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) }
    }

    pub fn at(&self, key: &str) -> Option<&'a JsonValue> {
        let found = match self.source {
            Source::Object(object) => object.get(key),
            Source::Row(columns, row) => columns.iter().position(|c| *c == key).and_then(|i| row.get(i)),
        };
        found.filter(|v| !v.is_null())
    }

    pub fn bad(&self, key: &str, expected: &str) -> Trouble {
        unfit(self.path(key), expected, self.at(key))
    }

    /// What `read` makes of the field, where it is there; `expected` says what it must be.
    fn fit<T>(&self, key: &str, expected: &str, read: impl Fn(&'a JsonValue) -> Option<T>) -> Res<Option<T>> {
        self.at(key).map(|v| read(v).ok_or_else(|| self.bad(key, expected))).transpose()
    }

    pub fn must<T>(&self, key: &str, expected: &str, found: Res<Option<T>>) -> Res<T> {
        found?.ok_or_else(|| self.bad(key, expected))
    }

    pub fn text(&self, key: &str) -> Res<Option<&'a str>> {
        self.fit(key, "a text", |v| v.as_str())
    }

    /// A text that must be there and says something.
    pub fn name(&self, key: &str) -> Res<String> {
        match self.text(key)? {
            Some(text) if !text.is_empty() => Ok(text.to_string()),
            _ => Err(self.bad(key, "a text that is not empty")),
        }
    }

    /// A text of a form of its own, such as an address.
    pub fn parsed<T: std::str::FromStr>(&self, key: &str, expected: &str) -> Res<Option<T>> {
        self.fit(key, expected, |v| v.as_str()?.parse().ok())
    }

    pub fn truth(&self, key: &str) -> Res<Option<bool>> {
        self.fit(key, "true or false", |v| v.as_bool())
    }

    pub fn number(&self, key: &str) -> Res<Option<f64>> {
        let read = |v: &JsonValue| v.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
        self.fit(key, "a number that is not negative", read)
    }

    /// A whole number up to `most`, however it is written: 6000 and 6000.0 are the same.
    pub fn whole(&self, key: &str, unit: &str, most: u64) -> Res<Option<u64>> {
        let read = |v: &JsonValue| {
            let n = v.as_f64()?;
            (n.fract() == 0.0 && (0.0..=most as f64).contains(&n)).then_some(n as u64)
        };
        self.fit(key, "", read).map_err(|_| self.bad(key, &whole_words(unit, most)))
    }

    pub fn must_whole(&self, key: &str, unit: &str, most: u64) -> Res<u64> {
        self.must(key, &whole_words(unit, most), self.whole(key, unit, most))
    }

    pub fn count(&self, key: &str) -> Res<Option<u32>> {
        Ok(self.whole(key, "", u64::from(u32::MAX))?.map(|n| n as u32))
    }

    pub fn inner(&self, key: &str) -> Res<Option<Facts<'a>>> {
        self.at(key).map(|v| Facts::of(&self.path(key), v)).transpose()
    }

    pub fn must_inner(&self, key: &str) -> Res<Facts<'a>> {
        self.must(key, "an object", self.inner(key))
    }

    /// The members of a list; none where it is left out.
    pub fn list(&self, key: &str) -> Res<&'a [JsonValue]> {
        Ok(self.fit(key, "a list", |v| v.as_array())?.map_or(&[], |list| list.as_slice()))
    }

    /// A list of texts, each read by `read`.
    pub fn each<T>(&self, key: &str, expected: &str, read: impl Fn(&'a str) -> Option<T>) -> Res<Vec<T>> {
        let one = |(i, v): (usize, &'a JsonValue)| {
            v.as_str()
                .and_then(&read)
                .ok_or_else(|| unfit(format!("{}[{i}]", self.path(key)), expected, Some(v)))
        };
        self.list(key)?.iter().enumerate().map(one).collect()
    }

    pub fn texts(&self, key: &str) -> Res<Vec<String>> {
        self.each(key, "a text", |text| Some(text.to_string()))
    }

    /// An object used as a map from names to texts, each read by `read`.
    pub fn map<T>(
        &self,
        key: &str,
        expected: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Res<Vec<(String, T)>> {
        let Some(inner) = self.inner(key)? else { return Ok(Vec::new()) };
        let Source::Object(object) = inner.source else { return Ok(Vec::new()) };
        let there = object.iter().filter(|(_, v)| !v.is_null());
        let one = |(name, v): (&str, &JsonValue)| match v.as_str().and_then(&read) {
            Some(value) => Ok((name.to_string(), value)),
            None => Err(inner.bad(name, expected)),
        };
        there.map(one).collect()
    }
}

fn whole_words(unit: &str, most: u64) -> String {
    let of = if unit.is_empty() { String::new() } else { format!(" of {unit}") };
    match most {
        MOST => format!("a whole number{of}"),
        _ => format!("a whole number{of} up to {most}"),
    }
}
