//! The project's own processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http;

/// The command of `deploy/system.toml`.
const RUN: [&str; 3] = ["target/release/goldcrest-entry", "--metrics", "7000"];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// `PR_SET_PDEATHSIG`: the process gets a signal when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Kill = 9,
    Terminate = 15,
}

/// The processes that were started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().iter() {
        // SAFETY: the process was started here and has not been waited for, so the id is still its own.
        unsafe { kill(*id as i32, Signal::Kill as i32) };
    }
}

fn forget(child: &Child) {
    RUNNING.lock().unwrap().retain(|id| *id != child.id());
}

/// A free port of an address.
fn free_port(ip: IpAddr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// An entry's addresses and its process.
pub struct EntryProcess {
    pub number: usize,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl EntryProcess {
    /// Prepares an entry at an address of its own. `store`, `machines` and `advice` are what it calls.
    pub fn new(
        number: usize,
        ip: IpAddr,
        store: SocketAddr,
        machines: SocketAddr,
        advice: SocketAddr,
        zone: &str,
        bounds: &str,
        folder: PathBuf,
    ) -> std::io::Result<Self> {
        let (front, readiness) = (free_port(ip)?, free_port(ip)?);
        let settings = folder.join(format!("entry-{number}.toml"));
        let text = format!(
            "nodeName = \"entry-{number}\"\nrole = \"entry\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"vestland\"\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\norders = \"call\"\nadvice = \"{advice}\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"quota\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n\
             [listen]\nfront = \"{front}\"\nreadiness = \"{readiness}\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n\
             [bounds]\n{bounds}\n[platform]\naddress = \"{store}\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nretentionS = 20\n\
             valueBytes = 1048576\nminTtlMs = 1000\n[cloudApi]\naddress = \"{machines}\"\nratePerS = 64.0\ndutiesPerS = 64.0\n"
        );
        fs::write(&settings, text)?;
        Ok(Self {
            number,
            front,
            readiness,
            settings,
            folder,
            child: None,
            starts: 0,
        })
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        self.starts += 1;
        let log = File::create(
            self.folder
                .join(format!("entry-{}.{}.log", self.number, self.starts)),
        )?;
        let mut command = Command::new(RUN[0]);
        // SAFETY: the closure makes one system call and touches no memory of the parent.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, Signal::Kill as u64);
                Ok(())
            });
        }
        let child = command
            .args(&RUN[1..])
            .env("GOLDCRESTSTILE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and has not been waited for, so the id is still its own.
            unsafe { kill(child.id() as i32, signal as i32) };
        }
    }

    /// Waits until the process has ended, at most for `within`; kills it after that.
    pub fn wait(&mut self, within: Duration) {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let Some(child) = &mut self.child else { return };
            if matches!(child.try_wait(), Ok(Some(_))) {
                forget(child);
                self.child = None;
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(&child);
        }
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(
            self.readiness,
            "GET",
            "/goldcreststile/ready",
            &[],
            "",
            timeout,
        );
        matches!(answer, Some((200, _)))
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
