//! HTTP/1.1 messages over plain sockets, for stand-ins and clients.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head and body of a request that a stand-in received.
pub struct Request {
    pub target: String,
    /// Names are in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or("").to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if let Some(length) = headers.get("content-length").and_then(|it| it.parse().ok()) {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    } else if headers.contains_key("transfer-encoding") {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    }
    Ok(Some(Request { target, headers, body }))
}

/// Reads one chunk; `None` for the last one.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = line.split(';').next().unwrap_or("").trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    if size == 0 {
        read_headers(reader)?;
        return Ok(None);
    }
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(Some(chunk))
}

/// Writes a whole response.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Client's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

/// Head of a response that a client received.
pub struct Head {
    pub status: u16,
    pub headers: HashMap<String, String>,
}

impl Connection {
    /// Opens a connection; clients allow one second for this.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Connection { reader: BufReader::new(stream) })
    }

    pub fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.reader.get_ref().set_read_timeout(Some(timeout.max(Duration::from_millis(1))))
    }

    pub fn send(&mut self, request: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(request.as_bytes())
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        let line = read_line(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        Ok(Head { status, headers: read_headers(&mut self.reader)? })
    }

    /// Reads a body with a length.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.headers.contains_key("transfer-encoding") {
            let mut body = Vec::new();
            while let Some(chunk) = read_chunk(&mut self.reader)? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        let length = head.headers.get("content-length").and_then(|it| it.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }

    /// Reads the next chunk of a body in chunks; `None` at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        read_chunk(&mut self.reader)
    }
}
