//! Minimal HTTP/1.1 over blocking sockets.

use std::{
    io::{BufRead, BufReader, Error, ErrorKind, Result, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// `Message` is a request or a response with its complete body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Gets a word of the start line: method and target of a request, status of a response.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        let connection = self.header("connection").unwrap_or("");
        connection.eq_ignore_ascii_case("close")
    }
}

/// Reads the next message; none at the end of the stream before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(cut)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length");
    if let Some(length) = length.and_then(|text| text.parse::<usize>().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(reader)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or_else(cut)?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| cut())?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        read_line(reader)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend(chunk);
    }
}

fn read_line(reader: &mut impl BufRead) -> Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(cut());
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn cut() -> Error {
    Error::new(ErrorKind::UnexpectedEof, "message ended early")
}

/// Writes a message with the length of its body.
pub fn write_message(stream: &mut impl Write, message: &Message) -> Result<()> {
    let mut text = format!("{}\r\n", message.start);
    for (name, value) in &message.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", message.body.len()));
    stream.write_all(text.as_bytes())?;
    stream.write_all(&message.body)?;
    stream.flush()
}

/// `Connection` is a caller's connection, kept for several requests.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request and waits for its response.
    pub fn exchange(&mut self, request: &Message) -> Result<Message> {
        write_message(&mut self.stream, request)?;
        self.receive()
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for the next response.
    pub fn receive(&mut self) -> Result<Message> {
        read_message(&mut self.reader)?.ok_or_else(cut)
    }
}
