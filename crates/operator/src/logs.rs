//! Analysis of the processes' logs: the events of one request, and the causes of failed requests.
//!
//! A process writes each line as a JSON object. Text that a log collector puts before the object,
//! such as the name of the process, is kept as the origin of the line.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
};

use jiff::Timestamp;
use serde_json::{Map, Value};

use kernel::event::Event;

/// Time before the first and after the last line of a request in which context events are shown.
const CONTEXT_SECONDS: f64 = 2.0;
/// Events that show what a process knew about the fleet, printed as context of a request.
const CONTEXT_EVENTS: [Event; 13] = [
    Event::Start,
    Event::Stop,
    Event::Reload,
    Event::Configuration,
    Event::Server,
    Event::ServerGone,
    Event::DependencyLost,
    Event::DependencyRegained,
    Event::PeerCopy,
    Event::StoreRestored,
    Event::StoreReturned,
    Event::Leaving,
    Event::Pause,
];
/// Events that tell why a request is in quarantine, shown whenever they happened.
const EVIDENCE_EVENTS: [Event; 4] = [Event::Suspect, Event::Crash, Event::Trial, Event::Cleared];
/// Events that count as a failed request, unless their outcome is [`COMPLETE`].
const FAILURE_EVENTS: [Event; 3] = [Event::Refused, Event::Broken, Event::Ended];
/// Outcome of a successful request.
const COMPLETE: &str = "complete";

/// A log line.
#[derive(Clone, Debug)]
pub struct Line {
    /// Text before the JSON object.
    pub origin: String,
    /// Time as written by the process, in RFC 3339, so that text order is time order.
    pub timestamp: String,
    pub message: String,
    /// Key-value pairs of the line, `kvs` in the JSON object.
    pub fields: Map<String, Value>,
}

/// Parses the lines that contain a JSON object and skips the others.
pub fn parse(text: &str) -> Vec<Line> {
    text.lines().filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let mut object: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let fields = match object.remove("kvs") {
        Some(Value::Object(fields)) => fields,
        _ => Map::new(),
    };
    Some(Line {
        origin: line[..start].trim().to_owned(),
        timestamp: text_field(&object, "timestamp").to_owned(),
        message: text_field(&object, "message").to_owned(),
        fields,
    })
}

/// Returns the lines of a request from all processes, marked with `*`, in time order, together with
/// the context events that concern its servers or no particular server, and what speaks against all
/// requests with the same fingerprint, or with an attribute for which it was rejected. The text is empty if no line has the request.
pub fn trace(lines: &[Line], request: &str) -> String {
    let request_lines: Vec<&Line> =
        lines.iter().filter(|line| line.field("request") == request).collect();
    let Some(first) = request_lines.iter().map(|line| line.seconds()).reduce(f64::min) else {
        return String::new();
    };
    let last = request_lines.iter().map(|line| line.seconds()).fold(first, f64::max);
    let servers: Vec<&str> = request_lines
        .iter()
        .map(|line| line.field("server"))
        .filter(|server| !server.is_empty())
        .collect();
    let is_near = |line: &Line| {
        let span = first - CONTEXT_SECONDS..=last + CONTEXT_SECONDS;
        span.contains(&line.seconds())
    };
    let is_context = |line: &Line| {
        let server = line.field("server");
        let is_related = server.is_empty() || servers.contains(&server);
        line.is_one_of(&CONTEXT_EVENTS) && is_related && is_near(line)
    };
    let fingerprints: BTreeSet<&str> = request_lines
        .iter()
        .map(|line| line.field("fingerprint"))
        .filter(|fingerprint| !fingerprint.is_empty())
        .collect();
    // A request may be rejected for attributes that it has in common with others.
    let rejections = request_lines.iter().filter(|line| line.is_one_of(&[Event::Quarantine]));
    let blamed: BTreeSet<&str> = rejections.flat_map(|line| line.words("attributes")).collect();
    let is_evidence = |line: &Line| {
        let mut named = line.words("fingerprints").chain([line.field("fingerprint")]);
        let is_named = named.any(|name| fingerprints.contains(name));
        let is_blamed = line.words("attributes").any(|name| blamed.contains(name));
        line.is_one_of(&EVIDENCE_EVENTS) && (is_named || is_blamed)
    };
    let is_selected =
        |line: &&Line| line.field("request") == request || is_context(line) || is_evidence(line);
    let mut selected: Vec<&Line> = lines.iter().filter(is_selected).collect();
    selected.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let mut output = String::new();
    for line in selected {
        let is_own = line.field("request") == request;
        let mark = if is_own { "*" } else { " " };
        let _infallible = writeln!(output, "{mark} {}", line.format(!is_own));
    }
    output
}

/// Returns one line for each cause of failed requests, most frequent first: the number of
/// failures, the event, the cause and the id of an example request.
pub fn causes(lines: &[Line]) -> String {
    let mut counts: BTreeMap<(&str, String), (usize, &str)> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.is_failure()) {
        let parts = ["status", "reason", "outcome"].into_iter();
        let cause: Vec<String> =
            parts.filter_map(|name| line.fields.get(name)).map(value_text).collect();
        let cause = if cause.is_empty() { line.message.clone() } else { cause.join(" ") };
        let count = counts.entry((line.field("event"), cause)).or_default();
        count.0 += 1;
        count.1 = line.field("request");
    }
    let mut sorted: Vec<_> = counts.into_iter().collect();
    sorted.sort_by_key(|(_, (count, _))| std::cmp::Reverse(*count));
    let mut output = String::new();
    for ((event, cause), (count, example)) in sorted {
        let _infallible = writeln!(output, "{count:>6}  {event:<8}  {cause}  (as {example})");
    }
    output
}

impl Line {
    /// Returns a text field, or an empty string if the line has no text field of this name.
    pub fn field(&self, name: &str) -> &str {
        text_field(&self.fields, name)
    }

    fn words(&self, name: &str) -> impl Iterator<Item = &str> {
        self.field(name).split(' ').filter(|word| !word.is_empty())
    }

    fn is_one_of(&self, events: &[Event]) -> bool {
        events.iter().any(|event| event.name() == self.field("event"))
    }

    fn is_failure(&self) -> bool {
        self.is_one_of(&FAILURE_EVENTS) && self.field("outcome") != COMPLETE
    }

    /// Returns the seconds since the Unix epoch, or 0 if the time cannot be parsed.
    fn seconds(&self) -> f64 {
        let time = self.timestamp.parse::<Timestamp>();
        time.map_or(0.0, |time| time.as_duration().as_secs_f64())
    }

    fn format(&self, has_request: bool) -> String {
        let mut text = format!("{} {} {}", self.timestamp, self.origin, self.message);
        for (name, value) in &self.fields {
            if name != "request" || has_request {
                let _infallible = write!(text, " {name}={}", value_text(value));
            }
        }
        text
    }
}

fn text_field<'a>(fields: &'a Map<String, Value>, name: &str) -> &'a str {
    fields.get(name).and_then(Value::as_str).unwrap_or_default()
}

fn value_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
