//! Writes what was sent, answered and run to `record.txt`.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    passed_on: Arc<Mutex<Vec<(String, String)>>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), passed_on: Arc::default(), start: Instant::now() }
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Writes a line also to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Notes that an attempt has reached an engine.
    pub fn passed_on(&self, engine: &str, id: &str) {
        self.line(&format!("passed on to engine={engine} id={id}"));
        self.passed_on.lock().unwrap().push((engine.to_owned(), id.to_owned()));
    }

    /// Notes that an engine began to work on an attempt.
    pub fn run(&self, engine: &str, id: &str) {
        self.line(&format!("run engine={engine} id={id}"));
    }

    /// Returns the engine and the id of each attempt that has reached an engine.
    pub fn all_passed_on(&self) -> Vec<(String, String)> {
        self.passed_on.lock().unwrap().clone()
    }
}
