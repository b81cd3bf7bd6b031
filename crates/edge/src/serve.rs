//! Callers' connections: [`requests`] reads requests, [`responses`] writes the responses in the
//! order of the requests, and [`pipeline`] tracks the requests in flight between the two.
//! [`unchunked`] prepares responses for callers of HTTP/1.0.

mod pipeline;
mod requests;
mod responses;
mod unchunked;

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use local_sync::mpsc::unbounded;
use monoio::net::{TcpListener, TcpStream};
use web::h1;

use self::pipeline::Pipeline;
use self::requests::RequestReader;
use crate::forward::Node;
use crate::relay::AcceptedOffer;

/// Maximum time for which a closing connection is still read. Closing it while bytes arrive resets
/// the connection, which can destroy a response that the caller has not read yet.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of bytes read from a closing connection and discarded.
const MAX_LINGER_BYTES: usize = 1024 * 1024;

/// Accepts connections of callers; dropping the future closes the listener.
pub async fn run(listener: TcpListener, node: Rc<Node>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Fails only if the connection is already closed.
                let _ = stream.set_nodelay(true);
                let node = node.clone();
                monoio::spawn(async move { serve_connection(stream, node, None).await });
            }
            Err(err) => {
                // Happens when the process is out of file descriptors; without a pause this would
                // be a busy loop.
                trace::Line::new("accept_failed").field("error", err.to_string()).log();
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// How a connection ends.
enum ConnectionEnd {
    /// The node closes it once the caller has read the last response.
    Linger,
    /// The caller has disconnected, or the connection is of no use any more.
    Disconnected,
}

/// Serves the request that a peer has offered on this connection, and closes it.
pub(crate) async fn serve_offered(stream: TcpStream, node: Rc<Node>, accepted: AcceptedOffer) {
    serve_connection(stream, node, Some(Rc::new(accepted))).await;
}

async fn serve_connection(
    stream: TcpStream,
    node: Rc<Node>,
    accepted_offer: Option<Rc<AcceptedOffer>>,
) {
    let (mut reader, mut writer) = h1::split_with_receive_times(stream);
    let end = {
        let pipeline = Pipeline::default();
        let (writes, queued_writes) = unbounded::channel();
        let to_peer = accepted_offer.is_some();
        let request_reader = RequestReader {
            reader: &mut reader,
            writes,
            pipeline: &pipeline,
            node: &node,
            accepted_offer,
        };
        let mut reading = pin!(request_reader.run());
        let writing = responses::write_all(&mut writer, queued_writes, &pipeline, &node, to_peer);
        let mut writing = pin!(writing);
        monoio::select! {
            end = &mut writing => end,
            () = &mut reading => ConnectionEnd::Disconnected,
        }
    };
    match end {
        ConnectionEnd::Linger => linger(&mut reader, &mut writer).await,
        ConnectionEnd::Disconnected => {}
    }
}

/// Reads from a closing connection until the caller closes it too, within the linger limits.
async fn linger(reader: &mut h1::Reader, writer: &mut h1::Writer) {
    writer.shutdown().await;
    let reading = async {
        let mut left = MAX_LINGER_BYTES;
        while let Ok(Some(bytes)) = reader.discard().await {
            left = left.saturating_sub(bytes);
            if left == 0 {
                return;
            }
        }
    };
    let _ = monoio::time::timeout(LINGER_TIMEOUT, reading).await;
}
