//! HTTP/1.1 over blocking sockets: heads, bodies and chunks.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head of a request or a response, with header names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns a value of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.path().split_once('?')?.1;
        query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|it| it.1)
    }
}

/// Connection with what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffered: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _best_effort = stream.set_nodelay(true);
        Connection { stream, buffered: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 8192];
        let length = self.stream.read(&mut chunk)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffered.extend_from_slice(&chunk[..length]);
        Ok(())
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        let end = loop {
            if let Some(end) = self.buffered.windows(4).position(|it| it == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buffered[..end]).into_owned();
        self.buffered.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let mut head = Head { line: lines.next().unwrap_or("").to_owned(), ..Head::default() };
        for (name, value) in lines.filter_map(|it| it.split_once(':')) {
            head.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        Ok(head)
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffered.len() < length {
            self.fill()?;
        }
        Ok(self.buffered.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffered.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffered[..end]).into_owned();
                self.buffered.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads the next chunk of a body; empty at its end.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let length = usize::from_str_radix(self.read_line()?.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.read_exact(length)?;
        self.read_line()?;
        Ok(chunk)
    }

    /// Reads the body of a request or a response with a length or chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").contains("chunked") {
            let mut body = Vec::new();
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        self.read_exact(head.get("content-length").parse().unwrap_or(0))
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    pub fn write_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Returns whether the other side has closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let _best_effort = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _best_effort = self.stream.set_nonblocking(false);
        match peeked {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
