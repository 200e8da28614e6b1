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
    render::{cell, flat_rows, table, OutputFormat},
};

const CONTRACTS_PATH: &str = "/v1/contracts";

/// The HTTP status of a change whose precondition does not hold.
const PRECONDITION_FAILED: u16 = 412;

/// The entries to request per page; the largest number that an entry accepts.
const PAGE_LIMIT: usize = 500;

/// Runs the command and returns its output.
pub(crate) fn run(
    client: &EntryClient,
    command: ContractCommand,
    output_format: OutputFormat,
) -> Result<String, CommandError> {
    let (customer, change) = match command {
        ContractCommand::Create { file, customer } => {
            let contract = read_contract(&file, &customer)?.full_contract;
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
            return Ok(output_format.render(&value, contract_text));
        }
        ContractCommand::List => {
            let value = read_pages(client, CONTRACTS_PATH, "contracts")?;
            return Ok(output_format.render(&value, list_text));
        }
        ContractCommand::History { customer } => {
            let path = format!("{}/history", contract_path(&customer));
            let value = read_pages(client, &path, "versions")?;
            return Ok(output_format.render(&value, history_text));
        }
    };
    let value = send_change(client, &customer, &change)?;
    Ok(output_format.render(&value, contract_text))
}

/// A change of one contract.
enum ContractChange {
    /// Creates the first version.
    Create(Value),
    /// Replaces this version by the next one.
    Replace(ContractVersion, Value),
    /// Replaces this version by one under which new work is refused.
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

    /// Whether the contract in force is the one that this change writes.
    fn is_in_force(&self, row: &Value) -> bool {
        let (before, made) = match self {
            Self::Create(contract) => (0, row["contract"] == *contract),
            Self::Replace(version, contract) => (version.0, row["contract"] == *contract),
            Self::Retire(version) => (version.0, row["contract"]["state"] == "retired"),
        };
        made && row["version"] == before + 1
    }
}

/// Changes a contract and returns the new version.
///
/// The answer can be lost after the write may have taken effect. The operator then does not know whether the change is
/// in force, and repeating it conflicts with the operator's own change. The precondition leaves only one version that
/// the change can have written, so the change has succeeded if that version is in force with the content that was
/// sent. Any other state is reported as unknown, never as "not changed", since the write may still take effect.
fn send_change(
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
                _ => format!("outcome unknown, check with `cairnctl contract history {customer}`"),
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
    /// The fields that the file contains.
    fields: Map<String, Value>,
    /// All fields, with defaults for those that the file omits.
    full_contract: Value,
}

/// Reads and validates a contract file before anything is sent.
fn read_contract(file: &Path, customer: &CustomerId) -> Result<ContractFile, CommandError> {
    let text = match file.to_str() {
        Some("-") => io::read_to_string(io::stdin()),
        _ => fs::read_to_string(file),
    };
    let text = text
        .wrap_err_with(|| format!("cannot read contract {}", file.display()))
        .map_err(CommandError::UsageError)?;
    let invalid = || format!("invalid contract in {}", file.display());
    let fields = serde_json::from_str(&text)
        .wrap_err_with(invalid)
        .map_err(CommandError::UsageError)?;
    let contract: Contract = serde_json::from_str(&text)
        .wrap_err_with(invalid)
        .map_err(CommandError::UsageError)?;
    let full_contract = validate_contract(&contract, customer)?;
    Ok(ContractFile {
        fields,
        full_contract,
    })
}

/// Merges the fields of a file into the contract in force.
///
/// If a file with one field were taken for a whole contract, the other limits would fall back to defaults, and the
/// customer's work would be refused or would starve others. The fields that the file omits come from the version
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
    let mut full_contract = current["contract"].take();
    let Some(current_fields) = full_contract.as_object_mut() else {
        return Err(eyre!("the entry answered without a contract").into());
    };
    current_fields.extend(fields);
    let contract: Contract = serde_json::from_value(full_contract)
        .wrap_err("the contract in force has a form that this program does not know")?;
    validate_contract(&contract, customer)
}

fn validate_contract(contract: &Contract, customer: &CustomerId) -> Result<Value, CommandError> {
    contract
        .check(customer)
        .map_err(|error| CommandError::UsageError(Report::new(error)))?;
    let full_contract = serde_json::to_value(contract).map_err(Report::new)?;
    Ok(full_contract)
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
