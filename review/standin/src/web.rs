//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, OnceLock},
    thread,
    time::Duration,
};

/// A name of the users' pages, from names.txt.
pub fn name(key: &str) -> &'static str {
    static NAMES: OnceLock<BTreeMap<&'static str, &'static str>> = OnceLock::new();
    let names = NAMES.get_or_init(|| {
        let lines = include_str!("../names.txt").lines();
        lines.filter_map(|line| line.split_once('=')).collect()
    });
    names.get(key).copied().expect("names.txt has the name")
}

#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// By name in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, key: &str) -> String {
        let header = self.headers.get(&name(key).to_ascii_lowercase());
        header.cloned().unwrap_or_default()
    }

    pub fn argument(&self, key: &str) -> String {
        self.query.get(key).cloned().unwrap_or_default()
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((header, value)) = line.split_once(':') {
            headers.insert(header.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads one chunk of a chunked body; empty at the end.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> io::Result<Vec<u8>> {
    if headers
        .get("transfer-encoding")
        .is_some_and(|coding| coding == "chunked")
    {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn decode_query(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        let hex = tail
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        match hex.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query
        .map(|(key, value)| (key.to_owned(), decode_query(value)))
        .collect();
    let path = path.to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Request {
        path,
        query,
        headers,
        body,
    })
}

/// Handles a request and writes the response; an error closes the connection.
pub type Handler = dyn Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// Serves the connections of a listener on threads until the process ends. `accepts` is asked for
/// each connection and each request; false closes it.
pub fn serve(
    listener: TcpListener,
    accepts: impl Fn() -> bool + Send + Sync + 'static,
    handler: impl Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let accepts = Arc::new(accepts);
    let handler: Arc<Handler> = Arc::new(handler);
    thread::spawn(move || {
        listener
            .set_nonblocking(true)
            .expect("a listener can be polled");
        while accepts() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let handler = Arc::clone(&handler);
            let accepts = Arc::clone(&accepts);
            thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(request) = read_request(&mut reader) {
                    if !accepts() || handler(&request, &mut writer).is_err() {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (header, value) in headers {
        text += &format!("{header}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// True when the body ended as its framing says.
    pub whole: bool,
}

/// Sends a request on a new connection and reads the answer; none without the head of one.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    writer
        .write_all(format!("{head}{length}\r\n").as_bytes())
        .ok()?;
    writer.write_all(body).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let mut body = Vec::new();
    let mut whole = false;
    if headers.contains_key("transfer-encoding") {
        while let Ok(chunk) = read_chunk(&mut reader) {
            if chunk.is_empty() {
                whole = true;
                break;
            }
            body.extend(chunk);
        }
    } else if let Ok(bytes) = read_body(&mut reader, &headers) {
        body = bytes;
        whole = true;
    }
    Some(Answer {
        status,
        headers,
        body,
        whole,
    })
}
