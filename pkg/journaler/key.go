package journaler

import (
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"strings"
	"time"
)

// uuidLength is the length of a UUID in text form.
const uuidLength = 36

// UUIDv7Time returns the time contained in a version 7 UUID, and false if key is
// not one. A caller cannot change this time between attempts with the same key.
func UUIDv7Time(key string) (time.Time, bool) {
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

// resolveFirstAttemptTime returns the time of the first attempt, from the key if it
// is a version 7 UUID; zero if unknown.
func (c Call) resolveFirstAttemptTime() time.Time {
	if keyTime, ok := UUIDv7Time(c.Key); ok {
		return keyTime
	}

	return c.FirstAttemptTime
}

// locateShard returns the name of the shard that holds the record with the key, and
// the epoch of the first attempt.
func (s Settings) locateShard(recordKey string, firstAttemptTime time.Time) (string, int64) {
	epoch := firstAttemptTime.UnixNano() / int64(s.EpochDuration)
	shardIndex := int64(crc32.ChecksumIEEE([]byte(recordKey))) % int64(s.ShardsPerEpoch)

	return fmt.Sprintf("%s-%d-%d", s.ShardNamePrefix, epoch%s.ringSize(), shardIndex), epoch
}
