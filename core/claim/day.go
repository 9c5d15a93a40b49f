package claim

import "time"

// Claims are stored under the day on which they were created, so that expired
// ones can be deleted without scanning the table. A key is recognised until the end
// of the following day. A node that was paused for longer does not send the call,
// because its deadline has passed.

// claimRetention is the age of a day from which its claims may be deleted.
const claimRetention = 3 * 24 * time.Hour

// Day is a number of days since the Unix epoch.
type Day int64

const secondsPerDay = 24 * 60 * 60

// DayOf returns the day that contains a Unix time in seconds.
func DayOf(seconds int64) Day { return Day(seconds / secondsPerDay) }

// Day returns the day on which the claim was created.
func (r Row) Day() Day { return DayOf(r.Created) }

// AdjacentDays returns the days under which a claim that is valid on d may be stored,
// allowing for clock skew between nodes.
func (d Day) AdjacentDays() []Day { return []Day{d, d - 1, d + 1} }

// NewestExpiredDay returns the newest day whose claims have expired and may be deleted.
func NewestExpiredDay(now time.Time) Day { return DayOf(now.Add(-claimRetention).Unix()) }
