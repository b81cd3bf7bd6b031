use std::cell::Cell;
use std::future::{self, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

use super::{timeout, Elapsed};

const TIMEOUT: Duration = Duration::from_millis(50);

/// Polls a future once, which starts its timers.
async fn poll_once<F: Future>(mut future: Pin<&mut F>) {
    future::poll_fn(|context| Poll::Ready(future.as_mut().poll(context).is_ready())).await;
}

/// Guards against giving up on input that has arrived: the event loop stalls until after the
/// timeout, and the other side writes in the turn in which the timer runs out.
#[test]
fn input_that_arrives_in_a_stall_is_received() {
    crate::runtime().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("bound");
        let mut sender = TcpStream::connect_addr(addr).await.expect("connects");
        let (mut receiver, _) = listener.accept().await.expect("accepts");
        let reading = async { receiver.read(vec![0; 8]).await.0.expect("reads") };
        let mut reading = pin!(timeout(TIMEOUT, reading));
        poll_once(reading.as_mut()).await;
        let mut writing = pin!(async move {
            monoio::time::sleep(TIMEOUT / 2).await;
            sender.write_all(b"late".to_vec()).await.0.expect("writes");
            sender
        });
        poll_once(writing.as_mut()).await;
        std::thread::sleep(2 * TIMEOUT);
        let (received, _sender) = monoio::join!(reading, writing);
        assert_eq!(received, Ok(4));
    });
}

/// Guards against a wait that starts anew after each stall.
#[test]
fn a_stall_delays_the_timeout_by_one_turn() {
    crate::runtime().block_on(async {
        let mut waiting = pin!(timeout(TIMEOUT, future::pending::<()>()));
        poll_once(waiting.as_mut()).await;
        std::thread::sleep(2 * TIMEOUT);
        let stalled_until = Instant::now();
        assert_eq!(waiting.await, Err(Elapsed));
        assert!(stalled_until.elapsed() < TIMEOUT);
    });
}

#[test]
fn the_output_of_a_ready_future_is_returned() {
    crate::runtime().block_on(async {
        assert_eq!(timeout(Duration::ZERO, future::ready(7)).await, Ok(7));
    });
}

/// Guards against more polls than one turn: the future must be dropped when the timeout is returned.
#[test]
fn the_future_is_dropped_after_the_timeout() {
    struct Dropped(Rc<Cell<bool>>);
    impl Drop for Dropped {
        fn drop(&mut self) {
            self.0.set(true);
        }
    }
    crate::runtime().block_on(async {
        let is_dropped = Rc::new(Cell::new(false));
        let guard = Dropped(is_dropped.clone());
        let holding = async move {
            let _guard = guard;
            future::pending::<()>().await;
        };
        assert_eq!(timeout(TIMEOUT, holding).await, Err(Elapsed));
        assert!(is_dropped.get());
    });
}
