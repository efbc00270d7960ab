//! YAML document that is read key by key and collects all problems.
//!
//! The getters of [`Section`] never fail: on a problem they record it and return a
//! default or an empty value, so that one pass over the file finds every problem.
//! [`Document::read`] then returns the problems instead of the values.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    fmt::Display,
    fs,
    net::SocketAddr,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use serde_json::{Map, Value};
use snafu::ResultExt as _;

use crate::problem::{self, Error, Problem};

/// A parsed settings file.
#[derive(Debug)]
pub struct Document {
    root: Value,
    problems: RefCell<Vec<Problem>>,
}

/// Mapping of the document. Its getters record the keys that they read; on drop, each key
/// that was not read is reported as unknown.
#[derive(Debug)]
pub struct Section<'a> {
    path: String,
    map: Option<&'a Map<String, Value>>,
    /// Set for a nested section whose value is not a mapping, which is already reported.
    is_malformed: bool,
    read_keys: RefCell<BTreeSet<String>>,
    problems: &'a RefCell<Vec<Problem>>,
}

impl Document {
    /// Parses YAML text.
    ///
    /// # Errors
    ///
    /// [`Error::Syntax`] with the line and column.
    pub fn parse(text: &str) -> Result<Document, Error> {
        let root = serde_saphyr::from_str(text)
            .map_err(|error| Error::Syntax { reason: error.to_string() })?;
        Ok(Document { root, problems: RefCell::default() })
    }

    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// [`Error::Read`] or [`Error::Syntax`].
    pub fn open(path: &Path) -> Result<Document, Error> {
        let text = fs::read_to_string(path).context(problem::ReadSnafu { path })?;
        Document::parse(&text)
    }

    /// Reads the document with `read`, which gets the root section.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with all problems that were found.
    pub fn read<T>(&self, read: impl FnOnce(&Section<'_>) -> T) -> Result<T, Error> {
        let section = Section::new(String::new(), self.root.as_object(), &self.problems);
        if !self.root.is_object() {
            section.reject_value("", &self.root, "a mapping", "write `key: value` lines");
        }
        let value = read(&section);
        drop(section);
        let problems = self.problems.take();
        if problems.is_empty() { Ok(value) } else { Err(Error::Invalid { problems }) }
    }
}

impl<'a> Section<'a> {
    fn new(
        path: String,
        map: Option<&'a Map<String, Value>>,
        problems: &'a RefCell<Vec<Problem>>,
    ) -> Section<'a> {
        Section { path, map, is_malformed: false, read_keys: RefCell::default(), problems }
    }

    /// Returns an integer in `range`.
    pub fn number(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(value) = self.get(key) else { return default };
        let number = value.as_u64().filter(|number| range.contains(number));
        number.unwrap_or_else(|| {
            let allowed = format!("an integer from {} to {}", range.start(), range.end());
            self.reject_value(
                key,
                value,
                allowed,
                format!("set it within the range; the default is {default}"),
            );
            default
        })
    }

    /// Returns a duration; the value, `range` and `default` are in milliseconds.
    pub fn milliseconds(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> Duration {
        Duration::from_millis(self.number(key, range, default))
    }

    /// Returns a non-empty text; reports a missing key.
    pub fn text(&self, key: &str) -> Arc<str> {
        let text = self.optional_text(key);
        self.require(key, "text");
        text.unwrap_or_else(|| Arc::from(""))
    }

    /// Returns a non-empty text if the key is present.
    pub fn optional_text(&self, key: &str) -> Option<Arc<str>> {
        let value = self.get(key)?;
        let text = value.as_str().filter(|text| !text.is_empty());
        if text.is_none() {
            self.reject_value(key, value, "non-empty text", "write it in quotes");
        }
        text.map(Arc::from)
    }

    /// Returns an IP address with a port; reports a missing key.
    pub fn address(&self, key: &str) -> SocketAddr {
        let address = self.optional_address(key);
        self.require(key, ADDRESS_DESCRIPTION);
        address.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Returns an IP address with a port if the key is present.
    pub fn optional_address(&self, key: &str) -> Option<SocketAddr> {
        let value = self.get(key)?;
        let address = value.as_str().and_then(|text| SocketAddr::from_str(text).ok());
        if address.is_none() {
            self.reject_value(
                key,
                value,
                ADDRESS_DESCRIPTION,
                "use a numeric address; host names are not resolved",
            );
        }
        address
    }

    /// Returns a path; reports a missing key.
    pub fn path(&self, key: &str) -> PathBuf {
        PathBuf::from(&*self.text(key))
    }

    /// Returns one of the words in `allowed`.
    pub fn choice(
        &self,
        key: &str,
        allowed: &[&'static str],
        default: &'static str,
    ) -> &'static str {
        let Some(value) = self.get(key) else { return default };
        let found = value.as_str().and_then(|text| allowed.iter().find(|word| **word == text));
        found.copied().unwrap_or_else(|| {
            self.reject_value(
                key,
                value,
                allowed.join(", "),
                format!("choose one; the default is `{default}`"),
            );
            default
        })
    }

    /// Returns a nested mapping; an absent one is empty.
    pub fn section(&self, key: &str) -> Section<'a> {
        let value = self.get(key);
        let malformed = value.filter(|value| !value.is_object());
        if let Some(value) = malformed {
            self.reject_value(key, value, "a mapping", "indent `key: value` lines under it");
        }
        let map = value.and_then(Value::as_object);
        let mut section = Section::new(self.path_of(key), map, self.problems);
        section.is_malformed = malformed.is_some();
        section
    }

    /// Returns the mappings of a list; an absent list is empty.
    pub fn sections(&self, key: &str) -> Vec<Section<'a>> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(items) = value.as_array() else {
            self.reject_value(key, value, "a list", "write one `- ` line per item");
            return Vec::new();
        };
        let items = items.iter().enumerate();
        let path = |index: usize| format!("{}[{index}]", self.path_of(key));
        items.map(|(index, item)| self.item(path(index), item)).collect()
    }

    fn item(&self, path: String, item: &'a Value) -> Section<'a> {
        let mut section = Section::new(path, item.as_object(), self.problems);
        if !item.is_object() {
            section.reject_value("", item, "a mapping", "write `key: value` lines under the `- `");
            section.is_malformed = true;
        }
        section
    }

    /// Returns whether the key is present. Does not count as a read of the key.
    pub fn has(&self, key: &str) -> bool {
        self.map.is_some_and(|map| map.contains_key(key))
    }

    /// Records a problem of `key`, such as a value that contradicts another key.
    pub fn reject(
        &self,
        key: &str,
        found: impl Display,
        allowed: impl Display,
        remedy: impl Display,
    ) {
        self.problems.borrow_mut().push(Problem {
            path: self.path_of(key),
            found: found.to_string(),
            allowed: allowed.to_string(),
            remedy: remedy.to_string(),
        });
    }

    /// Returns the value of `key` and records the read; null counts as absent.
    fn get(&self, key: &str) -> Option<&'a Value> {
        self.read_keys.borrow_mut().insert(key.to_owned());
        self.map?.get(key).filter(|value| !value.is_null())
    }

    /// Reports `key` if it is missing, unless the section itself was reported as malformed.
    fn require(&self, key: &str, allowed: &str) {
        let is_missing = self.map.is_none_or(|map| map.get(key).is_none_or(Value::is_null));
        if is_missing && !self.is_malformed {
            self.reject(key, "nothing", allowed, "add the key");
        }
    }

    /// Records a problem of `key` with its value in the file.
    fn reject_value(&self, key: &str, value: &Value, allowed: impl Display, remedy: impl Display) {
        self.reject(key, value, allowed, remedy);
    }

    /// Returns the path of `key` in the file; an empty key stands for the section itself.
    fn path_of(&self, key: &str) -> String {
        match (self.path.is_empty(), key.is_empty()) {
            (true, true) => "(whole file)".to_owned(),
            (true, false) => key.to_owned(),
            (false, true) => self.path.clone(),
            (false, false) => format!("{}.{key}", self.path),
        }
    }
}

/// Description of the allowed values of an address key.
const ADDRESS_DESCRIPTION: &str = "an IP address with a port, as in 127.0.0.1:8080";

/// Reports keys that were not read, which are unknown to the program.
impl Drop for Section<'_> {
    fn drop(&mut self) {
        let Some(map) = self.map else { return };
        let read_keys = self.read_keys.take();
        for (key, value) in map.iter().filter(|(key, _)| !read_keys.contains(*key)) {
            let known: Vec<_> = read_keys.iter().map(String::as_str).collect();
            self.reject_value(
                key,
                value,
                known.join(", "),
                "remove the unknown key or correct its name",
            );
        }
    }
}
