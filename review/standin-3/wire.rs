//! JSON, base64 and HTTP/1.1 as far as the stand-ins need them.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
};

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// The text of a number, so that large ones stay exact.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = JsonReader { bytes: text.as_bytes(), at: 0 };
        reader.value()
    }
}

struct JsonReader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl JsonReader<'_> {
    fn skip(&mut self) -> u8 {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied().unwrap_or(0)
    }
    fn value(&mut self) -> Option<Json> {
        match self.skip() {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                while self.skip() != b'}' {
                    let Json::Text(key) = self.value()? else { return None };
                    if self.skip() != b':' {
                        return None;
                    }
                    self.at += 1;
                    let value = self.value()?;
                    fields.insert(key, value);
                    if self.skip() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Object(fields))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.skip() != b']' {
                    items.push(self.value()?);
                    if self.skip() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(items))
            }
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.at < self.bytes.len() && b"+-.eE0123456789".contains(&self.bytes[self.at]) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                (!text.is_empty()).then(|| Json::Number(text.to_owned()))
            }
        }
    }
    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.at += word.len();
        (self.at <= self.bytes.len()).then_some(value)
    }
    fn text(&mut self) -> Option<String> {
        let mut bytes = Vec::new();
        self.at += 1;
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let code = u32::from_str_radix(hex, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                            bytes.extend_from_slice(text.as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut block = [0_u8; 3];
        block[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(block[0]) << 16 | u32::from(block[1]) << 8 | u32::from(block[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(char::from(ALPHABET[(bits >> (18 - 6 * place)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut bits = 0_u32;
    let mut count = 0;
    for letter in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|known| *known == letter) else {
            continue;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}

/// A request or a response; `first` is its first line.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }
}

/// Reads the head of a message; none at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(Message { first, headers, body: Vec::new() });
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a chunk of a body; empty at the proper end, none when the body breaks off.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
    let mut bytes = vec![0; size];
    reader.read_exact(&mut bytes).ok()?;
    let mut end = [0; 2];
    reader.read_exact(&mut end).ok()?;
    Some(bytes)
}

/// Reads a whole message; none when it breaks off.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Writes a response with a length.
pub fn write_reply(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n", body.len());
    let _ = write!(head, "\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// Takes the percent-encoding off a value of a query.
pub fn decode_query(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let hex: Vec<u8> = rest.by_ref().take(2).collect();
            let hex = String::from_utf8_lossy(&hex).into_owned();
            bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
