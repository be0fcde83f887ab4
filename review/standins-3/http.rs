//! A blocking HTTP/1.1 server and client for loopback.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A request, read whole.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let mut query = self.query.iter();
        query
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

/// An answer: its status and its body.
pub type Answer = (u16, String);

/// The status of a request that is not answered: the connection is closed.
pub const NO_ANSWER: u16 = 0;

/// A link that can be cut: nothing passes while it is closed, in either direction. What waits there passes once it is open
/// again, unless its sender has closed the connection meanwhile.
#[derive(Debug, Default)]
pub struct Link {
    is_cut: AtomicBool,
}

impl Link {
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait_open(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Serves a listener with a thread for each connection.
pub fn serve(
    listener: TcpListener,
    link: Arc<Link>,
    handle: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handle, link) = (Arc::clone(&handle), Arc::clone(&link));
            std::thread::spawn(move || serve_connection(&stream, &link, &*handle));
        }
    });
}

fn serve_connection(stream: &TcpStream, link: &Link, handle: &dyn Fn(&Request) -> Answer) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        link.wait_open();
        if is_closed(stream) {
            return;
        }
        let (status, body) = handle(&request);
        link.wait_open();
        if status == NO_ANSWER {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut writer = stream;
        if writer
            .write_all(format!("{head}{body}").as_bytes())
            .is_err()
        {
            return;
        }
    }
}

/// Whether the peer has closed or reset the connection.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(Some(0), |(_, length)| length.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut (impl BufRead + Read)) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|part| part.split_once('='));
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path: path.to_owned(),
        query: query
            .map(|(name, value)| (name.to_owned(), decode_query(value)))
            .collect(),
        headers,
        body,
    })
}

fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .filter(|_| bytes[at] == b'%')
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        out.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request on a connection of its own. `None` if there is no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
