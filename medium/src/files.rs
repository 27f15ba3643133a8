//! The data folder: carries out the file operations of `tenet::disk`, with syncs.

use eyre::{eyre, Result, WrapErr};
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender};
use tenet::control::In;
use tenet::disk::*;

/// An open data folder, locked against other processes.
pub struct Folder {
    path: PathBuf,
    shelf: Shelf,
    /// What it held when it was opened.
    pub durable: Option<Durable>,
    _lock: File,
}

fn read(p: &Path) -> Result<Vec<u8>> {
    match fs::read(p) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Vec::new()),
        r => r.wrap_err_with(|| format!("data folder: {}", p.display())),
    }
}

/// Opens a folder and reads it. One that is damaged is refused and left as it is.
pub fn open(path: &Path) -> Result<Folder> {
    fs::create_dir_all(path).wrap_err_with(|| format!("data folder {}", path.display()))?;
    let lock = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path.join("lock"))?;
    lock.try_lock().map_err(|_| {
        eyre!(
            "data folder {} is in use by another process",
            path.display()
        )
    })?;
    let s = [read(&path.join(SLOTS[0]))?, read(&path.join(SLOTS[1]))?];
    let l = [read(&path.join(LOGS[0]))?, read(&path.join(LOGS[1]))?];
    let (shelf, durable) = Shelf::recover([&s[0], &s[1]], [&l[0], &l[1]]).map_err(|e| {
        eyre!(
            "data folder {}: {e}; it is refused, nothing was changed",
            path.display()
        )
    })?;
    Ok(Folder {
        path: path.into(),
        shelf,
        durable,
        _lock: lock,
    })
}

impl Folder {
    fn act(&self, op: FileOp) -> Result<()> {
        match op {
            FileOp::Settle => {
                let all = SLOTS
                    .iter()
                    .chain(&LOGS)
                    .map(|n| self.path.join(n))
                    .filter(|p| p.exists());
                for p in all {
                    File::open(p)?.sync_all()?;
                }
                File::open(&self.path)?.sync_all()?;
            }
            FileOp::Append { name, bytes } => {
                let mut f = OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(self.path.join(name))?;
                f.write_all(&bytes)?;
                f.sync_data()?;
            }
            FileOp::Replace { name, bytes } => {
                let mut f = File::create(self.path.join(name))?;
                f.write_all(&bytes)?;
                f.sync_all()?;
                File::open(&self.path)?.sync_all()?;
            }
        }
        Ok(())
    }

    fn settle(&mut self, d: &Durable) -> Result<()> {
        for op in self.shelf.fresh(d) {
            self.act(op)?;
        }
        Ok(())
    }

    /// Writes and syncs records as they arrive and says which are kept. Ends at the first failure.
    pub fn serve(mut self, rx: Receiver<(u64, Vec<Rec>)>, tx: Sender<In>, fail: impl Fn(String)) {
        let mut d = self.durable.take().unwrap_or_default();
        if let Err(e) = self.settle(&d) {
            return fail(e.to_string());
        }
        while let Ok((mut seq, mut v)) = rx.recv() {
            while let Ok((s, mut w)) = rx.try_recv() {
                seq = s;
                v.append(&mut w);
            }
            v.iter().for_each(|r| {
                d.play(r);
            });
            let r: Result<()> = self
                .shelf
                .keep(&v, &d)
                .into_iter()
                .try_for_each(|op| self.act(op));
            if let Err(e) = r {
                return fail(e.to_string());
            }
            if tx.send(In::Synced(seq)).is_err() {
                return;
            }
        }
    }
}
