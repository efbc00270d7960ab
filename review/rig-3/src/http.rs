//! HTTP/1.1 as far as the stand-ins need it, with blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head of a message: first line and headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

/// A request with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

/// What a client has got as the answer to a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was no head.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer looks complete by its framing.
    pub is_complete: bool,
    /// How the answer ended.
    pub end: String,
    /// Time from the last byte of the request to the end.
    pub took: Duration,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.get("x-chivelatch-request-id").unwrap_or("")
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads bytes that were received beyond what was asked for, and then the socket.
pub struct Reader {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Reader {
    pub fn new(stream: &TcpStream) -> io::Result<Reader> {
        Ok(Reader { stream: stream.try_clone()?, rest: Vec::new() })
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 65536];
        let count = self.stream.read(&mut bytes)?;
        self.rest.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..count).collect())
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let mut head = Head { line: self.line()?, headers: Vec::new() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a whole request.
    pub fn request(&mut self) -> io::Result<Request> {
        let head = self.head()?;
        let length = head.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let body = if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            while !self.chunk(&mut body)? {}
            body
        } else {
            self.exact(length)?
        };
        Ok(Request { head, body })
    }

    /// Reads a chunk. Returns whether it was the last one.
    fn chunk(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        let size = self.line()?;
        let size = size.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
        let bytes = self.exact(size)?;
        body.extend_from_slice(&bytes);
        self.line()?;
        Ok(size == 0)
    }

    /// Waits until the peer closes the channel.
    pub fn wait_for_close(&mut self) {
        while self.fill().is_ok_and(|count| 0 < count) {}
    }

    /// Reads an answer to its end; `on_part` is called with the body after each part of it.
    pub fn answer(&mut self, on_part: &mut dyn FnMut(&[u8])) -> Answer {
        let started = Instant::now();
        let mut answer = Answer::default();
        let outcome = self.answer_into(&mut answer, on_part);
        answer.is_complete = outcome.is_ok();
        answer.end = match outcome {
            Ok(end) => end.to_owned(),
            Err(error) => format!("broken off: {:?}", error.kind()),
        };
        answer.took = started.elapsed();
        answer
    }

    fn answer_into(
        &mut self,
        answer: &mut Answer,
        on_part: &mut dyn FnMut(&[u8]),
    ) -> io::Result<&'static str> {
        answer.head = self.head()?;
        let status = answer.head.line.split(' ').nth(1).and_then(|it| it.parse().ok());
        answer.status = status.unwrap_or(0);
        on_part(&answer.body);
        if answer.head.get("transfer-encoding").is_some() {
            while !self.chunk(&mut answer.body)? {
                on_part(&answer.body);
            }
            return Ok("last chunk");
        }
        if let Some(length) = answer.head.get("content-length") {
            let length: usize = length.parse().map_err(io::Error::other)?;
            while answer.body.len() < length {
                if self.rest.is_empty() && self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let count = self.rest.len().min(length - answer.body.len());
                answer.body.extend(self.rest.drain(..count));
                on_part(&answer.body);
            }
            return Ok("length");
        }
        loop {
            answer.body.append(&mut self.rest);
            on_part(&answer.body);
            if self.fill()? == 0 {
                return Ok("close");
            }
        }
    }
}

/// Sends a request on a new channel and reads the answer, each read within `patience`.
pub fn call(address: SocketAddr, request: &[u8], patience: Duration) -> Answer {
    let sent = TcpStream::connect_timeout(&address, Duration::from_secs(1)).and_then(|stream| {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        (&stream).write_all(request)?;
        Reader::new(&stream)
    });
    match sent {
        Ok(mut reader) => reader.answer(&mut |_| {}),
        Err(error) => Answer { end: format!("not sent: {error}"), ..Answer::default() },
    }
}
