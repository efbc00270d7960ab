//! Tests of the end of the runtime.

use std::{sync::Arc, time::Duration};

// Guards against sockets that stay open after their runtime has ended, until the process has no files left.
#[test]
fn drops_the_tasks_that_have_not_ended() {
    let (held, other) = (Arc::new(()), Arc::new(()));
    let (of_task, of_late_task) = (Arc::clone(&held), Arc::clone(&other));

    let kernel = kernel::run(1, |kernel| async move {
        let own = kernel.clone();
        kernel.spawn_detached(async move {
            own.clock.sleep(Duration::from_secs(3600)).await;
            drop(of_task);
        });
        kernel.clock.sleep(Duration::from_millis(1)).await;
        kernel
    });
    kernel.spawn_detached(async move { drop(of_late_task) });

    assert_eq!((Arc::strong_count(&held), Arc::strong_count(&other)), (1, 1));
}
