//! The quick start as a newcomer runs it.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{TcpListener, TcpStream},
    process::{Command, Stdio},
};

#[test]
fn the_first_request_is_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let listen = listener.local_addr().expect("it is bound").to_string();
    drop(listener);
    let mut quick_start = Command::new(env!("CARGO_BIN_EXE_chivelatch-local"))
        .args(["--listen", &listen])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let output = BufReader::new(quick_start.stdout.take().expect("it is piped"));
    let greeting = output.lines().next().expect("it prints").expect("it is text");

    let body = r#"{"model":"council-007@2","max_tokens":4,"messages":[]}"#;
    let length = body.len();
    let mut caller = TcpStream::connect(&listen).expect("it listens");
    write!(
        caller,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {listen}\r\nconnection: close\r\n\
         authorization: Bearer demo-key\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .expect("it is sent");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("it is answered");
    quick_start.kill().expect("it runs");
    quick_start.wait().expect("it ends");

    assert!(greeting.contains(&listen));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("adapter=council-007 version=2"), "{answer}");
}
