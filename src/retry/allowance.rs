//! The further tries that a request and the calls below it may still make.

/// A holder of retry tokens. It can't be copied: a token is spent, handed down or still here.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    tokens: u32,
    lent: u32,
}

impl Allowance {
    /// Makes a holder of some tokens.
    pub fn new(tokens: u32) -> Self {
        Self { tokens, lent: 0 }
    }

    /// Takes one token for a further try; false where none is left.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        if self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        true
    }

    /// Takes out up to `wanted` tokens for a call below, and returns how many.
    #[must_use]
    pub fn grant(&mut self, wanted: u32) -> u32 {
        let handed = wanted.min(self.tokens);
        self.tokens -= handed;
        self.lent += handed;
        handed
    }

    /// Takes back tokens that a call below did not spend, up to what is out.
    ///
    /// For the first answer to a call only: what comes late or twice is to be dropped.
    pub fn refund(&mut self, tokens: u32) {
        let returned = tokens.min(self.lent);
        self.lent -= returned;
        self.tokens += returned;
    }

    /// Returns the tokens that are here.
    pub fn left(&self) -> u32 {
        self.tokens
    }
}
