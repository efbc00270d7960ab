//! A YAML document that is read key by key and remembers every problem.

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

/// One mapping of the document.
#[derive(Debug)]
pub struct Section<'a> {
    path: String,
    map: Option<&'a Map<String, Value>>,
    /// The file has something else in this place.
    is_broken: bool,
    read: RefCell<BTreeSet<String>>,
    problems: &'a RefCell<Vec<Problem>>,
}

impl Document {
    /// Parses YAML text.
    ///
    /// # Errors
    ///
    /// [`Error::Syntax`] names the place.
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

    /// Reads the whole document by `read`; all its problems come back at once.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] lists every problem.
    pub fn read<T>(&self, read: impl FnOnce(&Section<'_>) -> T) -> Result<T, Error> {
        let section = Section::new(String::new(), self.root.as_object(), &self.problems);
        if !self.root.is_object() {
            section.report("", &self.root, "a mapping", "write `key: value` lines");
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
        Section { path, map, is_broken: false, read: RefCell::default(), problems }
    }

    /// A whole number in `range`.
    pub fn number(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(value) = self.get(key) else { return default };
        let number = value.as_u64().filter(|number| range.contains(number));
        number.unwrap_or_else(|| {
            let allowed = format!("a whole number from {} to {}", range.start(), range.end());
            self.report(
                key,
                value,
                allowed,
                format!("set it within the range; {default} is usual"),
            );
            default
        })
    }

    /// A duration given in milliseconds, within `range`.
    pub fn milliseconds(&self, key: &str, range: RangeInclusive<u64>, default: u64) -> Duration {
        Duration::from_millis(self.number(key, range, default))
    }

    /// Text that must be given.
    pub fn text(&self, key: &str) -> Arc<str> {
        let text = self.optional_text(key);
        self.require(key, "text");
        text.unwrap_or_else(|| Arc::from(""))
    }

    /// Text that may be left out.
    pub fn optional_text(&self, key: &str) -> Option<Arc<str>> {
        let value = self.get(key)?;
        let text = value.as_str().filter(|text| !text.is_empty());
        if text.is_none() {
            self.report(key, value, "text that is not empty", "write it in quotes");
        }
        text.map(Arc::from)
    }

    /// An IP address with a port that must be given.
    pub fn address(&self, key: &str) -> SocketAddr {
        let address = self.optional_address(key);
        self.require(key, ADDRESS);
        address.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// An IP address with a port that may be left out.
    pub fn optional_address(&self, key: &str) -> Option<SocketAddr> {
        let value = self.get(key)?;
        let address = value.as_str().and_then(|text| SocketAddr::from_str(text).ok());
        if address.is_none() {
            self.report(key, value, ADDRESS, "use numbers; host names are not resolved");
        }
        address
    }

    /// A path that must be given.
    pub fn path(&self, key: &str) -> PathBuf {
        PathBuf::from(&*self.text(key))
    }

    /// One of a few words.
    pub fn choice(
        &self,
        key: &str,
        allowed: &[&'static str],
        default: &'static str,
    ) -> &'static str {
        let Some(value) = self.get(key) else { return default };
        let found = value.as_str().and_then(|text| allowed.iter().find(|word| **word == text));
        found.copied().unwrap_or_else(|| {
            self.report(
                key,
                value,
                allowed.join(", "),
                format!("choose one; `{default}` is usual"),
            );
            default
        })
    }

    /// A nested mapping; an absent one reads as empty.
    pub fn section(&self, key: &str) -> Section<'a> {
        let value = self.get(key);
        let broken = value.filter(|value| !value.is_object());
        if let Some(value) = broken {
            self.report(key, value, "a mapping", "indent `key: value` lines under it");
        }
        let map = value.and_then(Value::as_object);
        let mut section = Section::new(self.path_of(key), map, self.problems);
        section.is_broken = broken.is_some();
        section
    }

    /// A list of mappings; an absent one reads as empty.
    pub fn sections(&self, key: &str) -> Vec<Section<'a>> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(items) = value.as_array() else {
            self.report(key, value, "a list", "write one `- ` line an item");
            return Vec::new();
        };
        let items = items.iter().enumerate();
        let path = |index: usize| format!("{}[{index}]", self.path_of(key));
        items
            .map(|(index, item)| Section::new(path(index), item.as_object(), self.problems))
            .collect()
    }

    /// Whether a key is there.
    pub fn has(&self, key: &str) -> bool {
        self.map.is_some_and(|map| map.contains_key(key))
    }

    /// Adds a problem that spans several keys.
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

    fn get(&self, key: &str) -> Option<&'a Value> {
        self.read.borrow_mut().insert(key.to_owned());
        self.map?.get(key).filter(|value| !value.is_null())
    }

    /// Nothing is said of the keys of a section that is no mapping itself.
    fn require(&self, key: &str, allowed: &str) {
        let is_missing = self.map.is_none_or(|map| map.get(key).is_none_or(Value::is_null));
        if is_missing && !self.is_broken {
            self.reject(key, "nothing", allowed, "add the key");
        }
    }

    fn report(&self, key: &str, value: &Value, allowed: impl Display, remedy: impl Display) {
        self.reject(key, value, allowed, remedy);
    }

    fn path_of(&self, key: &str) -> String {
        match (self.path.is_empty(), key.is_empty()) {
            (true, true) => "(whole file)".to_owned(),
            (true, false) => key.to_owned(),
            (false, true) => self.path.clone(),
            (false, false) => format!("{}.{key}", self.path),
        }
    }
}

const ADDRESS: &str = "an IP address with a port, as in 127.0.0.1:8080";

/// Keys that nobody asked for are problems.
impl Drop for Section<'_> {
    fn drop(&mut self) {
        let Some(map) = self.map else { return };
        let read = self.read.take();
        for (key, value) in map.iter().filter(|(key, _)| !read.contains(*key)) {
            let known: Vec<_> = read.iter().map(String::as_str).collect();
            self.report(key, value, known.join(", "), "remove the unknown key or correct its name");
        }
    }
}
