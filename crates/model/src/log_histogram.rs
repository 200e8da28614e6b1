//! A histogram of positive values with buckets of equal width on a logarithmic scale.

use base64::{engine::general_purpose::STANDARD_NO_PAD, Engine};
use thiserror::Error;

/// The version of the text form, its first byte.
const TEXT_VERSION: u8 = 1;

/// The bytes before the counts in the text form: the version and the number of samples.
const TEXT_HEAD_BYTES: usize = 2;

/// The bytes of the checksum at the end of the text form.
const TEXT_SUM_BYTES: usize = 2;

/// The number of samples that one unit of the text form's sample count stands for.
const SAMPLES_PER_UNIT: u32 = 4;

/// The buckets and weights of a [`LogHistogram`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HistogramScale {
    /// The lower bound of the first bucket, which also counts all smaller values.
    pub first: f64,
    /// The number of buckets from one value to twice that value.
    pub buckets_per_doubling: f64,
    /// What a new sample adds to its bucket. All counts are halved and rounded down from time to time, so a single
    /// sample is forgotten after one halving at a weight of 1, and after five at a weight of 16.
    pub sample_weight: u16,
}

/// Why a text is no histogram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidHistogram {
    /// The text is not base64.
    #[error("not base64")]
    NotBase64,
    /// The checksum does not match.
    #[error("wrong checksum")]
    WrongSum,
    /// The text belongs to a histogram with another number of buckets.
    #[error("wrong length")]
    WrongLength,
    /// The text has a version that this process does not know.
    #[error("unknown version")]
    UnknownVersion,
    /// The text has no samples.
    #[error("no samples")]
    Empty,
}

/// A histogram of positive values whose older samples lose weight.
#[derive(Clone, Debug, PartialEq)]
pub struct LogHistogram<const BUCKETS: usize> {
    scale: HistogramScale,
    counts: [u16; BUCKETS],
    /// The sum of `counts`.
    total: u32,
    /// The sum of the samples, each times the sample weight.
    sum: f64,
}

impl<const BUCKETS: usize> LogHistogram<BUCKETS> {
    /// Creates an empty histogram.
    pub fn new(scale: HistogramScale) -> Self {
        Self {
            scale,
            counts: [0; BUCKETS],
            total: 0,
            sum: 0.0,
        }
    }

    /// Adds a sample. Before that the weight of the older ones is halved if there are `window` of them.
    pub fn add(&mut self, value: f64, window: u32) {
        if !value.is_finite() {
            return;
        }
        let weight = u32::from(self.scale.sample_weight);
        let max_total = u32::from(u16::MAX) - weight + 1;
        if self.total >= window.saturating_mul(weight).min(max_total) {
            self.halve();
        }
        let index = self.bucket_index(value);
        self.counts[index] += self.scale.sample_weight;
        self.total += weight;
        self.sum += value * f64::from(weight);
    }

    /// The number of samples, after the loss of weight of older ones.
    pub fn samples(&self) -> u32 {
        self.total / u32::from(self.scale.sample_weight)
    }

    /// The mean of the samples, and zero if there are none.
    pub fn mean(&self) -> f64 {
        self.sum / f64::from(self.total.max(1))
    }

    /// The upper bound of the bucket that contains the quantile; `fraction` ranges from 0 to 1.
    pub fn quantile(&self, fraction: f64) -> f64 {
        let rank = (fraction.clamp(0.0, 1.0) * f64::from(self.total))
            .ceil()
            .max(1.0);
        let mut count_so_far = 0;
        for (n, count) in self.counts.iter().enumerate() {
            count_so_far += u32::from(*count);
            if f64::from(count_so_far) >= rank {
                return self.upper_bound(n);
            }
        }
        self.upper_bound(BUCKETS - 1)
    }

    /// How much the samples above `value` exceed it in the mean. None if less than the weight of one sample is above.
    pub fn mean_excess(&self, value: f64) -> Option<f64> {
        let (mut weight, mut excess) = (0.0, 0.0);
        for (n, count) in self.counts.iter().enumerate() {
            let (lower, upper) = (self.lower_bound(n), self.upper_bound(n));
            if *count == 0 || upper <= value {
                continue;
            }
            let start = lower.max(value);
            let above = f64::from(*count) * (upper - start) / (upper - lower);
            weight += above;
            excess += above * ((start + upper) / 2.0 - value);
        }
        (weight >= f64::from(self.scale.sample_weight)).then(|| excess / weight)
    }

    /// The mean of the samples in buckets up to the one that contains `value`. None if there are none.
    pub fn mean_up_to(&self, value: f64) -> Option<f64> {
        let (mut weight, mut sum) = (0.0, 0.0);
        for (n, count) in self.counts.iter().enumerate() {
            if *count == 0 || self.lower_bound(n) >= value {
                continue;
            }
            weight += f64::from(*count);
            sum += f64::from(*count) * self.midpoint(n);
        }
        (weight > 0.0).then(|| sum / weight)
    }

    /// The text form: base64 of a version, the number of samples, the counts, one byte each, relative to the largest, and
    /// a checksum.
    pub fn to_text(&self) -> String {
        let largest = self.counts.iter().copied().max().unwrap_or(0).max(1);
        let units = (self.samples() / SAMPLES_PER_UNIT).min(u32::from(u8::MAX));
        let mut bytes = Vec::with_capacity(TEXT_HEAD_BYTES + BUCKETS + TEXT_SUM_BYTES);
        bytes.push(TEXT_VERSION);
        bytes.push(u8::try_from(units).unwrap_or(u8::MAX));
        for count in &self.counts {
            // Rounded up, so that rare samples are not lost.
            let byte = (u32::from(*count) * u32::from(u8::MAX)).div_ceil(u32::from(largest));
            bytes.push(u8::try_from(byte).unwrap_or(u8::MAX));
        }
        bytes.extend(checksum(&bytes));
        STANDARD_NO_PAD.encode(bytes)
    }

    /// Reads the text form of a histogram with this scale and the same number of buckets.
    ///
    /// # Errors
    ///
    /// If the text has another form or contains no samples.
    pub fn from_text(scale: HistogramScale, text: &str) -> Result<Self, InvalidHistogram> {
        // Checked first, so that a text of any length costs nothing.
        let length = TEXT_HEAD_BYTES + BUCKETS + TEXT_SUM_BYTES;
        if text.len() != (length * 8).div_ceil(6) {
            return Err(InvalidHistogram::WrongLength);
        }
        let bytes = STANDARD_NO_PAD.decode(text);
        let bytes = bytes.map_err(|_| InvalidHistogram::NotBase64)?;
        let Some((content, sum)) = bytes.split_last_chunk::<TEXT_SUM_BYTES>() else {
            return Err(InvalidHistogram::WrongLength);
        };
        if checksum(content) != *sum {
            return Err(InvalidHistogram::WrongSum);
        }
        let [version, units, counts @ ..] = content else {
            return Err(InvalidHistogram::WrongLength);
        };
        if *version != TEXT_VERSION {
            return Err(InvalidHistogram::UnknownVersion);
        }
        let relative: u32 = counts.iter().map(|count| u32::from(*count)).sum();
        if relative == 0 || *units == 0 {
            return Err(InvalidHistogram::Empty);
        }
        let mut histogram = Self::new(scale);
        let samples = u32::from(*units) * SAMPLES_PER_UNIT * u32::from(scale.sample_weight);
        let weight = f64::from(samples.min(u32::from(u16::MAX) / 2)) / f64::from(relative);
        for (n, byte) in counts.iter().enumerate() {
            // The cast saturates.
            let count = (f64::from(*byte) * weight).round() as u16;
            histogram.counts[n] = count;
            histogram.total += u32::from(count);
            histogram.sum += f64::from(count) * histogram.midpoint(n);
        }
        Ok(histogram)
    }

    /// Halves all counts, rounding down, which removes single outliers.
    fn halve(&mut self) {
        let mean = self.mean();
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += u32::from(*count);
        }
        self.sum = mean * f64::from(self.total);
    }

    fn bucket_index(&self, value: f64) -> usize {
        let doublings = (value / self.scale.first).max(1.0).log2();
        let n = (doublings * self.scale.buckets_per_doubling) as usize;
        n.min(BUCKETS - 1)
    }

    fn lower_bound(&self, n: usize) -> f64 {
        self.scale.first * (n as f64 / self.scale.buckets_per_doubling).exp2()
    }

    /// The largest value of a bucket.
    fn upper_bound(&self, n: usize) -> f64 {
        self.lower_bound(n + 1)
    }

    fn midpoint(&self, n: usize) -> f64 {
        (self.lower_bound(n) + self.upper_bound(n)) / 2.0
    }
}

/// Fletcher's checksum, which also depends on the order of the bytes.
fn checksum(bytes: &[u8]) -> [u8; TEXT_SUM_BYTES] {
    let (mut simple, mut weighted) = (0_u32, 0_u32);
    for byte in bytes {
        simple = (simple + u32::from(*byte)) % 255;
        weighted = (weighted + simple) % 255;
    }
    [simple, weighted].map(|sum| u8::try_from(sum).unwrap_or_default())
}
