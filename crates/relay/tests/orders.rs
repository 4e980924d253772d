//! Orders that are prepared under a lease which expires before their bytes are sent.

mod common;

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use common::{
    TestHost,
    server::{Connection, Server},
    within,
};
use relay::{
    clock::{self, Clock},
    edge::Order,
};
use types::routed::{Engine, Model};

/// Time for which the process is frozen; longer than the lease is valid.
const FREEZE: Duration = Duration::from_secs(10);

/// Number of orders before whose bytes the process is frozen.
const FROZEN_ORDERS: usize = 5;

thread_local! {
    /// Total time for which the test has simulated a freeze.
    static FROZEN: Cell<Duration> = const { Cell::new(Duration::ZERO) };

    /// Fencing tokens of the orders that were prepared.
    static PREPARED: RefCell<Vec<u64>> = const { RefCell::new(Vec::new()) };
}

/// Lets the lease expire after an order was prepared and before it is handed to its connection.
fn freeze(order: &Order) {
    let prepared = PREPARED.with_borrow_mut(|prepared| {
        prepared.push(order.fence);
        prepared.len()
    });
    if prepared <= FROZEN_ORDERS {
        FROZEN.set(FROZEN.get() + FREEZE);
    }
}

fn engine() -> Engine {
    let model = Model {
        name: "m".into(),
        weights: 100,
        load: Duration::from_secs(1),
        warm: Duration::from_secs(1),
        disk: Duration::from_secs(1),
        adapters: 0,
        adapter_weights: 0,
    };
    Engine {
        slots: 4,
        kv_tokens: 1000,
        weights: 1000,
        adapter_slots: 0,
        loads_per_s: 10.0,
        host_memory: 0,
        disk: 0,
        stride: 1,
        backups: false,
        moves: false,
        models: vec![model],
    }
}

/// Answers calls until an order arrives; returns its fencing token, or `None` if the connection is
/// closed first.
async fn next_order(connection: &mut Connection) -> Option<u64> {
    loop {
        let head = connection.try_head().await?;
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
        let order = head.strip_prefix("POST /order/").and_then(|rest| rest.split_once(' '));
        if let Some((fence, _)) = order {
            return Some(fence.parse().expect("a fencing token"));
        }
    }
}

#[tokio::test]
async fn an_order_of_a_lease_that_expired_before_the_write_is_not_sent() {
    let server = Server::listen("one").await;
    let clock = Clock::from_fn(|| clock::boot_time() + FROZEN.get());
    let _host = TestHost::start_with_orders(clock, engine(), &[&server], freeze).await;
    let received = within(async {
        loop {
            if let Some(fence) = next_order(&mut server.accept().await).await {
                return fence;
            }
        }
    })
    .await;
    let prepared = PREPARED.take();
    let (frozen, sent) = prepared.split_at(FROZEN_ORDERS.min(prepared.len()));
    assert!(!frozen.contains(&received), "{received} was prepared before a freeze: {prepared:?}");
    assert!(sent.contains(&received), "{prepared:?}");
}
