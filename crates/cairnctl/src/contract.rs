//! `cairnctl contract`.

use std::{fs, io, path::Path};

use awc::http::Method;
use command_line::CommandError;
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

/// The most entries that are asked for at once.
const PAGE_LIMIT: usize = 500;

/// Runs the command and gives the output.
pub(crate) fn run(
    client: &EntryClient,
    command: ContractCommand,
    form: OutputForm,
) -> Result<String, CommandError> {
    let (customer, change) = match command {
        ContractCommand::Create { file, customer } => {
            let contract = read_contract(&file, &customer)?.whole;
            (customer, ContractChange::Create(contract))
        }
        ContractCommand::Change {
            version,
            file,
            customer,
        } => {
            let fields = read_contract(&file, &customer)?.fields;
            let contract = merge_contract(client, &customer, version, fields)?;
            (customer, ContractChange::Replace(version, contract))
        }
        ContractCommand::Retire { version, customer } => {
            (customer, ContractChange::Retire(version))
        }
        ContractCommand::Show { customer } => {
            let value = read(client, contract_path(&customer))?;
            return Ok(form.render(&value, contract_text));
        }
        ContractCommand::List => {
            let value = read_pages(client, CONTRACTS_PATH, "contracts")?;
            return Ok(form.render(&value, list_text));
        }
        ContractCommand::History { customer } => {
            let path = format!("{}/history", contract_path(&customer));
            let value = read_pages(client, &path, "versions")?;
            return Ok(form.render(&value, history_text));
        }
    };
    let value = make_change(client, &customer, &change)?;
    Ok(form.render(&value, contract_text))
}

/// A change of one contract.
enum ContractChange {
    /// The first version.
    Create(Value),
    /// The next version after this one.
    Replace(ContractVersion, Value),
    /// A next version after this one that covers no new work.
    Retire(ContractVersion),
}

impl ContractChange {
    fn call(&self, customer: &CustomerId) -> EntryCall {
        let (method, precondition, body) = match self {
            Self::Create(contract) => (
                Method::PUT,
                ("if-none-match", "*".to_owned()),
                Some(contract.clone()),
            ),
            Self::Replace(version, contract) => (
                Method::PUT,
                ("if-match", format!("\"{version}\"")),
                Some(contract.clone()),
            ),
            Self::Retire(version) => (Method::DELETE, ("if-match", format!("\"{version}\"")), None),
        };
        EntryCall {
            method,
            path: contract_path(customer),
            headers: vec![precondition],
            body,
        }
    }

    /// Whether the contract in force is what this change makes.
    fn is_in_force(&self, row: &Value) -> bool {
        let (before, made) = match self {
            Self::Create(contract) => (0, row["contract"] == *contract),
            Self::Replace(version, contract) => (version.0, row["contract"] == *contract),
            Self::Retire(version) => (version.0, row["contract"]["state"] == "retired"),
        };
        made && row["version"] == before + 1
    }
}

/// Changes a contract and gives it as it is then.
///
/// Failure: the answer is lost after the write may have taken effect. Symptom: the operator cannot tell whether the
/// change is in force, and a repeat gets a conflict with the operator's own change. The precondition leaves one
/// version that the change can have made, so if that version is in force with what was sent, the change is done.
/// Anything else is said to be unknown, never "not changed", since the write may still land.
fn make_change(
    client: &EntryClient,
    customer: &CustomerId,
    change: &ContractChange,
) -> Result<Value, CommandError> {
    let error = match client.call(&change.call(customer)) {
        Ok(value) => return Ok(value),
        Err(error) => error,
    };
    let context = match error {
        CallError::AnswerLost { .. } => {
            match client.call(&EntryCall::get(contract_path(customer))) {
                Ok(row) if change.is_in_force(&row) => return Ok(row),
                _ => format!(
                    "outcome unknown, look again with `cairnctl contract history {customer}`"
                ),
            }
        }
        CallError::Refused {
            status: PRECONDITION_FAILED,
            ..
        } => conflict_text(customer),
        other => return Err(Report::new(other).into()),
    };
    Err(Report::new(error).wrap_err(context).into())
}

fn read(client: &EntryClient, path: String) -> Result<Value, CommandError> {
    let value = client.call(&EntryCall::get(path)).map_err(Report::new)?;
    Ok(value)
}

/// Reads every page of a list.
fn read_pages(client: &EntryClient, path: &str, field: &str) -> Result<Value, CommandError> {
    let mut items = Vec::new();
    let mut after = String::new();
    loop {
        let mut page = read(client, format!("{path}?limit={PAGE_LIMIT}{after}"))?;
        if let Some(more) = page[field].as_array_mut() {
            items.append(more);
        }
        if page["next"].is_null() {
            return Ok(json!({ field: items }));
        }
        after = format!("&after={}", cell(&page["next"]));
    }
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
fn read_contract(file: &Path, customer: &CustomerId) -> Result<ContractFile, CommandError> {
    let text = match file.to_str() {
        Some("-") => io::read_to_string(io::stdin()),
        _ => fs::read_to_string(file),
    };
    let text = text
        .wrap_err_with(|| format!("contract {} cannot be read", file.display()))
        .map_err(CommandError::UsageError)?;
    let wrong = || format!("wrong contract in {}", file.display());
    let fields = serde_json::from_str(&text)
        .wrap_err_with(wrong)
        .map_err(CommandError::UsageError)?;
    let contract: Contract = serde_json::from_str(&text)
        .wrap_err_with(wrong)
        .map_err(CommandError::UsageError)?;
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
) -> Result<Value, CommandError> {
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

fn checked(contract: &Contract, customer: &CustomerId) -> Result<Value, CommandError> {
    contract
        .check(customer)
        .map_err(|error| CommandError::UsageError(Report::new(error)))?;
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
    for item in value["versions"].as_array().into_iter().flatten() {
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
