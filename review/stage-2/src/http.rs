//! HTTP/1.1 over blocking sockets, as much as the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Largest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 256 * 1024;

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Returns the path of a request, with its query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns a parameter of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.path().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut total = 0;
    loop {
        let mut line = String::new();
        let length = reader.read_line(&mut line)?;
        total += length;
        if length == 0 {
            let is_clean = message.start.is_empty();
            return if is_clean { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        if MAX_HEAD_BYTES < total {
            return Err(io::Error::other("the head is too large"));
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if message.start.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks. `until_close` is for a response that states neither.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    until_close: bool,
) -> io::Result<()> {
    let chunked = message.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::other("no chunk size"))?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            let mut end = [0; 2];
            reader.read_exact(&mut end)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::Error::other("no length"))?;
        message.body.resize(length, 0);
        return reader.read_exact(&mut message.body);
    }
    if until_close {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Serves connections, each in a thread of its own, until the process ends. `handle` is called with each
/// request and the connection to write to; it returns whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(Message, &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ended = serve_connection(stream, handle);
            });
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    handle: impl Fn(Message, &mut TcpStream) -> io::Result<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(mut request) = read_head(&mut reader)? {
        read_body(&mut reader, &mut request, false)?;
        if !handle(request, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Writes a whole response.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a connection of its own and returns the whole response.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let response = read_head(&mut reader)?;
    let mut response = response.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut response, true)?;
    Ok(response)
}
