package journaler

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"maps"

	"github.com/go-faster/errors"
)

// recordOverheadBytes is an upper bound of the encoded size of a record without its
// body and content type.
const recordOverheadBytes = 288

// record is the entry of a shard for one key. While its State is zero, it is an
// intent.
type record struct {
	Fingerprint string `json:"f"`
	// Token is unique to the intent and shows whose write took effect.
	Token string `json:"t"`
	// IntentUnixMilli is when the intent was written, in Unix milliseconds.
	IntentUnixMilli int64     `json:"m"`
	Attempt         int       `json:"a,omitempty"`
	State           CallState `json:"s,omitempty"`
	Status          int       `json:"c,omitempty"`
	ContentType     string    `json:"y,omitempty"`
	Body            []byte    `json:"b,omitempty"`
	Digest          string    `json:"d,omitempty"`
}

// shardContents are the records of one epoch of a shard. They are not modified any
// more once a shard refers to them.
type shardContents struct {
	Epoch   int64             `json:"epoch"`
	Records map[string]record `json:"records"`
}

// decodeContents parses a stored shard. Without data it returns empty contents.
func decodeContents(data []byte) (*shardContents, error) {
	contents := &shardContents{}
	if len(data) == 0 {
		return contents, nil
	}
	if err := json.Unmarshal(data, contents); err != nil {
		return nil, errors.Wrap(err, "decode shard")
	}

	return contents, nil
}

// encode returns the contents as JSON.
func (c *shardContents) encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		// Cannot happen: strings, numbers and bytes can always be encoded.
		panic(err)
	}

	return data
}

// copyForEpoch returns a copy that may be modified. It has no records if the epoch
// is newer than that of the contents.
func (c *shardContents) copyForEpoch(epoch int64) *shardContents {
	if c.Epoch < epoch {
		return &shardContents{Epoch: epoch, Records: map[string]record{}}
	}
	records := maps.Clone(c.Records)
	if records == nil {
		records = map[string]record{}
	}

	return &shardContents{Epoch: c.Epoch, Records: records}
}

// maxEncodedSize returns an upper bound of the size of the encoded contents, in
// bytes.
func (c *shardContents) maxEncodedSize() int {
	size := recordOverheadBytes
	for _, r := range c.Records {
		size += r.maxEncodedSize()
	}

	return size
}

// maxEncodedSize returns an upper bound of the size of the encoded record, in
// bytes. Each byte of the content type can take six when it is escaped in JSON.
func (r record) maxEncodedSize() int {
	encoded := base64.StdEncoding.EncodedLen(len(r.Body))
	return recordOverheadBytes + 6*len(r.ContentType) + encoded
}

// withResult returns the record with the result of its call. A body of more than
// maxBodyBytes is replaced by its digest.
func (r record) withResult(result Result, maxBodyBytes int) record {
	r.State = result.State
	if result.State != Done {
		return r
	}
	r.Status = result.Status
	if len(result.ContentType) <= maxContentTypeBytes {
		r.ContentType = result.ContentType
	}
	if result.BodyOmitted {
		r.Digest = result.BodyDigest
		return r
	}
	if len(result.Body) <= maxBodyBytes {
		r.Body = result.Body
		return r
	}
	sum := sha256.Sum256(result.Body)
	r.Digest = hex.EncodeToString(sum[:])

	return r
}

// maxContentTypeBytes is the maximum size of a recorded content type; a longer one
// is not recorded.
const maxContentTypeBytes = 128

// result returns the recorded result, whose State is zero for an intent.
func (r record) result() Result {
	return Result{
		State:       r.State,
		Status:      r.Status,
		ContentType: r.ContentType,
		Body:        r.Body,
		BodyOmitted: r.Digest != "",
		BodyDigest:  r.Digest,
	}
}

// hashParts returns a short identifier of a list of strings. The length of each
// string is hashed too, so that lists such as ("ab", "c") and ("a", "bc") differ.
func hashParts(parts ...string) string {
	sum := sha256.New()
	for _, part := range parts {
		length := [8]byte{}
		for i := range length {
			length[i] = byte(len(part) >> (8 * i))
		}
		sum.Write(length[:])
		sum.Write([]byte(part))
	}

	return base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:hashBytes])
}

// hashBytes is the number of bytes kept of a SHA-256 hash.
const hashBytes = 16
