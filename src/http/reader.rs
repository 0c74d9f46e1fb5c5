//! Read half of an HTTP/1.1 connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{request, response};
use monoio::{
    buf::IoBufMut,
    io::{AsyncReadRent, OwnedReadHalf},
    net::TcpStream,
    time::timeout,
};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{DecodeError, RequestHeadDecoder, ResponseHeadDecoder};

use super::{framing, BodyDecoder, HeadLimits, HttpError, WorkBudget};

/// Highest status of a response. The decoder refuses those below 100, and accepts up to 999, of which
/// callers know no meaning.
const MAX_STATUS: u16 = 599;
/// Buffer size of one socket read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Buffer size of a read on an idle connection, in bytes; enough for most heads.
const IDLE_READ_BYTES: usize = 1024;
/// Work of decoding and handling one head, in bytes of input.
const HEAD_WORK_BYTES: usize = 2 * 1024;
/// The same for one part of a body.
const PART_WORK_BYTES: usize = 256;

/// Read half of an HTTP/1.1 connection.
pub struct HttpReader {
    io: OwnedReadHalf<TcpStream>,
    buf: BytesMut,
    bytes_received: u64,
    budget: WorkBudget,
    /// Bytes of the last read, which are charged before the next one.
    uncharged: usize,
}

impl HttpReader {
    /// Wraps the read half of a socket.
    pub fn new(io: OwnedReadHalf<TcpStream>) -> Self {
        Self {
            io,
            buf: BytesMut::new(),
            bytes_received: 0,
            budget: WorkBudget::default(),
            uncharged: 0,
        }
    }

    /// Returns whether unparsed bytes are buffered.
    pub fn has_buffered(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the number of bytes read from the socket so far.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received
    }

    /// Returns the number of unparsed bytes in the buffer.
    pub fn buffered_len(&self) -> usize {
        self.buf.len()
    }

    /// Reads once from the socket into the buffer and returns the number of bytes, 0 at its end.
    ///
    /// Cancel safe: the epoll driver reads only when the future is polled with the socket ready. Lets
    /// other tasks run first if the socket has had bytes to read for a while.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Io`] if the socket fails.
    pub async fn fill(&mut self) -> Result<usize, HttpError> {
        self.fill_at_most(READ_BYTES).await
    }

    async fn fill_at_most(&mut self, max: usize) -> Result<usize, HttpError> {
        let received = std::mem::take(&mut self.uncharged);
        self.budget.charge(received).await;
        let scratch = BytesMut::with_capacity(max);
        let read = self.io.read(scratch.slice_mut(0..max));
        let (res, slice) = self.budget.run(read).await;
        let n = res?;
        self.bytes_received += n as u64;
        self.uncharged = n;
        let mut part = slice.into_inner();
        part.truncate(n);
        if self.buf.is_empty() {
            self.buf = part;
        } else {
            self.buf.extend_from_slice(&part);
        }
        Ok(n)
    }

    /// Waits for the first bytes of the next message; returns false if the peer closed.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Io`] if the socket fails.
    pub async fn wait_for_message(&mut self) -> Result<bool, HttpError> {
        if self.has_buffered() {
            return Ok(true);
        }
        self.buf = BytesMut::new();
        Ok(self.fill_at_most(IDLE_READ_BYTES).await? > 0)
    }

    /// Reads and discards up to `max_bytes`, or until the peer closes.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Io`] if the socket fails.
    pub async fn discard(&mut self, max_bytes: usize) -> Result<(), HttpError> {
        let mut read = 0;
        while read < max_bytes {
            self.buf = BytesMut::new();
            match self.fill().await? {
                0 => return Ok(()),
                n => read += n,
            }
        }
        Ok(())
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is too large, too slow, malformed or truncated.
    pub async fn read_request_head(
        &mut self,
        limits: &HeadLimits,
    ) -> Result<request::Parts, HttpError> {
        self.complete_head(limits).await?;
        match RequestHeadDecoder.decode(&mut self.buf) {
            Ok(Decoded::Some(head)) => Ok(head),
            Ok(_) => Err(HttpError::Malformed("request head")),
            Err(e) => Err(head_error(&e)),
        }
    }

    /// Reads the head of a response.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is too large, too slow, malformed or truncated.
    pub async fn read_response_head(
        &mut self,
        limits: &HeadLimits,
    ) -> Result<response::Parts, HttpError> {
        self.complete_head(limits).await?;
        match ResponseHeadDecoder.decode(&mut self.buf) {
            Ok(Decoded::Some(head)) if head.status.as_u16() > MAX_STATUS => {
                Err(HttpError::Malformed("response status"))
            }
            Ok(Decoded::Some(head)) => Ok(head),
            Ok(_) => Err(HttpError::Malformed("response head")),
            Err(e) => Err(head_error(&e)),
        }
    }

    async fn complete_head(&mut self, limits: &HeadLimits) -> Result<(), HttpError> {
        self.budget.charge(HEAD_WORK_BYTES).await;
        match timeout(limits.timeout, self.fill_head(limits.max_bytes)).await {
            Ok(res) => res,
            Err(_) => Err(HttpError::Timeout),
        }
    }

    async fn fill_head(&mut self, max_bytes: usize) -> Result<(), HttpError> {
        let mut searched = 0;
        loop {
            let from = searched;
            if let Some(at) = find_head_end(&self.buf[from..]) {
                let end = from + at;
                if end > max_bytes {
                    return Err(HttpError::HeadTooLarge);
                }
                return framing::check_line_ends(&self.buf[..end], from);
            }
            // A head with a bare line feed is malformed whatever follows.
            framing::check_line_ends(&self.buf, from)?;
            if self.buf.len() >= max_bytes {
                return Err(HttpError::HeadTooLarge);
            }
            searched = self.buf.len().saturating_sub(3);
            if self.fill().await? == 0 {
                return Err(HttpError::UnexpectedEof);
            }
        }
    }

    /// Reads the next part of a body, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed or truncated.
    pub async fn next_part(&mut self, body: &mut BodyDecoder) -> Result<Option<Bytes>, HttpError> {
        self.budget.charge(PART_WORK_BYTES).await;
        loop {
            if let Decoded::Some(part) = body.decode(&mut self.buf)? {
                return Ok(part);
            }
            if self.fill().await? == 0 {
                body.close()?;
            }
        }
    }

    async fn next_part_within(
        &mut self,
        body: &mut BodyDecoder,
        stall: Option<Duration>,
    ) -> Result<Option<Bytes>, HttpError> {
        let Some(stall) = stall else {
            return self.next_part(body).await;
        };
        let part = timeout(stall, self.next_part(body)).await;
        part.unwrap_or(Err(HttpError::Timeout))
    }

    /// Reads a complete body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed, truncated or too large.
    pub async fn read_body(
        &mut self,
        mut body: BodyDecoder,
        max_bytes: usize,
    ) -> Result<Bytes, HttpError> {
        self.read_body_within(&mut body, max_bytes, None).await
    }

    /// Reads a complete body of at most `max_bytes`, with at most `stall` between two parts of it.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed, truncated, too large or stalls.
    pub async fn read_body_within(
        &mut self,
        body: &mut BodyDecoder,
        max_bytes: usize,
        stall: Option<Duration>,
    ) -> Result<Bytes, HttpError> {
        let mut content = BytesMut::new();
        while let Some(part) = self.next_part_within(body, stall).await? {
            if content.len() + part.len() > max_bytes {
                return Err(HttpError::Malformed("body too large"));
            }
            content.extend_from_slice(&part);
        }
        Ok(content.freeze())
    }
}

fn head_error(e: &DecodeError) -> HttpError {
    match e {
        DecodeError::Parse(httparse::Error::TooManyHeaders) => HttpError::HeadTooLarge,
        _ => HttpError::Malformed("head"),
    }
}

/// Returns the offset in `buf` after the empty line that ends a head.
fn find_head_end(buf: &[u8]) -> Option<usize> {
    buf.windows(4)
        .position(|w| w == b"\r\n\r\n")
        .map(|at| at + 4)
}
