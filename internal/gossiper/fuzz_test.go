package gossiper_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
)

// Guards against a message of an instance that ends the one which receives it, or keeps it from following the others.
func FuzzMessages(f *testing.F) {
	for _, message := range []*gossipwire.Message{
		{}, {Name: "i1", Incarnation: 2, Number: 9, AgeMs: 5, Digest: 3, EndpointsEpoch: 1, DataCentre: "dc1"}, {Name: "i1", Asks: 1, Brief: true}, {Name: "i0", Incarnation: 1 << 40, TooLarge: true},
		{Name: "x", Loads: []*gossipwire.Load{{Endpoint: "e", Running: 1 << 31, Pending: 1<<32 - 1, Lower: []uint32{1, 2, 1 << 30}, Reads: []uint64{1}}}, Demands: []*gossipwire.Demand{{Service: "s", Short: 1, Border: 1 << 31}}},
		{Name: "x", Suspects: []*gossipwire.Suspect{{Fingerprint: 1, Crashes: []*gossipwire.Crash{{Endpoint: 1, AgeMs: 1<<32 - 1}}}}, Rejections: []*gossipwire.Rejection{{Endpoint: "e", AgeMs: 1<<32 - 1}}},
	} {
		encoded, err := proto.Marshal(message)
		assert.NilError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		message := &gossipwire.Message{}
		if proto.Unmarshal(encoded, message) != nil {
			return
		}
		runFleet(t, 2, func(t *testing.T, _ *piper.Network, instances []testInstance, sinceBoot func() time.Duration) {
			time.Sleep(2 * time.Second)
			instances[0].gossiper.ReceiveDatagram(message)
			applyConfiguration(instances[1], sinceBoot(), 7)
			time.Sleep(30 * time.Second)
			assert.Assert(t, instances[0].dispatcher.Matcher() != nil && instances[0].dispatcher.Matcher().Number() == 7)
		})
	})
}
