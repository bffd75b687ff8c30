//! The retries that a request and the calls below it in the call graph may still make.

/// A number of retry tokens, and how many more are granted to child calls.
///
/// It can't be copied, so that each token is either spent, granted to a call or still available.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    tokens: u32,
    granted: u32,
}

impl Allowance {
    /// Creates an allowance of some tokens.
    pub fn new(tokens: u32) -> Self {
        Self { tokens, granted: 0 }
    }

    /// Spends one token on a retry; returns false if none is left.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        if self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        true
    }

    /// Grants up to `wanted` tokens to a child call and returns how many were granted.
    #[must_use]
    pub fn grant(&mut self, wanted: u32) -> u32 {
        let granted = wanted.min(self.tokens);
        self.tokens -= granted;
        self.granted += granted;
        granted
    }

    /// Refunds tokens that a child call did not spend, up to the number that is granted.
    ///
    /// Only the first answer to a call may refund tokens; late and duplicate answers must not.
    pub fn refund(&mut self, tokens: u32) {
        let refunded = tokens.min(self.granted);
        self.granted -= refunded;
        self.tokens += refunded;
    }

    /// Returns the number of tokens that are neither spent nor granted.
    pub fn left(&self) -> u32 {
        self.tokens
    }
}
