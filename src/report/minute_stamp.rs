use {
    std::{fmt, str::FromStr, time::Duration},
    time::{Date, Month, OffsetDateTime},
};

/// Maximum time that a process needs to store a minute after its end: processes end their minutes
/// up to 10 s late to spread their writes, and the write itself takes time.
const STORE_DELAY: Duration = Duration::from_secs(20);

/// Minute in UTC, counted since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MinuteStamp(pub u64);

impl MinuteStamp {
    /// Last minute that every process should have stored at wall-clock time `now`, given as the
    /// time since the Unix epoch.
    ///
    /// ```
    /// use std::time::Duration;
    /// use toucanring::report::MinuteStamp;
    ///
    /// assert_eq!(MinuteStamp::last_complete(Duration::from_secs(600 + 19)), MinuteStamp(8));
    /// assert_eq!(MinuteStamp::last_complete(Duration::from_secs(600 + 20)), MinuteStamp(9));
    /// ```
    #[must_use]
    pub const fn last_complete(now: Duration) -> Self {
        let minute = now.saturating_sub(STORE_DELAY).as_secs() / 60;
        Self(minute.saturating_sub(1))
    }
}

impl fmt::Display for MinuteStamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = i64::try_from(self.0.saturating_mul(60)).unwrap_or(i64::MAX);
        let Ok(moment) = OffsetDateTime::from_unix_timestamp(seconds) else {
            return write!(formatter, "minute {}", self.0);
        };
        let (hour, minute, _) = moment.to_hms();
        write!(formatter, "{}T{hour:02}:{minute:02}Z", moment.date())
    }
}

impl FromStr for MinuteStamp {
    type Err = String;

    /// Parses a number of minutes since the Unix epoch or `YYYY-MM-DDTHH:MM` with an optional `Z`.
    ///
    /// ```
    /// use toucanring::report::MinuteStamp;
    ///
    /// assert_eq!("30000000".parse(), Ok(MinuteStamp(30_000_000)));
    /// assert_eq!("2027-01-15T08:00Z".parse(), Ok(MinuteStamp(30_000_000)));
    /// assert_eq!(MinuteStamp(30_000_000).to_string(), "2027-01-15T08:00Z");
    /// assert!("2027-13-15T08:00".parse::<MinuteStamp>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Ok(minute) = text.parse() {
            return Ok(Self(minute));
        }
        parse_calendar(text)
            .ok_or_else(|| format!("{text:?} is neither a minute number nor YYYY-MM-DDTHH:MM"))
    }
}

fn parse_calendar(text: &str) -> Option<MinuteStamp> {
    let (date, time) = text.trim_end_matches('Z').split_once('T')?;
    let mut date_parts = date.splitn(3, '-');
    let year = date_parts.next()?.parse().ok()?;
    let month: u8 = date_parts.next()?.parse().ok()?;
    let day = date_parts.next()?.parse().ok()?;
    let (hour, minute) = time.split_once(':')?;
    let date = Date::from_calendar_date(year, Month::try_from(month).ok()?, day).ok()?;
    let moment = date
        .with_hms(hour.parse().ok()?, minute.parse().ok()?, 0)
        .ok()?;
    let seconds = u64::try_from(moment.assume_utc().unix_timestamp()).ok()?;
    Some(MinuteStamp(seconds / 60))
}
