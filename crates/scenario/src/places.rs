//! Names of places, and the pairs of places between which a scenario changes the network.
//!
//! Processes connect directly unless some link step names the two places. A link would hide that a process is gone,
//! because the forwarder accepts a connection before it knows whether the target still accepts one.

use crate::{
    error::StepError,
    script::{DataCentreLine, Label, Script, Setup, Statement, Step},
};

/// The place name of the platform.
pub(crate) const PLATFORM: &str = "platform";

/// The name of a VM or an endpoint, and its data centre.
#[derive(Clone, Debug)]
pub(crate) struct PlaceName {
    pub(crate) name: Label,
    pub(crate) data_centre: Label,
}

/// Every VM and endpoint of a scenario, and the pairs of places named by link steps.
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
                Statement::Setup(Setup::DataCentre(line)) => map.add_data_centre(line),
                Statement::Step(Step::Link(step)) => {
                    map.pairs.push((step.from.clone(), step.to.clone()));
                }
                _ => {}
            }
        }
        map
    }

    fn add_data_centre(&mut self, line: &DataCentreLine) {
        let place = |kind, number| PlaceName {
            name: format!("{}-{kind}{number}", line.name),
            data_centre: line.name.to_string(),
        };
        self.vms
            .extend((1..=line.vms).map(|number| place("vm", number)));
        self.endpoints
            .extend((1..=line.endpoints).map(|number| place("e", number)));
    }

    /// Whether a link step changes the network between two VMs, endpoints or the platform, in either order.
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

    /// The VMs and endpoints that a place name covers. The platform covers itself.
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
