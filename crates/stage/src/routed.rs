//! Runs a host of a routed deployment, on one thread because its machines are small.

use std::{path::Path, process::ExitCode, sync::Arc};

use relay::edge;
use settings::{
    process::{Dialect, Process, RoutedSettings},
    read_process,
};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::flags::Error;

/// Serves until SIGTERM or Ctrl-C, then finishes the requests in flight.
///
/// # Errors
///
/// Fails if the host can't start.
pub fn run(settings: Process, routed: RoutedSettings, file: &Path) -> Result<ExitCode, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = runtime.block_on(serve(settings, routed, file));
    // The requests that are still in flight end with the runtime, and log that.
    drop(runtime);
    observe::log::flush();
    ended
}

async fn serve(settings: Process, routed: RoutedSettings, file: &Path) -> Result<ExitCode, Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let dialect = dialect(routed.dialect);
    let running = relay::start(settings, routed, dialect).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
        () = handle_reloads(&mut reload, file) => {}
    }
    running.drain().await;
    Ok(ExitCode::SUCCESS)
}

/// Reloads the settings on each SIGHUP; never returns. Only the log level is applied: everything
/// else that may change while a host runs is part of the declared configuration.
async fn handle_reloads(reload: &mut Signal, file: &Path) {
    while reload.recv().await.is_some() {
        log::info!("reload asked for");
        match read_process(file) {
            Ok(settings) => apply(&settings),
            Err(findings) => findings.0.iter().for_each(|finding| log::error!("{finding}")),
        }
    }
    std::future::pending().await
}

fn apply(settings: &Process) {
    match settings.log.level.parse() {
        Ok(level) => observe::log::set_level(level),
        Err(error) => log::error!("invalid log level in the settings: {error}"),
    }
    relay::log_reload(settings);
}

fn dialect(dialect: Dialect) -> Arc<dyn edge::Dialect> {
    match dialect {
        Dialect::Platform => Arc::new(platform::Platform),
    }
}
