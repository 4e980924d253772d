//! The choice between a direct connection to a server and one through another host.

#[path = "../src/prefer.rs"]
mod prefer;

use std::time::Duration;

use prefer::prefer_direct;
use rstest::rstest;
use tokio::time::sleep;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Direct,
    Relayed,
}

/// The direct connection is not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Failed;

/// Opens both connections, of which each ends with its result after its time in milliseconds.
async fn open(
    direct: (u64, Result<Way, Failed>),
    through_other: (u64, Option<Way>),
) -> Result<Way, Failed> {
    async fn after<T>((time_ms, result): (u64, T)) -> T {
        sleep(Duration::from_millis(time_ms)).await;
        result
    }
    prefer_direct(after(direct), after(through_other)).await
}

/// Guards against a connection through another host that is dropped on its way when the direct one
/// fails.
#[rstest]
#[case::before_the_other_is_asked(50)]
#[case::while_the_other_connects(200)]
#[tokio::test]
async fn a_failed_direct_connection_leaves_the_one_through_another_host(#[case] failed_ms: u64) {
    let opened = open((failed_ms, Err(Failed)), (300, Some(Way::Relayed))).await;
    assert_eq!(opened, Ok(Way::Relayed));
}

/// Guards against a panic, or an endless wait, where both fail.
#[rstest]
#[case::direct_first(200, 300)]
#[case::other_first(300, 100)]
#[case::direct_before_the_other_is_asked(50, 300)]
#[case::at_the_same_time(300, 200)]
#[tokio::test]
async fn the_error_of_the_direct_connection_is_returned_if_both_fail(
    #[case] direct_ms: u64,
    #[case] other_ms: u64,
) {
    assert_eq!(open((direct_ms, Err(Failed)), (other_ms, None)).await, Err(Failed));
}

/// Guards against a connection through another host that is used although the direct one is
/// established in time, or not used although the direct one is late or fails.
#[rstest]
#[case::in_time(200, Ok(Way::Direct), Way::Direct)]
#[case::late(400, Ok(Way::Direct), Way::Relayed)]
#[case::fails_in_time(200, Err(Failed), Way::Relayed)]
#[tokio::test]
async fn a_direct_connection_is_preferred_for_a_while(
    #[case] direct_ms: u64,
    #[case] direct: Result<Way, Failed>,
    #[case] expected: Way,
) {
    assert_eq!(open((direct_ms, direct), (50, Some(Way::Relayed))).await, Ok(expected));
}

/// Guards against a direct connection that is not awaited once no other host can connect.
#[tokio::test]
async fn a_late_direct_connection_is_used_if_no_other_host_connects() {
    assert_eq!(open((600, Ok(Way::Direct)), (50, None)).await, Ok(Way::Direct));
}
