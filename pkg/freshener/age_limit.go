package freshener

import "time"

// AgeLimit limits the age of data by which decisions are made. The platform states how soon a
// change must take effect; data that is older than that may miss one. If the platform cannot be
// read, older data is used, so that callers are served during an outage.
type AgeLimit struct {
	// Max is the age from which data is not used; 0 for no limit.
	Max time.Duration
}

// Allows reports whether data of an age may be used. isUnreadable is true if a read that was sent
// after the last one that confirmed the data has failed.
func (l AgeLimit) Allows(age time.Duration, isUnreadable bool) bool {
	return l.Max <= 0 || isUnreadable || (age >= 0 && age < l.Max)
}
