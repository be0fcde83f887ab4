//! A caller that writes raw bytes and reads raw answers.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A raw connection to an entry.
pub struct Caller {
    pub stream: TcpStream,
}

/// An answer as read from the connection.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body was complete by its announced length or last chunk.
    pub is_whole: bool,
}

impl Answer {
    /// Returns the value of a header, if present.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Returns the body as text.
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("text")
    }

    /// Returns the code of the problem document, and checks its other members against status and headers.
    pub fn code(&self) -> String {
        assert_eq!(
            self.header("content-type"),
            Some("application/problem+json")
        );
        let problem: serde_json::Value = serde_json::from_slice(&self.body).expect("a document");
        assert_eq!(problem["status"], self.status);
        assert_eq!(problem["outcome"].as_str(), self.header("x-outcome"));
        assert!(
            problem["detail"]
                .as_str()
                .is_some_and(|text| !text.is_empty())
        );
        problem["code"].as_str().expect("a code").to_owned()
    }

    /// Returns the code and outcome of a refusal.
    pub fn refusal(&self) -> (String, &str) {
        (self.code(), self.header("x-outcome").expect("an outcome"))
    }
}

/// Returns a request with the key of the team `desk`.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = match body.len() {
        0 => String::new(),
        length => format!("content-length: {length}\r\n"),
    };
    let key = super::DESK;
    format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n{headers}{length}\r\n{body}"
    )
}

impl Caller {
    /// Connects to an entry.
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address)
            .await
            .expect("the entry listens");
        Self { stream }
    }

    /// Writes `text`.
    pub async fn write(&mut self, text: &str) {
        let written = self.stream.write_all(text.as_bytes()).await;
        written.expect("the entry reads");
    }

    /// Writes `text` and reads the answer.
    pub async fn ask(&mut self, text: &str) -> Answer {
        self.write(text).await;
        self.answer().await
    }

    /// Reads one answer.
    pub async fn answer(&mut self) -> Answer {
        self.try_answer().await.expect("an answer")
    }

    /// Reads one answer, or returns `None` if the connection ends before its head.
    pub async fn try_answer(&mut self) -> Option<Answer> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).expect("text");
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let mut answer = Answer {
            status: status.expect("a status"),
            head,
            body: Vec::new(),
            is_whole: true,
        };
        if let Some(length) = answer.header("content-length") {
            let length = length.parse().expect("a length");
            while answer.body.len() < length {
                let Ok(byte) = self.stream.read_u8().await else {
                    answer.is_whole = false;
                    break;
                };
                answer.body.push(byte);
            }
        } else if answer.header("transfer-encoding") == Some("chunked") {
            answer.is_whole = self.read_chunks(&mut answer.body).await;
        }
        Some(answer)
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                match self.stream.read_u8().await {
                    Ok(byte) => line.push(byte),
                    Err(_) => return false,
                }
            }
            let text = std::str::from_utf8(&line).expect("text").trim();
            let size = usize::from_str_radix(text, 16).expect("a chunk size");
            let mut chunk = vec![0; size + 2];
            if self.stream.read_exact(&mut chunk).await.is_err() {
                return false;
            }
            if size == 0 {
                return true;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    /// Waits until the entry has closed the connection, and returns the bytes that it sent before.
    pub async fn closed(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        self.stream.read_to_end(&mut rest).await.ok();
        rest
    }
}

/// Sends one request on a new connection.
pub async fn ask(address: SocketAddr, text: &str) -> Answer {
    Caller::connect(address).await.ask(text).await
}
