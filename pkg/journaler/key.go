package journaler

import (
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"strings"
	"time"
)

const uuidLength = 36

// KeyTime returns the time inside a version 7 UUID, which a caller cannot
// change between resends of a key.
func KeyTime(key string) (time.Time, bool) {
	if len(key) != uuidLength || key[8] != '-' || key[13] != '-' || key[14] != '7' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	data, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil {
		return time.Time{}, false
	}
	millis := int64(0)
	for _, b := range data[:6] {
		millis = millis<<8 | int64(b)
	}

	return time.UnixMilli(millis), true
}

// firstTry returns the time of the first try; zero if unknown.
func (c Call) firstTry() time.Time {
	if first, ok := KeyTime(c.Key); ok {
		return first
	}

	return c.FirstAttemptTime
}

// place returns the shard of a call and its epoch there.
func (s Settings) place(key string, first time.Time) (string, int64) {
	epoch := first.UnixNano() / int64(s.Width)
	lane := int64(crc32.ChecksumIEEE([]byte(key))) % int64(s.Shards)

	return fmt.Sprintf("%s-%d-%d", s.Prefix, epoch%s.slots(), lane), epoch
}
