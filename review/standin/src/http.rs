//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client for one call a connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::json::Json;

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// A header by its name in lower case; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map_or("", |(_, value)| value)
    }

    /// A field of the query, decoded; empty if there is none.
    pub fn field(&self, name: &str) -> String {
        let field = self
            .query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
            .unwrap_or_default();
        let mut bytes = Vec::new();
        let mut rest = field.as_bytes();
        while let [first, tail @ ..] = rest {
            rest = tail;
            if *first == b'%' && tail.len() >= 2 {
                let digits = std::str::from_utf8(&tail[..2]).unwrap_or("00");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
                rest = &tail[2..];
            } else {
                bytes.push(*first);
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }
}

pub enum Reply {
    Answer(u16, Json),
    /// No answer is ever sent; the connection stays open.
    Silence,
}

pub type Handler = dyn Fn(Request) -> Reply + Send + Sync;

/// A server that can be closed: its port then refuses connections and the open ones are reset.
pub struct Server {
    pub address: SocketAddr,
    is_open: Arc<AtomicBool>,
    streams: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
}

impl Server {
    pub fn open(address: SocketAddr, handler: Arc<Handler>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Self {
            address: listener.local_addr()?,
            is_open: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
        };
        let (is_open, streams) = (Arc::clone(&server.is_open), Arc::clone(&server.streams));
        thread::spawn(move || {
            let mut number = 0;
            while is_open.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        number += 1;
                        if let Ok(copy) = stream.try_clone() {
                            streams.lock().unwrap().insert(number, copy);
                        }
                        let (handler, streams) = (Arc::clone(&handler), Arc::clone(&streams));
                        thread::spawn(move || {
                            serve(stream, &*handler);
                            streams.lock().unwrap().remove(&number);
                        });
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(server)
    }

    pub fn close(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Reply::Answer(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return;
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
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

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

/// Sends a request on a new connection. `None` if there is no whole answer within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-type: application/json\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all((head + "\r\n" + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}
