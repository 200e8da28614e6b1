//! Counters read from the metrics pages of the system's processes.

use std::{net::SocketAddr, ops::Sub};

use awc::Client;
use serde::Serialize;

use crate::error::LoadError;

const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;

/// Counters summed over all processes that were read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CounterTotals {
    /// Messages about tasks sent between processes.
    pub messages: f64,
    /// Messages that did not lead to a task start.
    pub wasted: f64,
    /// Tasks placed again after an attempt that definitely did not run.
    pub retries: f64,
    /// Tasks offered to dispatchers.
    pub offers: f64,
}

impl CounterTotals {
    /// Adds the counters of a metrics page in the Prometheus text format.
    pub fn add_page(&mut self, page: &str) {
        for line in page.lines() {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let Ok(value) = value.parse::<f64>() else {
                continue;
            };
            let name = name.split('{').next().unwrap_or(name);
            match name {
                "cairnpaddle_messages_total" => self.messages += value,
                "cairnpaddle_wasted_messages_total" => self.wasted += value,
                "cairnpaddle_retries_total" => self.retries += value,
                "cairnpaddle_task_offers_total" => self.offers += value,
                _ => {}
            }
        }
    }
}

impl Sub for CounterTotals {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            messages: self.messages - other.messages,
            wasted: self.wasted - other.wasted,
            retries: self.retries - other.retries,
            offers: self.offers - other.offers,
        }
    }
}

/// Reads the metrics page of every process and sums the counters.
///
/// # Errors
///
/// Returns [`LoadError::Page`] if any page could not be read, because a sum without that page would be wrong.
pub async fn read_counters(processes: &[SocketAddr]) -> Result<CounterTotals, LoadError> {
    let client = Client::default();
    let mut totals = CounterTotals::default();
    for process in processes {
        let page = fetch_page(&client, format!("http://{process}/metrics"), MAX_PAGE_BYTES).await?;
        totals.add_page(&String::from_utf8_lossy(&page));
    }
    Ok(totals)
}

/// Fetches the whole body of a page of at most `limit` bytes.
pub(crate) async fn fetch_page(
    client: &Client,
    url: String,
    limit: usize,
) -> Result<Vec<u8>, LoadError> {
    let page_error = |cause: String| LoadError::Page {
        url: url.clone(),
        cause,
    };
    let response = client.get(&url).send().await;
    let mut answer = response.map_err(|error| page_error(error.to_string()))?;
    if !answer.status().is_success() {
        return Err(page_error(answer.status().to_string()));
    }
    let body = answer.body().limit(limit).await;
    Ok(body
        .map_err(|error| page_error(error.to_string()))?
        .to_vec())
}
