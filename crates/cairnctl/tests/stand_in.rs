//! `cairnctl stand-in` as a separate process: it prints its listening address and exits cleanly on a signal.

use std::{
    io::{BufRead, BufReader},
    net::TcpStream,
    process::{Child, Command, Stdio},
};

const VMS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/examples/vms.json");

fn check_stand_in(args: &[&str], line: &str) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cairnctl"))
        .arg("stand-in")
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut first_line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut first_line)
        .unwrap();
    let address = first_line
        .split([' ', ','])
        .find(|word| word.starts_with("127.0.0.1:"))
        .unwrap_or_else(|| panic!("no address in {first_line:?}"));
    assert_eq!(first_line.replace(address, "ADDRESS"), line);
    TcpStream::connect(address).unwrap();
    terminate(&child);
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

fn terminate(child: &Child) {
    let pid = libc::pid_t::try_from(child.id()).unwrap();
    // SAFETY: `kill` takes no pointers; the child has not been waited for, so its process id has not been reused.
    let sent = unsafe { libc::kill(pid, libc::SIGTERM) };
    assert_eq!(sent, 0);
}

#[test]
fn stand_ins_listen_until_a_signal() {
    check_stand_in(
        &["platform", "--listen", "127.0.0.1:0", "--vms", VMS],
        "platform on ADDRESS, 2 VMs listed\n",
    );
    check_stand_in(
        &["endpoint", "e1", "--listen", "127.0.0.1:0", "--slots", "3"],
        "endpoint e1 on ADDRESS, 3 slots\n",
    );
}

#[test]
fn an_invalid_vm_list_exits_with_2() {
    let contract = VMS.replace("vms.json", "contract.json");
    for file in ["no/such.json", &contract] {
        let output = Command::new(env!("CARGO_BIN_EXE_cairnctl"))
            .args(["stand-in", "platform", "--vms", file])
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2), "{file}");
        assert_eq!(String::from_utf8(output.stderr).unwrap().lines().count(), 1);
    }
}
