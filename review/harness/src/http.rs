//! Just enough HTTP/1.1 for stand-ins: reading messages and writing answers on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

/// A message head with its body, as far as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_default()
    }
}

/// A socket with the bytes that were read and not yet used.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
    /// When reads give up.
    pub deadline: Option<Instant>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new(), deadline: None }
    }

    fn fill(&mut self) -> io::Result<usize> {
        if let Some(deadline) = self.deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        let mut piece = [0; 16 * 1024];
        let len = self.stream.read(&mut piece)?;
        self.buf.extend_from_slice(&piece[..len]);
        Ok(len)
    }

    fn fill_or_end(&mut self) -> io::Result<()> {
        match self.fill()? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            self.fill_or_end()?;
        }
    }

    fn exactly(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill_or_end()?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Reads a head; `None` if the peer closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        while self.buf.is_empty() {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        let mut message = Message { start_line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { return Ok(Some(message)) };
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads the next piece of a chunked body; `None` after the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let piece = self.exactly(size)?;
        self.line()?;
        Ok((size > 0).then_some(piece))
    }

    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            while let Some(piece) = self.read_chunk()? {
                message.body.extend_from_slice(&piece);
            }
            return Ok(());
        }
        let len = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        message.body = self.exactly(len)?;
        Ok(())
    }

    /// Reads a whole message; `None` if the peer closed the connection before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    pub fn write_answer(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            out += &format!("{name}: {value}\r\n");
        }
        out += "\r\n";
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}
