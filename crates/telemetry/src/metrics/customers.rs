//! Customers as labels, with a bound.

use model::{CustomerId, FastMap};
use opentelemetry::StringValue;

/// The most customers that have a label of their own. The rest share [`OTHER_CUSTOMERS`]. Each labelled customer
/// costs one series for each metric that is split by customer.
pub const MAX_CUSTOMER_LABELS: usize = 64;

/// The label of customers beyond the bound.
pub const OTHER_CUSTOMERS: &str = "other";

/// Gives the first [`MAX_CUSTOMER_LABELS`] customers a label of their own for the life of the process. It is meant
/// for customers that have a contract: what callers write without one never becomes a label.
#[derive(Debug, Default)]
pub struct CustomerLabels {
    labels: FastMap<CustomerId, StringValue>,
}

impl CustomerLabels {
    /// The label of a customer.
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
