//! Contracts: a customer and `field value` pairs that override the default contract.

use model::{Contract, CustomerId};
use serde_json::{Map, Value};
use winnow::{
    combinator::{cut_err, fail, repeat},
    error::{StrContext, StrContextValue},
    prelude::*,
};

use crate::{
    parse::{
        word::{name_except, value},
        Input,
    },
    script::ContractLine,
};

/// A customer and the fields of its contract. The field names are those of the contract's JSON, with `-` for `_`.
pub(super) fn contract_line(input: &mut Input<'_>) -> ModalResult<ContractLine> {
    let customer = value("a customer").parse_next(input)?;
    let fields: Vec<(String, String)> = repeat(0.., contract_field).parse_next(input)?;
    match build(&customer, fields) {
        Some(contract) => Ok(ContractLine { customer, contract }),
        None => cut_err(fail)
            .context(StrContext::Expected(StrContextValue::Description(
                "fields and values of a contract, in range",
            )))
            .parse_next(input),
    }
}

fn contract_field(input: &mut Input<'_>) -> ModalResult<(String, String)> {
    (
        name_except("a field of a contract", &["via"]),
        cut_err(value("its value")),
    )
        .parse_next(input)
}

fn build(customer: &CustomerId, fields: Vec<(String, String)>) -> Option<Contract> {
    let mut object = Map::new();
    for (name, text) in fields {
        let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        let previous = object.insert(name.replace('-', "_"), value);
        if previous.is_some() {
            return None;
        }
    }
    let contract: Contract = serde_json::from_value(Value::Object(object)).ok()?;
    contract.check(customer).ok()?;
    Some(contract)
}
