//! Logs and metrics.

use std::io::Write;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Installs the logger: one line of key=value pairs for each event, filtered by `RUST_LOG`.
pub fn install_logger() {
    let env = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(env)
        .format(|buf, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(buf, "ts={} level={level} {}", crate::clock::unix_ms(), record.args())
        })
        .try_init();
}

/// Installs the recorder of metrics; a process has one, shared by its instances.
pub fn install_metrics() -> PrometheusHandle {
    static HANDLE: std::sync::OnceLock<PrometheusHandle> = std::sync::OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    HANDLE.get_or_init(install).clone()
}
