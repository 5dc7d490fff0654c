wire_type! {
    /// Hash of the name of a client account, which stands for it in counts and reports. Two of a
    /// few hundred accounts share a hash with a probability below 1 in 10,000; they would then
    /// share one part of the capacity.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct AccountTag(pub u32);

    /// Hash of the names of a service and of its model, which stands for them in reports.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct ModelTag(pub u32);
}

value_type! {
    /// Requests whose work is counted together. The order groups them by model.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct ShareClass {
        /// Model, or plain service, that runs the requests.
        pub model: ModelTag,
        /// Priority of the requests; 0 is the most urgent, 255 stands for all larger numbers.
        pub priority: u8,
        /// Account of the requests.
        pub account: AccountTag,
    }
}

impl AccountTag {
    /// Tag of an account by its name. All requests without an account count as one account.
    ///
    /// ```
    /// use toucanring::core::fairness::AccountTag;
    ///
    /// assert_ne!(AccountTag::of(Some("account-a")), AccountTag::of(Some("account-b")));
    /// assert_ne!(AccountTag::of(Some("account-a")), AccountTag::of(None));
    /// ```
    #[must_use]
    pub fn of(name: Option<&str>) -> Self {
        Self(hash_of(&[name.unwrap_or_default()]))
    }
}

impl ModelTag {
    /// Tag of a model of a service; `model` is none for a plain service.
    ///
    /// ```
    /// use toucanring::core::fairness::ModelTag;
    ///
    /// assert_ne!(ModelTag::of("a", Some("bc")), ModelTag::of("ab", Some("c")));
    /// ```
    #[must_use]
    pub fn of(service: &str, model: Option<&str>) -> Self {
        Self(hash_of(&[service, model.unwrap_or_default()]))
    }
}

impl ShareClass {
    /// Class of the requests of an account to a model at a priority.
    ///
    /// ```
    /// use toucanring::core::fairness::{AccountTag, ModelTag, ShareClass};
    ///
    /// let class = ShareClass::new(ModelTag(1), 1_000, AccountTag(2));
    /// assert_eq!(class.priority, 255);
    /// ```
    #[must_use]
    pub fn new(model: ModelTag, priority: u32, account: AccountTag) -> Self {
        Self {
            model,
            priority: u8::try_from(priority).unwrap_or(u8::MAX),
            account,
        }
    }

    /// Lowest class of a model in the order of the classes.
    pub(super) const fn first_of(model: ModelTag) -> Self {
        Self {
            model,
            priority: 0,
            account: AccountTag(0),
        }
    }
}

/// FNV-1a of the texts, each with an end mark, because the hash must be the same in every process.
pub(super) fn hash_of(texts: &[&str]) -> u32 {
    let mut hash: u32 = 0x811c_9dc5;
    for text in texts {
        for byte in text.bytes().chain([0xff]) {
            hash ^= u32::from(byte);
            hash = hash.wrapping_mul(0x0100_0193);
        }
    }
    hash
}
