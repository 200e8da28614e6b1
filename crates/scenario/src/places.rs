//! Names of places, and between which of them a scenario changes the network.
//!
//! Processes connect directly unless some step names the two places: a link in between hides that a process is gone,
//! since the forwarder takes a connection before it knows whether the target still does.

use crate::{
    error::StepError,
    script::{DataCentreLine, Label, Script, Setup, Statement, Step},
};

/// The name of the platform among places.
pub(crate) const PLATFORM: &str = "platform";

/// A VM or an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct PlaceName {
    pub(crate) name: Label,
    pub(crate) data_centre: Label,
}

/// Every place of a scenario, and the pairs that link steps name.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlaceMap {
    pub(crate) vms: Vec<PlaceName>,
    pub(crate) endpoints: Vec<PlaceName>,
    pairs: Vec<(Label, Label)>,
}

impl PlaceMap {
    pub(crate) fn new(script: &Script) -> Self {
        let mut map = Self::default();
        for line in &script.lines {
            match &line.statement {
                Statement::Setup(Setup::DataCentre(line)) => map.add(line),
                Statement::Step(Step::Link(step)) => {
                    map.pairs.push((step.from.clone(), step.to.clone()));
                }
                _ => {}
            }
        }
        map
    }

    fn add(&mut self, line: &DataCentreLine) {
        let place = |kind, number| PlaceName {
            name: format!("{}-{kind}{number}", line.name),
            data_centre: line.name.to_string(),
        };
        self.vms
            .extend((1..=line.vms).map(|number| place("vm", number)));
        self.endpoints
            .extend((1..=line.endpoints).map(|number| place("e", number)));
    }

    /// Whether some step changes the network between two places.
    pub(crate) fn is_linked(&self, a: &str, b: &str) -> bool {
        let within = |place: &str, name: &str| {
            self.members(place)
                .is_ok_and(|members| members.iter().any(|m| m == name))
        };
        for (from, to) in &self.pairs {
            if (within(from, a) && within(to, b)) || (within(from, b) && within(to, a)) {
                return true;
            }
        }
        false
    }

    /// The VMs and endpoints of a place.
    pub(crate) fn members(&self, place: &str) -> Result<Vec<Label>, StepError> {
        if place == PLATFORM {
            return Ok(vec![place.to_owned()]);
        }
        let mut members = Vec::new();
        for candidate in self.vms.iter().chain(&self.endpoints) {
            if candidate.name == place || candidate.data_centre == place {
                members.push(candidate.name.clone());
            }
        }
        if members.is_empty() {
            return Err(StepError::UnknownPlace(place.to_owned()));
        }
        Ok(members)
    }
}
