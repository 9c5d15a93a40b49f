package claim

import "time"

// The table keeps claims by the day on which they were made, so that old ones can
// be taken away without a search. A key is known until the end of the next day. A
// node that was paused for longer sends nothing: the call's deadline has passed.

// forgetAfter is the age of a day at which its claims may be taken away.
const forgetAfter = 3 * 24 * time.Hour

// Day is a day of Unix time.
type Day int64

const secondsPerDay = 24 * 60 * 60

// DayOf returns the day of a Unix time in seconds.
func DayOf(seconds int64) Day { return Day(seconds / secondsPerDay) }

// Day returns the day on which the claim was made.
func (r Row) Day() Day { return DayOf(r.Created) }

// Near returns the days on which a claim may be that counts on d, allowing for
// clocks that differ.
func (d Day) Near() []Day { return []Day{d, d - 1, d + 1} }

// Forgettable returns the newest day whose claims may be taken away.
func Forgettable(now time.Time) Day { return DayOf(now.Add(-forgetAfter).Unix()) }
