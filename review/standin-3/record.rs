//! What was sent, answered and run, in `record.txt`.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self { started: Instant::now(), file: Mutex::new(File::create(path).expect("the record can be written")) }
    }
    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {line}", self.started.elapsed().as_secs_f64());
    }
}
