//! Runs the quick start program and sends a request like the one in its usage text.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{TcpListener, TcpStream},
    process::{Command, Stdio},
};

#[test]
fn answers_first_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let listen = listener.local_addr().expect("the listener is bound").to_string();
    drop(listener);
    let mut quick_start = Command::new(env!("CARGO_BIN_EXE_chivelatch-local"))
        .args(["--listen", &listen])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let output = BufReader::new(quick_start.stdout.take().expect("stdout is piped"));
    let usage = output.lines().next().expect("the program prints").expect("the output is text");

    let body = r#"{"model":"council-007@2","max_tokens":4,"messages":[]}"#;
    let length = body.len();
    let mut caller = TcpStream::connect(&listen).expect("the program listens");
    write!(
        caller,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {listen}\r\nconnection: close\r\n\
         authorization: Bearer demo-key\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .expect("the request is sent");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("the request is answered");
    quick_start.kill().expect("the program runs");
    quick_start.wait().expect("the program exits");

    assert!(usage.contains(&listen));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("adapter=council-007 version=2"), "{answer}");
}
