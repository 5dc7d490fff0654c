//! HTTP/1.1 over TCP: reading requests, writing answers, and a plain client.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug, Clone)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let named = |header: &&(String, String)| header.0.eq_ignore_ascii_case(name);
    headers.iter().find(named).map(|header| header.1.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        for pair in query.split('&') {
            let (key, value) = pair.split_once('=')?;
            if key == name {
                return Some(decode(value));
            }
        }
        None
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let raw = text.as_bytes();
    let mut at = 0;
    while at < raw.len() {
        if raw[at] == b'%' && at + 2 < raw.len() {
            let code = std::str::from_utf8(&raw[at + 1..at + 3]).unwrap_or("3f");
            bytes.push(u8::from_str_radix(code, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            bytes.push(raw[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

/// Reads a chunk; none at the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let Some(line) = read_line(reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let size = line.split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = [0; 2];
    reader.read_exact(&mut end)?;
    Ok((size > 0).then_some(chunk))
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    to_end: bool,
) -> io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
        return Ok(body);
    }
    if let Some(length) = find(headers, "content-length") {
        let mut body = vec![0; length.parse().map_err(io::Error::other)?];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if to_end {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Reads a request; none when the connection ends before one.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Ok(Some(Request {
        target,
        headers,
        body,
    }))
}

/// Reads the status and the headers of an answer.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<(u16, Vec<(String, String)>)> {
    let Some(line) = read_line(reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status line"))?;
    Ok((status, read_headers(reader)?))
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Accepts connections and serves each in a thread of its own.
pub fn serve(listener: TcpListener, handle: Arc<dyn Fn(TcpStream) + Send + Sync>) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

/// Opens a connection for a client that waits `wait` for bytes.
pub fn connect(address: SocketAddr, wait: Duration) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    Ok(BufReader::new(stream))
}

pub fn send_request(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Answer> {
    let mut reader = connect(address, wait)?;
    send_request(reader.get_mut(), method, target, headers, body)?;
    let (status, headers) = read_head(&mut reader)?;
    read_body(&mut reader, &headers, true)?;
    Ok(Answer { status, headers })
}
