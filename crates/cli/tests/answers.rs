//! Answers of a registry as they come off the socket: in pieces, in chunks, after interim answers, cut off.

mod common;

use common::run;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

/// A registry that answers one call with these bytes, one write each, and then closes the connection.
fn writes(pieces: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut stream = listener.accept().expect("a call").0;
        stream.set_nodelay(true).expect("a socket");
        let (mut call, mut byte) = (Vec::new(), [0]);
        while !call.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).expect("a head");
            call.push(byte[0]);
        }
        pieces.iter().for_each(|piece| stream.write_all(piece).expect("written"));
    });
    address
}

fn nodes(answer: Vec<Vec<u8>>) -> (i32, String, String) {
    run(&[writes(answer)], &["nodes", "--json"])
}

fn byte_by_byte(answer: &str) -> Vec<Vec<u8>> {
    answer.bytes().map(|byte| vec![byte]).collect()
}

#[test]
fn an_answer_is_read_whole_however_it_is_cut_into_pieces_and_chunks() {
    let chunked = "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n\
                   b\r\n{\"node_list\r\n5\r\n\":[]}\r\n0\r\n\r\n";
    let to_the_end = "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n{\"node_list\":[]}";
    for answer in [chunked, to_the_end] {
        for pieces in [byte_by_byte(answer), vec![answer.as_bytes().to_vec()]] {
            let (code, said, why) = nodes(pieces);
            assert_eq!((code, said.as_str(), why.as_str()), (0, "{\"node_list\":[]}\n", ""));
        }
    }
}

#[test]
fn an_answer_that_is_cut_off_counts_as_none() {
    for answer in [
        "",
        "HTTP/1.1 200",
        "HTTP/1.1 100 x\r\n\r\n",
        "HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\n{}",
        "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
    ] {
        let (code, said, why) = nodes(vec![answer.as_bytes().to_vec()]);
        assert_eq!((code, said.as_str()), (3, ""), "{answer:?}");
        assert!(why.contains("no registry answered") && why.contains("before the answer was whole"), "{why}");
    }
}

#[test]
fn what_is_no_answer_of_a_registry_is_said_to_be_so() {
    let (code, _, why) = nodes(vec![b"SSH-2.0-x\r\n\r\n".to_vec()]);
    assert_eq!((code, why.contains("no registry answered")), (3, true), "{why}");
    // Neither a length nor the word that the connection ends.
    let (code, _, why) = nodes(vec![b"HTTP/1.1 200 x\r\n\r\n{}".to_vec()]);
    assert_eq!((code, why.contains("no length")), (3, true), "{why}");
    let (code, _, why) = nodes(vec![b"HTTP/1.1 200 x\r\nContent-Length: 3\r\n\r\n<a>".to_vec()]);
    assert_eq!((code, why.contains("an answer that is no JSON")), (3, true), "{why}");
}
