//! The adapter of TCP streams over real sockets.

use std::{
    future,
    io::{ErrorKind, IoSlice, Write},
    net::TcpListener,
    pin::Pin,
    thread,
    time::Duration,
};

use async_std::{net::TcpStream, task};
use gooseberry_transport::{io::StreamIo, meter::OverheadMeter};
use hyper::rt::{Read, ReadBuf, Write as _};
use rustix::net::sockopt;

/// Guards against a reset that looks like an orderly end: the kernel reports it once, to a write, and
/// the next read finds the end of the stream. A body that ends with its connection then looks whole.
#[test]
fn a_reset_that_a_write_has_met_is_no_orderly_end() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.write_all(b"a part").expect("a part is written");
        thread::sleep(Duration::from_millis(50));
        sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("linger is set");
    });
    task::block_on(async {
        let stream = TcpStream::connect(address).await.expect("a connection");
        let mut io = StreamIo::outgoing(stream, OverheadMeter::default()).expect("options are set");
        let mut io = Pin::new(&mut io);
        serving.join().expect("the peer ends");
        let slices = [IoSlice::new(&[b'x'; 1024])];
        let written = future::poll_fn(|context| io.as_mut().poll_write_vectored(context, &slices));
        assert!(written.await.is_err());
        loop {
            let mut bytes = [0; 64];
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = future::poll_fn(|context| io.as_mut().poll_read(context, buffer.unfilled()));
            match read.await {
                Ok(()) => assert!(!buffer.filled().is_empty(), "the reset looks like an end"),
                Err(error) => return assert_eq!(error.kind(), ErrorKind::ConnectionReset),
            }
        }
    });
}
