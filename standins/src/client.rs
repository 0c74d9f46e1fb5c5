//! Blocking HTTP client for tests and benchmarks.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Headers as received.
    pub headers: Vec<(String, String)>,
    /// Body, truncated if the connection failed.
    pub body: Vec<u8>,
    /// Whether the body was received completely.
    pub complete: bool,
}

impl Reply {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or(serde_json::Value::Null)
    }
}

/// A client with one persistent connection.
pub struct Client {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Client {
    /// Connects to `address`; reads fail after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self {
            stream,
            buf: Vec::new(),
        })
    }

    /// Sends one request on a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrives.
    pub fn send_once(
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Reply> {
        let mut client = Self::connect(address, Duration::from_secs(20))?;
        client.send(method, path, headers, body)
    }

    /// Sends one request and reads its response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrives.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Reply> {
        let mut out = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
            out.push_str("host: x\r\n");
        }
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            out.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        out.push_str("\r\n");
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        self.write(&out)?;
        self.read_reply(method)
    }

    /// Writes raw bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads until the connection is closed and returns the number of remaining bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is reset or stays open.
    pub fn read_to_eof(&mut self) -> io::Result<usize> {
        while self.fill()? > 0 {}
        Ok(self.buf.len())
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 64 * 1024];
        let n = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n)
    }

    /// Reads one response to a request with `method`.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrives.
    pub fn read_reply(&mut self, method: &str) -> io::Result<Reply> {
        let head_len = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let mut reply = parse_head(&self.buf[..head_len])?;
        self.buf.drain(..head_len);
        if method == "HEAD" || reply.status == 204 || reply.status == 304 {
            return Ok(reply);
        }
        reply.complete = if reply.header("transfer-encoding").is_some() {
            self.read_chunks(&mut reply.body)
        } else if let Some(n) = reply.header("content-length").and_then(|v| v.parse().ok()) {
            self.read_fixed(n, &mut reply.body)
        } else {
            while self.fill().is_ok_and(|n| n > 0) {}
            reply.body = std::mem::take(&mut self.buf);
            true
        };
        Ok(reply)
    }

    fn read_fixed(&mut self, mut left: usize, body: &mut Vec<u8>) -> bool {
        while left > 0 {
            if self.buf.is_empty() && !self.fill().is_ok_and(|n| n > 0) {
                return false;
            }
            let n = left.min(self.buf.len());
            body.extend(self.buf.drain(..n));
            left -= n;
        }
        true
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let end = loop {
                if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                if !self.fill().is_ok_and(|n| n > 0) {
                    return false;
                }
            };
            let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
            self.buf.drain(..end + 2);
            let Ok(n) = usize::from_str_radix(line.trim(), 16) else {
                return false;
            };
            let mut line_end = Vec::new();
            if !self.read_fixed(n, body) || !self.read_fixed(2, &mut line_end) {
                return false;
            }
            if n == 0 {
                return true;
            }
        }
    }
}

fn parse_head(head: &[u8]) -> io::Result<Reply> {
    let mut headers = [httparse::EMPTY_HEADER; 96];
    let mut parsed = httparse::Response::new(&mut headers);
    parsed
        .parse(head)
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))?;
    let to_string = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    Ok(Reply {
        status: parsed.code.unwrap_or(0),
        headers: parsed
            .headers
            .iter()
            .map(|h| (h.name.to_owned(), to_string(h.value)))
            .collect(),
        body: Vec::new(),
        complete: true,
    })
}
