//! Reads values from JSON objects. Unknown keys are ignored, absent ones and `null` have a default, and the error for an
//! invalid value names its key.

use serde_json::{Map, Value};

pub type Res<T> = Result<T, String>;

/// Formats a value for an error message, shortened to 60 characters.
pub fn show(value: Option<&Value>) -> String {
    let text = value.map_or_else(|| "nothing".into(), Value::to_string);
    if text.chars().count() > 60 { text.chars().take(60).chain("...".chars()).collect() } else { text }
}

/// An object and the path of keys that leads to it, which ends in a dot unless it is empty.
pub struct JsonObject<'a>(pub &'a Map<String, Value>, pub String);

impl<'a> JsonObject<'a> {
    /// The value of a key; `None` if it is absent or `null`.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.0.get(key).filter(|v| !v.is_null())
    }
    /// The error message for an invalid value.
    pub fn error(&self, key: &str, expected: &str) -> String {
        format!("{}{key}: expected {expected}, found {}", self.1, show(self.0.get(key)))
    }
    /// An integer; a number with a fraction is rounded down.
    pub fn u64(&self, key: &str) -> Res<u64> {
        let read = |v: &Value| v.as_u64().or_else(|| v.as_f64().filter(|f| *f >= 0.0).map(|f| f as u64));
        self.get(key).map_or(Ok(0), |v| read(v).ok_or_else(|| self.error(key, "a whole number")))
    }
    pub fn u32(&self, key: &str) -> Res<u32> {
        u32::try_from(self.u64(key)?).map_err(|_| self.error(key, "a whole number below 2^32"))
    }
    pub fn f64(&self, key: &str) -> Res<f64> {
        self.get(key).map_or(Ok(0.0), |v| v.as_f64().ok_or_else(|| self.error(key, "a number")))
    }
    pub fn bool(&self, key: &str) -> Res<bool> {
        self.get(key).map_or(Ok(false), |v| v.as_bool().ok_or_else(|| self.error(key, "true or false")))
    }
    pub fn string(&self, key: &str) -> Res<&'a str> {
        self.get(key).map_or(Ok(""), |v| v.as_str().ok_or_else(|| self.error(key, "a string")))
    }
    /// An inner object; empty if the key is absent.
    pub fn object(&self, key: &str) -> Res<JsonObject<'a>> {
        static EMPTY: std::sync::OnceLock<Map<String, Value>> = std::sync::OnceLock::new();
        let path = format!("{}{key}.", self.1);
        match self.get(key) {
            None => Ok(JsonObject(EMPTY.get_or_init(Map::new), path)),
            Some(v) => v.as_object().map(|m| JsonObject(m, path)).ok_or_else(|| self.error(key, "an object")),
        }
    }
    /// A list of objects.
    pub fn objects(&self, key: &str) -> Res<Vec<JsonObject<'a>>> {
        let Some(v) = self.get(key) else {
            return Ok(Vec::new());
        };
        let list = v.as_array().ok_or_else(|| self.error(key, "an array"))?;
        let one = |(n, v): (usize, &'a Value)| {
            v.as_object()
                .map(|m| JsonObject(m, format!("{}{key}[{n}].", self.1)))
                .ok_or_else(|| self.error(key, "objects"))
        };
        list.iter().enumerate().map(one).collect()
    }
    /// The `name` of each object in a list.
    pub fn names(&self, key: &str) -> Res<Vec<String>> {
        self.objects(key)?.iter().map(|f| f.string("name").map(str::to_string)).collect()
    }
    /// A list of strings.
    pub fn strings(&self, key: &str) -> Res<Vec<String>> {
        let Some(v) = self.get(key) else { return Ok(Vec::new()) };
        let list = v.as_array().ok_or_else(|| self.error(key, "an array"))?;
        list.iter()
            .map(|w| w.as_str().map(str::to_string).ok_or_else(|| self.error(key, "strings")))
            .collect()
    }
}
