package journaler

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"maps"

	"github.com/go-faster/errors"
)

// recordBytes is the room that a record takes without an answer.
const recordBytes = 288

// record is what a shard holds for a key. State zero is an intent.
type record struct {
	Fingerprint string `json:"f"`
	Token       string `json:"t"`
	Begun       int64  `json:"m"`
	Attempt     int    `json:"a,omitempty"`
	State       State  `json:"s,omitempty"`
	Status      int    `json:"c,omitempty"`
	ContentType string `json:"y,omitempty"`
	Body        []byte `json:"b,omitempty"`
	Digest      string `json:"d,omitempty"`
}

// contents are the records of one epoch of a shard. They are not changed once
// a shard holds them.
type contents struct {
	Epoch   int64             `json:"epoch"`
	Records map[string]record `json:"records"`
}

func decode(data []byte) (*contents, error) {
	c := &contents{}
	if len(data) == 0 {
		return c, nil
	}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "decode shard")
	}

	return c, nil
}

func (c *contents) encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		// Strings, numbers and bytes always have a JSON form.
		panic(err)
	}

	return data
}

// at returns a copy to change, without the records of older epochs.
func (c *contents) at(epoch int64) *contents {
	if c.Epoch < epoch {
		return &contents{Epoch: epoch, Records: map[string]record{}}
	}
	records := maps.Clone(c.Records)
	if records == nil {
		records = map[string]record{}
	}

	return &contents{Epoch: c.Epoch, Records: records}
}

// size returns an upper bound of the encoded length.
func (c *contents) size() int {
	size := recordBytes
	for _, r := range c.Records {
		size += r.size()
	}

	return size
}

func (r record) size() int {
	encoded := base64.StdEncoding.EncodedLen(len(r.Body))
	return recordBytes + 6*len(r.ContentType) + encoded
}

// with returns the record with the outcome, its body only where it fits.
func (r record) with(result Result, room int) record {
	r.State = result.State
	if result.State != Done {
		return r
	}
	r.Status = result.Status
	if len(result.ContentType) <= maxContentType {
		r.ContentType = result.ContentType
	}
	if result.BodyOmitted {
		r.Digest = result.BodyDigest
		return r
	}
	if len(result.Body) <= room {
		r.Body = result.Body
		return r
	}
	sum := sha256.Sum256(result.Body)
	r.Digest = hex.EncodeToString(sum[:])

	return r
}

// maxContentType bounds the stored content type, in bytes.
const maxContentType = 128

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

// hash returns a short name for the parts, no two of which collide.
func hash(parts ...string) string {
	sum := sha256.New()
	for _, part := range parts {
		size := [8]byte{}
		for i := range size {
			size[i] = byte(len(part) >> (8 * i))
		}
		sum.Write(size[:])
		sum.Write([]byte(part))
	}

	return base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:hashBytes])
}

const hashBytes = 16
