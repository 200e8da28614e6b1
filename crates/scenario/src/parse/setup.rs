//! Parsers of set-up lines.

use serde_json::Value;
use winnow::{
    combinator::{alt, cut_err, preceded, seq},
    prelude::*,
};

use crate::{
    parse::{
        contract::contract_line,
        word::{field, keyword, value},
        Input,
    },
    script::{DataCentreLine, ProcessRole, SettingLine, Setup, Statement},
};

pub(super) fn setup(input: &mut Input<'_>) -> ModalResult<Setup> {
    alt((
        field("seed", "a number").map(Setup::Seed),
        preceded(keyword("data-centre"), cut_err(data_centre)).map(Setup::DataCentre),
        preceded(keyword("contract"), cut_err(contract_line)).map(Setup::Contract),
        preceded(keyword("setting"), cut_err(setting)).map(Setup::Setting),
    ))
    .parse_next(input)
}

pub(super) fn is_data_centre(statement: &Statement) -> bool {
    matches!(statement, Statement::Setup(Setup::DataCentre(_)))
}

fn data_centre(input: &mut Input<'_>) -> ModalResult<DataCentreLine> {
    seq! {DataCentreLine {
        name: value("the name of a data centre"),
        vms: field("vms", "a number"),
        endpoints: field("endpoints", "a number"),
        slots: field("slots", "a number"),
    }}
    .parse_next(input)
}

fn setting(input: &mut Input<'_>) -> ModalResult<SettingLine> {
    seq! {SettingLine {
        role: role,
        path: value("the path of a field"),
        value: value::<Value>("a JSON value without blanks"),
    }}
    .parse_next(input)
}

pub(super) fn role(input: &mut Input<'_>) -> ModalResult<ProcessRole> {
    alt((
        keyword("entry").value(ProcessRole::Entry),
        keyword("dispatcher").value(ProcessRole::Dispatcher),
    ))
    .parse_next(input)
}
