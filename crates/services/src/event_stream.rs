//! Event boundaries in a stream of server-sent events.
//!
//! An event ends with an empty line; a line ends with LF, CR or CRLF. What follows the last
//! empty line is an incomplete event, which no reader may use. A stream that ends there has been
//! broken off, however its response is framed. The format is that of the WHATWG HTML standard,
//! section "Server-sent events".

use bytes::{Bytes, BytesMut};

/// Finds the boundaries of events in a stream that arrives in chunks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scanner {
    line: Line,
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
    Field,
}

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
    /// or `None` if no event ends in it.
    pub fn feed(&mut self, chunk: &[u8]) -> Option<usize> {
        let mut end = None;
        for (position, byte) in chunk.iter().enumerate() {
            if self.feed_byte(*byte) {
                end = Some(position + 1);
            }
        }
        end
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
                if self.line == Line::Empty {
                    self.line = if byte == b':' { Line::Comment } else { Line::Field };
                }
                false
            }
        }
    }

    /// Returns whether the line that ends is empty, and thus ends an event.
    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        match line {
            Line::Comment => false,
            Line::Field => {
                self.has_fields = true;
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
