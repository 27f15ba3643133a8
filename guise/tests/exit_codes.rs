//! Processes that cannot run end with the exit code that names the cause.

mod common;

use common::bin;
use guise::fleet::until;
use guise::processes::free_port;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

fn accord(data: &Path) -> (Option<i32>, String) {
    let o = lone(bin("accord"), data, free_port().unwrap())
        .output()
        .unwrap();
    (o.status.code(), String::from_utf8_lossy(&o.stderr).into())
}

fn lone(mut c: Command, data: &Path, http: SocketAddr) -> Command {
    let a = || free_port().unwrap().to_string();
    c.arg(format!("--listen={}", a()))
        .arg(format!("--http={http}"))
        .arg("--domain=d");
    (0..3).for_each(|_| {
        c.arg(format!("--seed={}", a()));
    });
    c.arg(format!("--data={}", data.display()));
    c
}

#[test]
fn a_disk_without_room_ends_the_process_with_74_and_it_starts_when_there_is_some() {
    let d = std::env::temp_dir().join(format!("firramp-full-{}", std::process::id()));
    std::fs::create_dir_all(&d).unwrap();
    let mut c = Command::new("bash");
    c.arg("-c")
        .arg("trap '' XFSZ; ulimit -f 0; exec \"$0\" \"$@\"")
        .arg(bin("accord").get_program());
    let o = lone(c, &d, free_port().unwrap()).output().unwrap();
    let says = String::from_utf8_lossy(&o.stderr);
    assert!(
        o.status.code() == Some(74) && says.contains("disk:"),
        "{:?} {says}",
        o.status.code()
    );
    let http = free_port().unwrap();
    let mut c = lone(bin("accord"), &d, http)
        .stderr(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let rt = tokio::runtime::Runtime::new().unwrap();
    let b = medium::back::Back::new(medium::clock::Clock::new()).unwrap();
    let up = rt.block_on(until("the process to answer", 15_000, || async {
        b.get(http, "/view").await.is_some()
    }));
    let _ = c.kill();
    let _ = c.wait();
    up.unwrap();
    let _ = std::fs::remove_dir_all(&d);
}

#[test]
fn a_damaged_folder_and_bad_settings_end_with_their_exit_codes() {
    let d = std::env::temp_dir().join(format!("firramp-damaged-{}", std::process::id()));
    std::fs::create_dir_all(&d).unwrap();
    std::fs::write(d.join("slot.0"), b"not ours").unwrap();
    std::fs::write(d.join("slot.1"), b"nor this").unwrap();
    let (code, says) = accord(&d);
    assert!(
        code == Some(1) && says.contains("damaged") && says.contains("refused"),
        "{code:?} {says}"
    );
    assert_eq!(std::fs::read(d.join("slot.1")).unwrap(), b"nor this");
    let o = bin("flow")
        .arg("--settings=/nowhere.json")
        .output()
        .unwrap();
    assert!(
        o.status.code() == Some(2) && String::from_utf8_lossy(&o.stderr).contains("/nowhere.json")
    );
    let f = d.join("bad.json");
    std::fs::write(&f, r#"{"listen": "127.0.0.1:1", "wrong": 1}"#).unwrap();
    let o = bin("flow")
        .arg(format!("--settings={}", f.display()))
        .output()
        .unwrap();
    assert!(o.status.code() == Some(2) && String::from_utf8_lossy(&o.stderr).contains("wrong"));
    for b in ["flow", "accord", "motive", "guise", "chance"] {
        assert!(
            bin(b).arg("--help").output().unwrap().status.success(),
            "{b} --help"
        );
    }
    let o = bin("accord").arg("check").arg(&f).output().unwrap();
    assert!(
        o.status.code() == Some(1) && String::from_utf8_lossy(&o.stderr).contains("unknown field")
    );
    let _ = std::fs::remove_dir_all(&d);
}
