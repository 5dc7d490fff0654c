//! A proxy whose open connections can go silent for good while new ones work.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Proxy {
    pub address: SocketAddr,
    /// Connections of earlier generations deliver nothing.
    generation: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let generation = Arc::new(AtomicU64::new(0));
        let current = Arc::clone(&generation);
        thread::spawn(move || {
            for client in listener.incoming() {
                let (Ok(client), Ok(server)) = (client, TcpStream::connect(target)) else {
                    continue;
                };
                let own = current.load(Ordering::SeqCst);
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let _ = from.set_nodelay(true);
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let current = Arc::clone(&current);
                    thread::spawn(move || pass_on(from, to, own, &current));
                }
            }
        });
        Self {
            address,
            generation,
        }
    }

    /// Lets all open connections go silent.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, own: u64, current: &AtomicU64) {
    let mut buffer = [0; 65_536];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        while current.load(Ordering::SeqCst) != own {
            // Silent for good: neither bytes nor the end of the other side are passed on.
            thread::sleep(Duration::from_secs(1));
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
