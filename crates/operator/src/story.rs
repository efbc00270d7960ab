//! What the processes' logs say about one request, and why requests failed.
//!
//! Lines are JSON as the processes write them; whatever a collector put before
//! the object is kept as the origin of the line.

use std::{collections::BTreeMap, fmt::Write as _};

use serde_json::{Map, Value};

use kernel::event::Event;

/// Time before and after a request in which other events are shown with it, in seconds.
const CONTEXT_SECONDS: f64 = 2.0;
/// Events that say what a process believed, shown around a request.
const CONTEXT_EVENTS: [Event; 9] = [
    Event::Start,
    Event::Stop,
    Event::Reload,
    Event::Configuration,
    Event::Server,
    Event::ServerGone,
    Event::DependencyLost,
    Event::DependencyRegained,
    Event::PeerCopy,
];
/// Events that end a request without a success.
const FAILURES: [Event; 3] = [Event::Refused, Event::Broken, Event::Ended];
/// Outcome of a request that ended well.
const COMPLETE: &str = "complete";

/// One line of a log.
#[derive(Clone, Debug)]
pub struct Line {
    /// What stood before the JSON object.
    pub origin: String,
    /// As written: RFC 3339, so that text order is time order.
    pub timestamp: String,
    pub message: String,
    pub fields: Map<String, Value>,
}

/// Reads the lines that hold a JSON object; others are passed over.
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
        timestamp: text(&object, "timestamp").to_owned(),
        message: text(&object, "message").to_owned(),
        fields,
    })
}

/// The story of a request over all processes, in order; empty when nobody mentions it.
pub fn trace(lines: &[Line], request: &str) -> String {
    let own: Vec<&Line> = lines.iter().filter(|line| line.field("request") == request).collect();
    let Some(first) = own.iter().map(|line| line.seconds()).reduce(f64::min) else {
        return String::new();
    };
    let last = own.iter().map(|line| line.seconds()).fold(first, f64::max);
    let servers: Vec<&str> =
        own.iter().map(|line| line.field("server")).filter(|server| !server.is_empty()).collect();
    let is_near = |line: &Line| {
        let span = first - CONTEXT_SECONDS..=last + CONTEXT_SECONDS;
        span.contains(&line.seconds())
    };
    let is_context = |line: &Line| {
        let server = line.field("server");
        let concerns = server.is_empty() || servers.contains(&server);
        line.is_one_of(&CONTEXT_EVENTS) && concerns && is_near(line)
    };
    let mut story: Vec<&Line> =
        lines.iter().filter(|line| line.field("request") == request || is_context(line)).collect();
    story.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let mut printed = String::new();
    for line in story {
        let mark = if line.field("request") == request { "*" } else { " " };
        let _in_memory = writeln!(printed, "{mark} {}", line.shown());
    }
    printed
}

/// How often requests failed for which cause, with an example of each.
pub fn causes(lines: &[Line]) -> String {
    let mut counts: BTreeMap<(&str, String), (usize, &str)> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.is_failure()) {
        let parts = ["status", "reason", "outcome"].into_iter();
        let cause: Vec<String> =
            parts.filter_map(|name| line.fields.get(name)).map(plain).collect();
        let cause = if cause.is_empty() { line.message.clone() } else { cause.join(" ") };
        let count = counts.entry((line.field("event"), cause)).or_default();
        count.0 += 1;
        count.1 = line.field("request");
    }
    let mut sorted: Vec<_> = counts.into_iter().collect();
    sorted.sort_by_key(|(_, (count, _))| std::cmp::Reverse(*count));
    let mut printed = String::new();
    for ((event, cause), (count, example)) in sorted {
        let _in_memory = writeln!(printed, "{count:>6}  {event:<8}  {cause}  (as {example})");
    }
    printed
}

impl Line {
    /// A field as text; empty when there is none.
    pub fn field(&self, name: &str) -> &str {
        text(&self.fields, name)
    }

    fn is_one_of(&self, events: &[Event]) -> bool {
        events.iter().any(|event| event.name() == self.field("event"))
    }

    fn is_failure(&self) -> bool {
        self.is_one_of(&FAILURES) && self.field("outcome") != COMPLETE
    }

    /// Seconds within the day, for comparing times that are close.
    fn seconds(&self) -> f64 {
        let time = self.timestamp.split('T').nth(1).unwrap_or_default();
        let parts = time.split([':', '+', '-', 'Z']).take(3);
        parts.fold(0.0, |sum, part| sum * 60.0 + part.parse::<f64>().unwrap_or(0.0))
    }

    fn shown(&self) -> String {
        let mut shown = format!("{} {} {}", self.timestamp, self.origin, self.message);
        for (name, value) in &self.fields {
            if name != "request" {
                let _in_memory = write!(shown, " {name}={}", plain(value));
            }
        }
        shown
    }
}

fn text<'a>(fields: &'a Map<String, Value>, name: &str) -> &'a str {
    fields.get(name).and_then(Value::as_str).unwrap_or_default()
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
