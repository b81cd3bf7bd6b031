//! Callers' connections: [`take`] reads requests, [`answer`] writes the answers in their order,
//! [`pipeline`] is what is under way in between.

mod answer;
mod pipeline;
mod take;

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use local_sync::mpsc::unbounded;
use monoio::io::Splitable;
use monoio::net::{TcpListener, TcpStream};
use web::h1;

use self::pipeline::Pipeline;
use self::take::Taker;
use crate::forward::Node;

/// Time that a closing connection is still read from. Closing while bytes
/// arrive resets the connection, which can destroy an answer that the caller
/// has not read yet.
const LINGER: Duration = Duration::from_millis(1_000);

/// Bytes read and thrown away from a closing connection at most.
const LINGER_BYTES: usize = 1024 * 1024;

/// Accepts callers until the listener is dropped with this future.
pub async fn run(listener: TcpListener, node: Rc<Node>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Fails only on a connection that is gone already.
                let _ = stream.set_nodelay(true);
                let node = node.clone();
                monoio::spawn(async move { connection(stream, node).await });
            }
            Err(err) => {
                // Running out of descriptors shows here; without a pause this loop would spin.
                trace::Line::new("accept_failed").field("error", err.to_string()).log();
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// How a connection ends.
enum End {
    /// It is closed once the caller has read the last answer.
    Linger,
    /// The caller is gone.
    Gone,
}

async fn connection(stream: TcpStream, node: Rc<Node>) {
    let (read, write) = stream.into_split();
    let mut reader = h1::Reader::with_receive_times(read);
    let mut writer = h1::Writer::new(write);
    let end = {
        let pipeline = Pipeline::default();
        let (turns, in_order) = unbounded::channel();
        let taker = Taker { reader: &mut reader, turns, pipeline: &pipeline, node: &node };
        let mut taking = pin!(taker.run());
        let mut answering = pin!(answer::write_all(&mut writer, in_order, &pipeline, &node));
        monoio::select! {
            end = &mut answering => end,
            () = &mut taking => End::Gone,
        }
    };
    match end {
        End::Linger => linger(&mut reader, &mut writer).await,
        End::Gone => {}
    }
}

/// Reads from a closing connection until the caller closes too, for a while.
async fn linger(reader: &mut h1::Reader, writer: &mut h1::Writer) {
    writer.shutdown().await;
    let reading = async {
        let mut left = LINGER_BYTES;
        while let Ok(Some(bytes)) = reader.discard().await {
            left = left.saturating_sub(bytes);
            if left == 0 {
                return;
            }
        }
    };
    let _ = monoio::time::timeout(LINGER, reading).await;
}
