//! The choice between a direct connection and one through another host.

use std::{pin::pin, time::Duration};

use tokio::{
    select,
    time::{Instant, sleep, timeout_at},
};

/// Time after which other hosts are asked to connect while a direct connection is not established.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Time for which a direct connection is preferred to one through another host.
const DIRECT_PREFERENCE: Duration = Duration::from_millis(250);

/// Waits for a direct connection, and for one through another host if the direct one has failed or is
/// not established for a while.
///
/// # Errors
///
/// Neither is established; the error is that of the direct connection.
pub(crate) async fn prefer_direct<T, E>(
    direct: impl Future<Output = Result<T, E>>,
    through_other: impl Future<Output = Option<T>>,
) -> Result<T, E> {
    let began = Instant::now();
    let mut direct = pin!(direct);
    let opened = select! {
        opened = &mut direct => Some(opened),
        () = sleep(HEDGE_DELAY) => None,
    };
    match opened {
        Some(Ok(connection)) => Ok(connection),
        Some(Err(error)) => through_other.await.ok_or(error),
        None => {
            let mut through_other = pin!(through_other);
            select! {
                opened = &mut direct => match opened {
                    Ok(connection) => Ok(connection),
                    Err(error) => through_other.await.ok_or(error),
                },
                connection = &mut through_other => match connection {
                    Some(connection) => {
                        match timeout_at(began + DIRECT_PREFERENCE, direct).await {
                            Ok(Ok(direct)) => Ok(direct),
                            Ok(Err(_)) | Err(_) => Ok(connection),
                        }
                    }
                    None => direct.await,
                },
            }
        }
    }
}
