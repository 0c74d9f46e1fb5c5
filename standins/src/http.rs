//! Blocking HTTP/1.1 server for simulated services, independent of the product's code.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
};

const MAX_HEADERS: usize = 96;
/// Maximum number of stored body bytes; the rest of a body is only counted.
const MAX_STORED_BODY_BYTES: usize = 1 << 20;

/// One received request.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) body_bytes: u64,
    /// Raw head and stored body.
    pub(crate) raw: Vec<u8>,
}

impl Request {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Path without its query.
    pub(crate) fn plain_path(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }

    /// Value of a query parameter, decoded.
    pub(crate) fn query(&self, name: &str) -> Option<String> {
        let query = self.path.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| decode(v))
    }
}

/// Decodes the percent-encoded bytes of a query value; others stay as they are.
fn decode(value: &str) -> String {
    let mut decoded = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        let digits = after.get(..2).and_then(|d| std::str::from_utf8(d).ok());
        let escaped = digits.and_then(|d| u8::from_str_radix(d, 16).ok());
        if let (b'%', Some(escaped)) = (*byte, escaped) {
            decoded.push(escaped);
            rest = &after[2..];
        } else {
            decoded.push(*byte);
            rest = after;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// What the server does with a connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    KeepOpen,
    Close,
}

/// Handles the requests of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    fn handle(
        &self,
        connection: u64,
        req: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<ConnectionAction>;
}

/// A running server; stops when dropped.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    stop: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accept_thread: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    pub(crate) fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = bind_with_retries(address)?;
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let accept_thread = {
            let (stop, connections) = (stop.clone(), connections.clone());
            thread::spawn(move || accept_loop(&listener, &stop, &connections, &handler))
        };
        Ok(Self {
            address,
            stop,
            connections,
            accept_thread: Mutex::new(Some(accept_thread)),
        })
    }

    /// Stops listening and shuts down every open connection.
    pub(crate) fn kill(&self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.accept_thread.lock().unwrap().take() {
            let _ = thread.join();
        }
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

fn bind_with_retries(address: SocketAddr) -> io::Result<TcpListener> {
    let mut last = None;
    for _ in 0..50 {
        match TcpListener::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(e) => last = Some(e),
        }
        thread::sleep(std::time::Duration::from_millis(20));
    }
    Err(last.unwrap_or_else(|| io::Error::other("cannot bind the address")))
}

fn accept_loop(
    listener: &TcpListener,
    stop: &AtomicBool,
    connections: &Mutex<Vec<TcpStream>>,
    handler: &Arc<dyn Handler>,
) {
    let mut next_id = 0;
    for stream in listener.incoming() {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            let mut connections = connections.lock().unwrap();
            connections.retain(|s| s.peer_addr().is_ok());
            connections.push(copy);
        }
        next_id += 1;
        let id = next_id;
        let handler = handler.clone();
        thread::spawn(move || {
            let _ = serve_connection(stream, id, handler.as_ref());
        });
    }
}

fn serve_connection(mut stream: TcpStream, id: u64, handler: &dyn Handler) -> io::Result<()> {
    let mut buf = Vec::new();
    while let Some(req) = read_request(&mut stream, &mut buf)? {
        if handler.handle(id, &req, &mut stream)? == ConnectionAction::Close {
            break;
        }
    }
    stream.shutdown(std::net::Shutdown::Both)
}

fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<usize> {
    let mut part = [0; 16 * 1024];
    let n = stream.read(&mut part)?;
    buf.extend_from_slice(&part[..n]);
    Ok(n)
}

pub(crate) fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> io::Result<Option<Request>> {
    let head_len = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if fill(stream, buf)? == 0 {
            return Ok(None);
        }
    };
    let mut req = parse_head(&buf[..head_len])?;
    req.raw = buf[..head_len].to_vec();
    buf.drain(..head_len);
    if req.header("expect").is_some() {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
    }
    let chunked = req.header("transfer-encoding").is_some();
    let length = req.header("content-length").and_then(|v| v.parse().ok());
    if chunked {
        while read_chunk(stream, buf, &mut req)? {}
    } else if let Some(n) = length {
        read_exact(stream, buf, n, &mut req)?;
    }
    let body = req.body.clone();
    req.raw.extend_from_slice(&body);
    Ok(Some(req))
}

fn parse_head(head: &[u8]) -> io::Result<Request> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed
        .parse(head)
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))?;
    let to_string = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    Ok(Request {
        method: parsed.method.unwrap_or("").to_owned(),
        path: parsed.path.unwrap_or("").to_owned(),
        headers: parsed
            .headers
            .iter()
            .map(|h| (h.name.to_owned(), to_string(h.value)))
            .collect(),
        body: Vec::new(),
        body_bytes: 0,
        raw: Vec::new(),
    })
}

fn read_exact(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    mut left: u64,
    req: &mut Request,
) -> io::Result<()> {
    while left > 0 {
        if buf.is_empty() && fill(stream, buf)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let n = (left as usize).min(buf.len());
        let capacity = MAX_STORED_BODY_BYTES.saturating_sub(req.body.len());
        req.body.extend_from_slice(&buf[..n.min(capacity)]);
        req.body_bytes += n as u64;
        buf.drain(..n);
        left -= n as u64;
    }
    Ok(())
}

fn read_line(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(at) = buf.windows(2).position(|w| w == b"\r\n") {
            let line = String::from_utf8_lossy(&buf[..at]).into_owned();
            buf.drain(..at + 2);
            return Ok(line);
        }
        if fill(stream, buf)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn read_chunk(stream: &mut TcpStream, buf: &mut Vec<u8>, req: &mut Request) -> io::Result<bool> {
    let line = read_line(stream, buf)?;
    let n = u64::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    read_exact(stream, buf, n, req)?;
    read_line(stream, buf)?;
    Ok(n > 0)
}

/// Writes a response with its complete body.
pub(crate) fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<ConnectionAction> {
    let mut out = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)?;
    Ok(ConnectionAction::KeepOpen)
}
