//! Maps customers to a bounded number of label values.

use model::{CustomerId, FastMap};
use opentelemetry::StringValue;

/// The maximum number of customers with their own label value; all others share [`OTHER_CUSTOMERS`]. Each label value
/// costs one series per metric that is split by customer.
pub const MAX_CUSTOMER_LABELS: usize = 64;

/// The label value of customers beyond [`MAX_CUSTOMER_LABELS`].
pub const OTHER_CUSTOMERS: &str = "other";

/// Gives the first [`MAX_CUSTOMER_LABELS`] customers their own label value for the life of the process. Pass only
/// customers that have a contract, so that arbitrary names sent by callers never become label values.
#[derive(Debug, Default)]
pub struct CustomerLabels {
    labels: FastMap<CustomerId, StringValue>,
}

impl CustomerLabels {
    /// The label value of a customer.
    pub fn label_of(&mut self, customer: &CustomerId) -> StringValue {
        if let Some(label) = self.labels.get(customer) {
            return label.clone();
        }
        if self.labels.len() >= MAX_CUSTOMER_LABELS {
            return OTHER_CUSTOMERS.into();
        }
        let label = StringValue::from(customer.as_str().to_owned());
        self.labels.insert(customer.clone(), label.clone());
        label
    }
}
