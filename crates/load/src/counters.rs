//! Counters of the system's processes, read from their metrics pages.

use std::{net::SocketAddr, ops::Sub};

use awc::Client;
use serde::Serialize;

use crate::error::LoadError;

const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;

/// Sums over the processes read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct CounterTotals {
    /// Messages about tasks between processes.
    pub messages: f64,
    /// Those of them that led to no start.
    pub wasted: f64,
    /// Tasks placed again after a definite not-run.
    pub retries: f64,
    /// Tasks offered to dispatchers.
    pub offers: f64,
}

impl CounterTotals {
    /// Adds what a page of Prometheus text tells.
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

/// Reads the metrics page of every process and adds them up.
///
/// # Errors
///
/// A page could not be had: a sum without it would be wrong.
pub async fn read_counters(processes: &[SocketAddr]) -> Result<CounterTotals, LoadError> {
    let client = Client::default();
    let mut totals = CounterTotals::default();
    for process in processes {
        let page = fetch_page(&client, format!("http://{process}/metrics"), MAX_PAGE_BYTES).await?;
        totals.add_page(&String::from_utf8_lossy(&page));
    }
    Ok(totals)
}

/// Gets a page whole.
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
