//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read};
use std::net::TcpStream;

/// A request or a response that was read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the messages of one connection.
pub struct MessageReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl MessageReader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads the next message; `None` at the end of the connection before its first byte.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let is_chunked = message.header("transfer-encoding").is_some();
        if is_chunked {
            message.body = self.chunks()?;
            return Ok(Some(message));
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        message.body = self.exactly(length.unwrap_or(0))?;
        Ok(Some(message))
    }

    fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(parse_head(&String::from_utf8_lossy(&head))));
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            body.extend(self.exactly(size)?);
            self.line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let mut body = Vec::with_capacity(length);
        let buffered = self.buffer.len().min(length);
        body.extend(self.buffer.drain(..buffered));
        let read = self
            .stream
            .by_ref()
            .take((length - buffered) as u64)
            .read_to_end(&mut body)?;
        match read == length - buffered {
            true => Ok(body),
            false => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend(&part[..count]);
        Ok(count > 0)
    }
}

fn parse_head(text: &str) -> Message {
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_string();
    let mut headers = Vec::new();
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    Message {
        start,
        headers,
        body: Vec::new(),
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
