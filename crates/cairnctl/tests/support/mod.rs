//! A fake entry with scripted responses, and helpers to run the program against it.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output, Stdio},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// The reaction of the fake entry to one call.
#[derive(Clone, Debug)]
pub(crate) enum FakeAnswer {
    /// Respond with this status and body.
    Json(u16, &'static str),
    /// Read the call and close the connection without a response.
    Lost,
}

/// An entry that accepts one call for each answer.
pub(crate) struct FakeEntry {
    pub(crate) address: SocketAddr,
    calls: JoinHandle<Vec<String>>,
}

impl FakeEntry {
    pub(crate) fn start(answers: &[FakeAnswer]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let answers = answers.to_vec();
        let calls = thread::spawn(move || {
            let mut calls = Vec::new();
            for answer in answers {
                let Some(stream) = accept_with_timeout(&listener) else {
                    calls.push("no further call came".to_owned());
                    break;
                };
                calls.push(read_call(&stream));
                reply(stream, &answer);
            }
            calls
        });
        Self { address, calls }
    }

    /// The received calls: method, path, preconditions, body.
    pub(crate) fn calls(self) -> Vec<String> {
        self.calls.join().unwrap()
    }
}

/// An address on which nothing listens.
pub(crate) fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Runs the program with standard input from `input`.
pub(crate) fn run(entry: SocketAddr, args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cairnctl"))
        .arg(format!("--entry={entry}"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The program may exit without reading its input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

/// Exit code, standard output and standard error as one text, with the entry's address replaced.
pub(crate) fn output_text(output: &Output, entry: SocketAddr) -> String {
    let text = format!(
        "exit {}\n{}{}",
        output.status.code().unwrap(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    text.replace(&entry.to_string(), "ENTRY")
}

fn accept_with_timeout(listener: &TcpListener) -> Option<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            return Some(stream);
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

fn read_call(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let name = line.split(':').next().unwrap().to_lowercase();
        if name == "content-length" {
            length = line.split(':').nth(1).unwrap().trim().parse().unwrap();
        }
        if head.is_empty() {
            head = format!(
                "{line}
"
            );
        }
        if ["if-match", "if-none-match"].contains(&name.as_str()) {
            headers.push(format!(
                "{line}
"
            ));
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    // awc writes headers in no fixed order.
    headers.sort();
    head + &headers.concat() + &String::from_utf8(body).unwrap()
}

fn reply(mut stream: TcpStream, answer: &FakeAnswer) {
    let FakeAnswer::Json(status, body) = answer else {
        return;
    };
    write!(
        stream,
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
}
