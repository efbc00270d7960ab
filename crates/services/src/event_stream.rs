//! Event boundaries in a stream of server-sent events.
//!
//! An event ends with an empty line; a line ends with LF, CR or CRLF. What follows the last
//! empty line is an incomplete event, which no reader may use. A stream that ends there has been
//! broken off, however its response is framed. The format is that of the WHATWG HTML standard,
//! section "Server-sent events", which lets readers ignore lines that are none of an event. A scanner tells
//! them, since a server's error message may follow its events: field names are lower-case here, and only
//! those of the standard may stand without a value.

use bytes::{Bytes, BytesMut};

/// Finds the boundaries of events in a stream that arrives in chunks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scanner {
    line: Line,
    /// Name of the current line's field, as far as it was read.
    name: FieldName,
    /// Whether a line was read that is none of an event.
    is_malformed: bool,
    /// Whether a field was read since the last event ended.
    has_fields: bool,
    /// Whether an event was read to its end.
    has_events: bool,
    /// Whether the last byte was a CR, so that a following LF belongs to the same line end.
    is_after_cr: bool,
}

/// What was read of the current line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    FieldName,
    FieldValue,
}

/// First bytes of a field's name.
#[derive(Clone, Copy, Debug, Default)]
struct FieldName {
    bytes: [u8; MAX_STANDARD_NAME],
    length: usize,
}

/// Fields of the standard.
const STANDARD_NAMES: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];
/// Length of the longest of them.
const MAX_STANDARD_NAME: usize = 5;

/// Splits a stream that arrives in chunks into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    scanner: Scanner,
    /// Start of an incomplete event.
    partial: BytesMut,
}

/// Returns the events of a part of a stream that begins and ends between events.
pub fn events(part: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut scanner = Scanner::default();
    part.split_inclusive(move |byte| scanner.feed_byte(*byte))
}

/// Returns the lines of an event that have a field, without the field's name and the space that
/// may follow it.
pub fn field<'a>(event: &'a [u8], name: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
    let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.filter_map(move |line| {
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}

impl Scanner {
    /// Reads the next chunk. Returns the length of its part up to the end of the last whole event,
    /// or `None` if no event ends in it. What follows a line that is none of an event is not counted.
    pub fn feed(&mut self, chunk: &[u8]) -> Option<usize> {
        let mut end = None;
        for (position, byte) in chunk.iter().enumerate() {
            if self.feed_byte(*byte) && !self.is_malformed {
                end = Some(position + 1);
            }
        }
        end
    }

    /// Returns whether the stream has contained a line that is none of an event.
    pub fn is_malformed(&self) -> bool {
        self.is_malformed
    }

    /// Returns whether the stream has begun an event, or a line of one, that has not ended yet.
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || self.line != Line::Empty
    }

    /// Returns whether the stream has contained a whole event.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Returns whether the stream is at the end of an event after `byte`.
    fn feed_byte(&mut self, byte: u8) -> bool {
        let ends_crlf = byte == b'\n' && self.is_after_cr;
        self.is_after_cr = byte == b'\r';
        match byte {
            b'\n' if ends_crlf => !self.is_inside_event(),
            b'\n' | b'\r' => self.end_line(),
            _ => {
                self.read_in_line(byte);
                false
            }
        }
    }

    fn read_in_line(&mut self, byte: u8) {
        match (self.line, byte) {
            (Line::Empty, b':') => self.line = Line::Comment,
            (Line::FieldName, b':') => self.line = Line::FieldValue,
            (Line::Empty | Line::FieldName, _) => {
                self.line = Line::FieldName;
                self.is_malformed |= !is_name_byte(byte);
                self.name.push(byte);
            }
            (Line::Comment | Line::FieldValue, _) => {}
        }
    }

    /// Returns whether the line that ends is empty, and thus ends an event.
    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        let name = std::mem::take(&mut self.name);
        match line {
            Line::Comment => false,
            Line::FieldName | Line::FieldValue => {
                self.has_fields = true;
                self.is_malformed |= line == Line::FieldName && !name.is_standard();
                false
            }
            Line::Empty => {
                self.has_events |= self.has_fields;
                self.has_fields = false;
                true
            }
        }
    }
}

impl FieldName {
    fn push(&mut self, byte: u8) {
        if let Some(free) = self.bytes.get_mut(self.length) {
            *free = byte;
        }
        self.length += 1;
    }

    fn is_standard(&self) -> bool {
        let bytes = self.bytes.get(..self.length);
        bytes.is_some_and(|bytes| STANDARD_NAMES.contains(&bytes))
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_')
}

impl Splitter {
    /// Appends a chunk and returns the events that are whole now.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        let end = self.scanner.feed(chunk).map(|end| self.partial.len() + end);
        self.partial.extend_from_slice(chunk);
        self.partial.split_to(end.unwrap_or(0)).freeze()
    }

    /// Returns the number of bytes after the last whole event.
    pub fn rest_len(&self) -> usize {
        self.partial.len()
    }

    /// Takes what follows the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }
}
