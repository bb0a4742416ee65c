package gossiper_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
)

// withOlder returns a handler for the exchanges of an instance of a fleet in which the instances
// that isOlder names are of an older build: no message to or from them says who lives.
func withOlder(t *testing.T, name string, isOlder func(name string) bool, handler http.Handler) http.Handler {
	t.Helper()
	strip := func(body []byte) (stripped []byte, sender string) {
		var message gossipwire.Message
		assert.Check(t, proto.Unmarshal(body, &message))
		message.Heard, message.Datagrams = nil, false
		stripped, err := proto.Marshal(&message)
		assert.Check(t, err)

		return stripped, message.GetName()
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		stripped, sender := strip(body)
		isEither := isOlder(name) || isOlder(sender)
		if isEither {
			body = stripped
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		reply := recorder.Body.Bytes()
		if isEither {
			reply, _ = strip(reply)
		}
		w.Header().Set("Content-Type", recorder.Header().Get("Content-Type"))
		w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(reply)
	})
}

// Guards against homes of permits and pins that change all the time during an upgrade of a large
// fleet: instances of older builds do not say who lives, and an instance hears a peer of another
// data centre itself only every few seconds.
func TestMembersStayWhileMostInstancesAreOlder(t *testing.T) {
	const size, newer = 60, 5
	runFleet(t, size, func(t *testing.T, network *piper.Network, instances []testInstance, _ func() time.Duration) {
		isOlder := func(name string) bool { return !slices.Contains([]string{"i0", "i1", "i2", "i3", "i4"}, name) }
		for n, i := range instances {
			if isOlder(instanceName(n)) {
				i.datagrams.remove(instanceName(n) + ":80")
			}
			network.Stop(instanceName(n))
			network.Serve(instanceName(n), withOlder(t, instanceName(n), isOlder, i.gossiper.Handler()))
		}
		time.Sleep(9 * time.Second)
		for range 10 {
			time.Sleep(500 * time.Millisecond)
			for n := range newer {
				assert.Equal(t, len(instances[n].gossiper.Members()), size, "instance %d", n)
			}
		}
	})
}
