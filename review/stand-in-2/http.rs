//! HTTP/1.1 messages over blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// `Message` is a request or a response with its complete body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header fields in order.
    pub fields: Vec<(String, String)>,
    /// Body without its framing.
    pub body: Vec<u8>,
}

impl Message {
    /// Gets the value of the first field with a name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Gets a word of the start line, from 0.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    /// Gets the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Gets the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// `MessageStream` reads messages from a connection.
pub struct MessageStream {
    /// The connection.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl MessageStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads the next message; `None` at the end of the stream.
    pub fn read(&mut self) -> Result<Option<Message>> {
        let head_length = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..head_length).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
        let mut message = Message {
            start: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .fields
                    .push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        if message.field("transfer-encoding").is_some() {
            message.body = self.read_chunks()?;
        } else {
            let length = message
                .field("content-length")
                .and_then(|text| text.parse().ok());
            message.body = self.take(length.unwrap_or(0))?;
        }
        Ok(Some(message))
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    fn read_chunks(&mut self) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size =
                usize::from_str_radix(size, 16).map_err(|_| Error::from(ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.take_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.take(2)?;
        }
    }

    fn take_line(&mut self) -> Result<String> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn fill(&mut self) -> Result<bool> {
        let mut bytes = [0; 16 * 1_024];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read > 0)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Builds a response with a body of known length.
pub fn response(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
