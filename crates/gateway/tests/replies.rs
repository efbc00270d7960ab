//! Replies to datagrams, and callers that leave while they wait for one.

use std::time::Duration;

use futures_lite::future;
use gateway::replies::Replies;

/// Callers of a test.
const CALLERS: u64 = 5000;

// Guards against entries that stay behind when callers leave.
#[test]
fn forgets_the_replies_of_callers_that_left() {
    let replies: Replies<u64> = Replies::default();
    kernel::run(1, |kernel| async move {
        for id in 0..CALLERS {
            let awaited = replies.expect(id);
            let left = kernel.clock.timeout(Duration::from_micros(1), awaited.reply()).await;
            assert!(left.is_err());
            drop(awaited);
        }
        let waiting = replies.expect(CALLERS);

        replies.record(0, 1);
        replies.record(CALLERS, 2);

        assert_eq!(replies.len(), 1);
        assert_eq!(waiting.reply().await, 2);
        drop(waiting);
        assert!(replies.is_empty());
    });
}

#[test]
fn wakes_the_caller_whose_reply_arrives() {
    let replies: Replies<&str> = Replies::default();
    let (first, second) = (replies.expect(1), replies.expect(2));

    let answer = async {
        replies.record(2, "second");
        replies.record(1, "first");
    };
    let both = future::zip(first.reply(), second.reply());
    let ((one, two), ()) = future::block_on(future::zip(both, answer));

    assert_eq!((one, two), ("first", "second"));
}
