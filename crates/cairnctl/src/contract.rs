//! `cairnctl contract`.

use std::{fs, io, path::Path};

use awc::http::Method;
use command_line::CommandFault;
use eyre::{eyre, Report, WrapErr as _};
use model::{Contract, ContractVersion, CustomerId};
use serde_json::{json, Map, Value};

use crate::{
    client::{CallError, EntryCall, EntryClient},
    options::ContractCommand,
    render::{cell, flat_rows, table, OutputForm},
};

const CONTRACTS_PATH: &str = "/v1/contracts";

/// The status of a change whose precondition does not hold.
const PRECONDITION_FAILED: u16 = 412;

/// Runs the command and gives the output.
pub(crate) fn run(
    client: &EntryClient,
    command: ContractCommand,
    form: OutputForm,
) -> Result<String, CommandFault> {
    match command {
        ContractCommand::Create { file, customer } => {
            let body = read_contract(&file, &customer)?.whole;
            let precondition = ("if-none-match", "*".to_owned());
            change(
                client,
                &customer,
                Method::PUT,
                precondition,
                Some(body),
                form,
            )
        }
        ContractCommand::Change {
            version,
            file,
            customer,
        } => {
            let fields = read_contract(&file, &customer)?.fields;
            let body = merge_contract(client, &customer, version, fields)?;
            let precondition = ("if-match", format!("\"{version}\""));
            change(
                client,
                &customer,
                Method::PUT,
                precondition,
                Some(body),
                form,
            )
        }
        ContractCommand::Retire { version, customer } => {
            let precondition = ("if-match", format!("\"{version}\""));
            change(client, &customer, Method::DELETE, precondition, None, form)
        }
        ContractCommand::Show { customer } => {
            let value = read(client, contract_path(&customer))?;
            Ok(form.render(&value, contract_text))
        }
        ContractCommand::List => {
            let value = read(client, CONTRACTS_PATH.to_owned())?;
            Ok(form.render(&value, list_text))
        }
        ContractCommand::History { customer } => {
            let value = read(client, format!("{}/history", contract_path(&customer)))?;
            Ok(form.render(&value, history_text))
        }
    }
}

/// Changes a contract.
///
/// Failure: the answer is lost after the write may have taken effect. Symptom: the operator cannot tell whether the
/// change is in force, and a repeat gets a conflict with the operator's own change. Each change carries an id, and
/// the contract tells the id of its last change, so reading back decides it; where that cannot be read, or shows
/// another id, the outcome is said to be unknown, never "not changed", since the write may still land.
fn change(
    client: &EntryClient,
    customer: &CustomerId,
    method: Method,
    precondition: (&'static str, String),
    body: Option<Value>,
    form: OutputForm,
) -> Result<String, CommandFault> {
    let change_id = format!("{:016x}", fastrand::u64(..));
    let call = EntryCall {
        method,
        path: contract_path(customer),
        headers: vec![precondition, ("change-id", change_id.clone())],
        body,
    };
    let error = match client.call(&call) {
        Ok(value) => return Ok(form.render(&value, contract_text)),
        Err(error) => error,
    };
    match error {
        CallError::AnswerLost { .. } => {
            let read_back = client.call(&EntryCall::get(contract_path(customer)));
            match read_back {
                Ok(value) if value["change_id"] == change_id.as_str() => {
                    Ok(form.render(&value, contract_text))
                }
                _ => Err(Report::new(error)
                    .wrap_err(format!(
                        "outcome unknown, look again with `cairnctl contract show {customer}`"
                    ))
                    .into()),
            }
        }
        CallError::Refused {
            status: PRECONDITION_FAILED,
            ..
        } => Err(Report::new(error).wrap_err(conflict_text(customer)).into()),
        other => Err(Report::new(other).into()),
    }
}

fn read(client: &EntryClient, path: String) -> Result<Value, CommandFault> {
    let value = client.call(&EntryCall::get(path)).map_err(Report::new)?;
    Ok(value)
}

fn contract_path(customer: &CustomerId) -> String {
    format!("{CONTRACTS_PATH}/{customer}")
}

/// A contract file.
struct ContractFile {
    /// The fields that stand in it.
    fields: Map<String, Value>,
    /// All fields, with defaults for the others.
    whole: Value,
}

/// Reads and checks a contract before anything is sent.
fn read_contract(file: &Path, customer: &CustomerId) -> Result<ContractFile, CommandFault> {
    let text = match file.to_str() {
        Some("-") => io::read_to_string(io::stdin()),
        _ => fs::read_to_string(file),
    };
    let text = text
        .wrap_err_with(|| format!("contract {} cannot be read", file.display()))
        .map_err(CommandFault::WrongUsage)?;
    let wrong = || format!("wrong contract in {}", file.display());
    let fields = serde_json::from_str(&text)
        .wrap_err_with(wrong)
        .map_err(CommandFault::WrongUsage)?;
    let contract: Contract = serde_json::from_str(&text)
        .wrap_err_with(wrong)
        .map_err(CommandFault::WrongUsage)?;
    let whole = checked(&contract, customer)?;
    Ok(ContractFile { fields, whole })
}

/// The contract in force with the fields of a file in place of its own.
///
/// Failure: a file with one field is taken for a whole contract. Symptom: the other limits fall back to defaults,
/// and a customer's work is refused or starves others. The fields that the file leaves out come from the version
/// that the change starts from, and the change is refused if that version is no longer in force.
fn merge_contract(
    client: &EntryClient,
    customer: &CustomerId,
    version: ContractVersion,
    fields: Map<String, Value>,
) -> Result<Value, CommandFault> {
    let mut current = read(client, contract_path(customer))?;
    if current["version"] != version.0 {
        let report = eyre!("version {} is in force", cell(&current["version"]));
        return Err(report.wrap_err(conflict_text(customer)).into());
    }
    let mut whole = current["contract"].take();
    let Some(own) = whole.as_object_mut() else {
        return Err(eyre!("the entry answered without a contract").into());
    };
    own.extend(fields);
    let contract: Contract = serde_json::from_value(whole)
        .wrap_err("the contract in force is of another form than this program knows")?;
    checked(&contract, customer)
}

fn checked(contract: &Contract, customer: &CustomerId) -> Result<Value, CommandFault> {
    contract
        .check(customer)
        .map_err(|error| CommandFault::WrongUsage(Report::new(error)))?;
    let whole = serde_json::to_value(contract).map_err(Report::new)?;
    Ok(whole)
}

fn conflict_text(customer: &CustomerId) -> String {
    format!("not changed, another version is in force, see `cairnctl contract show {customer}`")
}

fn contract_text(value: &Value) -> String {
    let mut rows = vec![
        vec!["customer".to_owned(), cell(&value["customer"])],
        vec!["version".to_owned(), cell(&value["version"])],
    ];
    rows.extend(flat_rows(&value["contract"]));
    table(&rows)
}

fn list_text(value: &Value) -> String {
    const COLUMNS: [&str; 6] = [
        "state",
        "concurrency",
        "answer_within_ms",
        "max_tasks",
        "may_refuse",
        "share",
    ];
    let mut header = vec!["customer".to_owned(), "version".to_owned()];
    header.extend(COLUMNS.map(str::to_owned));
    let mut rows = vec![header];
    for item in value["contracts"].as_array().into_iter().flatten() {
        let mut row = vec![cell(&item["customer"]), cell(&item["version"])];
        row.extend(COLUMNS.map(|column| cell(&item["contract"][column])));
        rows.push(row);
    }
    table(&rows)
}

fn history_text(value: &Value) -> String {
    let mut rows = Vec::new();
    let mut before = json!({});
    for item in value["changes"].as_array().into_iter().flatten() {
        let version = format!("version {}", cell(&item["version"]));
        let changes = changed_fields(&before, &item["contract"]);
        rows.push(vec![version, changes.join(", ")]);
        before = item["contract"].clone();
    }
    table(&rows)
}

fn changed_fields(before: &Value, after: &Value) -> Vec<String> {
    let empty = Map::new();
    let mut changes = Vec::new();
    for (field, value) in after.as_object().unwrap_or(&empty) {
        match before.get(field) {
            None => changes.push(format!("{field} {}", cell(value))),
            Some(old) if old != value => {
                changes.push(format!("{field} {} -> {}", cell(old), cell(value)));
            }
            Some(_) => {}
        }
    }
    changes
}
