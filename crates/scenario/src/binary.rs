//! Finds the binary under test, and builds it where cargo runs the tests.

use std::{
    env,
    path::{Path, PathBuf},
    process::Command,
    sync::Mutex,
};

use crate::error::BinaryError;

/// Whether the binary has been built. Held during the build, because concurrent builds would only wait for cargo's
/// lock.
static BUILT: Mutex<bool> = Mutex::new(false);

/// Returns the path of `cairnpaddle` in the target directory of the running test.
///
/// Under cargo the binary is built first, with the test's profile; otherwise scenarios could pass or fail on a stale
/// binary from an earlier build. Cargo itself decides whether the binary is stale.
///
/// # Errors
///
/// Fails if the test executable is not in a target directory, if the build fails, or if the binary does not exist.
pub fn find_binary() -> Result<PathBuf, BinaryError> {
    let profile_dir = profile_dir().ok_or(BinaryError::NoTargetDirectory)?;
    if let Some(cargo) = env::var_os("CARGO") {
        let mut built = BUILT
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if !*built {
            build(Path::new(&cargo), &profile_dir)?;
            *built = true;
        }
    }
    let binary = profile_dir.join("cairnpaddle");
    if !binary.is_file() {
        return Err(BinaryError::NotFound(binary.display().to_string()));
    }
    Ok(binary)
}

/// Returns `target/<profile>` of the running test, whose executable is there or in its `deps` directory.
fn profile_dir() -> Option<PathBuf> {
    let exe = env::current_exe().ok()?;
    let dir = exe.parent()?;
    if dir.file_name()? == "deps" {
        return Some(dir.parent()?.to_owned());
    }
    Some(dir.to_owned())
}

fn build(cargo: &Path, profile_dir: &Path) -> Result<(), BinaryError> {
    let target_dir = profile_dir.parent().ok_or(BinaryError::NoTargetDirectory)?;
    let profile = match profile_dir.file_name().and_then(|name| name.to_str()) {
        Some("debug") | None => "dev",
        Some(other) => other,
    };
    let output = Command::new(cargo)
        .args([
            "build",
            "-p",
            "cairnpaddle",
            "--locked",
            "-j4",
            "--profile",
            profile,
        ])
        .arg("--target-dir")
        .arg(target_dir)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()?;
    if output.status.success() {
        return Ok(());
    }
    Err(BinaryError::Build(
        String::from_utf8_lossy(&output.stderr).into_owned(),
    ))
}
