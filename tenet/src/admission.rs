//! What the head of the chain does with an operator's order before it enters the log.
use crate::base::Mark;
use crate::config::Config;
use crate::kind::{Kind, Reject};
use crate::plant::{planted, Bug};
use crate::state::{Ask, Op, State};
use crate::versions::Standing;

impl State {
    /// The order as it enters the log, or why it does not. A repeat is recognised before anything
    /// else is looked at, for it must be confirmed again whatever has changed since. A repeated
    /// configuration travels on without its document. One that the servers of the moment forbid
    /// is decided in the log too: the head may have been deposed, and then does not know whether
    /// its successors confirmed that document.
    pub fn admit(&self, mut ask: Ask) -> Result<Ask, Reject> {
        if let Op::Publish {
            version, document, ..
        } = ask.op
        {
            let repeated = self.versions.standing(version, document) == Standing::Repeat;
            let otherwise = match repeated {
                true => Some(String::new()),
                false => self.publish_objection(&ask.op)?,
            };
            if let Some(otherwise) = otherwise {
                ask.op = Op::Confirm {
                    version,
                    document,
                    otherwise,
                };
            }
            return Ok(ask);
        }
        if self.verdict(&ask).is_none() {
            self.check(&ask.op)?;
        }
        Ok(ask)
    }

    /// What the servers of the moment have against a published configuration, if anything; an
    /// error if it is invalid in itself.
    fn publish_objection(&self, op: &Op) -> Result<Option<String>, Reject> {
        let Op::Publish { text, .. } = op else {
            return Ok(None);
        };
        let configuration = parsed(text)?;
        let claims = configuration.claimed_twice(self);
        Ok((!claims.is_empty()).then(|| claims.join("; ")))
    }

    /// Whether the order may be taken, by the state as it stands.
    pub fn check(&self, op: &Op) -> Result<(), Reject> {
        match op {
            Op::Config { .. } if planted(Bug::BadTaken) => Ok(()),
            Op::Config { base, text } if self.is_repeat(*base, text) => Ok(()),
            Op::Config { text, .. } | Op::Publish { text, .. } => {
                let claims = parsed(text)?.claimed_twice(self);
                match claims.is_empty() {
                    true => Ok(()),
                    false => Err(Reject::new(Kind::BadConfig, claims.join("; "))),
                }
            }
            Op::Evacuate { domain, .. } => self.check_domain(domain),
            Op::Hold { .. } if self.cfg_mark == 0 => Err(no_configuration()),
            _ => Ok(()),
        }
    }

    /// Whether this is the change that led to the configuration in force.
    pub(crate) fn is_repeat(&self, base: Mark, text: &str) -> bool {
        base == self.cfg_base && text == self.cfg && self.cfg_mark > 0
    }

    /// Whether an order about the evacuation of a domain can be counted. Decided in the log, for a
    /// deposed head may not know the domain yet. One that was counted before stays known.
    pub(crate) fn check_hold(&self, domain: &str) -> Result<(), Reject> {
        match self.cfg_mark == 0 || self.holds.contains_key(domain) {
            true => Ok(()),
            false => self.check_domain(domain),
        }
    }

    fn check_domain(&self, domain: &str) -> Result<(), Reject> {
        if self.cfg_mark == 0 {
            return Err(no_configuration());
        }
        let known = Config::parse(&self.cfg).is_ok_and(|c| c.domains.contains_key(domain));
        match known {
            true => Ok(()),
            false => Err(Reject::new(
                Kind::UnknownName,
                format!("no domain '{domain}'"),
            )),
        }
    }
}

fn no_configuration() -> Reject {
    let why = "there is no configuration yet; come back when there is one";
    Reject::new(Kind::Starting, why)
}

/// The configuration that `text` holds; an error names all that is invalid in it.
pub fn parsed(text: &str) -> Result<Config, Reject> {
    Config::parse(text).map_err(|e| Reject::new(Kind::BadConfig, e.join("; ")))
}
