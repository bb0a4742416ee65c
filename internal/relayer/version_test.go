package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// versionedStreamLength is the number of events of a whole stream of a versioned endpoint.
const versionedStreamLength = 10

// serveVersions registers an endpoint for each software version. Their events name the
// version that wrote them. An endpoint breaks off each stream that it begins after breakAfter
// events; 0 means never.
func (h *harness) serveVersions(breakAfter int, versions ...string) {
	h.confirmConfiguration()
	h.registered = nil
	for i, version := range versions {
		id := fmt.Sprint("e", i)
		h.registered = append(h.registered, registrar.Endpoint{ID: id, Service: "api", Address: id + ":80", Slots: 64, Version: version, StartedUnixMs: 1})
		h.network.Serve(id, versionedEndpoint(version, 1, breakAfter))
	}
	h.dispatcher.ApplyListing(h.bootClock(), 0, h.registered)
}

// versionedEndpoint returns the handler of an endpoint of a version that started at a time.
func versionedEndpoint(version string, startedUnixMs, breakAfter int) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == reportPath {
			_, _ = fmt.Fprint(w, startedUnixMs)

			return
		}
		w.Header().Set("X-Id", request.Header.Get("X-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(request.Header.Get("X-After"))
		for id := after + 1; id <= versionedStreamLength; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, version)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
			if after == 0 && id == breakAfter {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// reportPath is the path at which a versioned endpoint says when it started.
const reportPath = "/report"

// receivedStream is what a caller received of one stream, over all its requests.
type receivedStream struct {
	lastID   int
	versions []string // those that wrote its events, each once
}

func (s *receivedStream) isComplete() bool { return s.lastID == versionedStreamLength }

// read adds events until the answer ends or the stream has maxEvents events.
func (s *receivedStream) read(body io.Reader, maxEvents int) {
	lines := bufio.NewScanner(body)
	for s.lastID < maxEvents && lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.lastID, _ = strconv.Atoi(text)
		}
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok && !slices.Contains(s.versions, version) {
			s.versions = append(s.versions, version)
		}
	}
}

// receive sends a request to an instance and reads its answer until the stream has maxEvents
// events; then it disconnects. A stream that has begun is taken up. The host of the instance
// is "front" for the harness's own. It returns the answer's status; 0 if there is none.
func (h *harness) receive(s *receivedStream, host, id, resumes string, maxEvents int) int {
	request := h.newRequest(http.MethodPost, "/resume/x", "prompt")
	request.URL.Host, request.Host = host, "front"
	request.Header.Set("X-Id", id)
	if s.lastID > 0 {
		request.Header.Set("X-After", strconv.Itoa(s.lastID))
		request.Header.Set("X-Resumes", resumes)
	}
	client := h.network.Client()
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		s.read(response.Body, maxEvents)
	}

	return response.StatusCode
}

// Guards against streams that hold events from endpoints of two software versions, within one
// answer or after the caller took the stream up at another instance.
func TestStreamGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	t.Run("in one answer", func(t *testing.T) {
		runWithHarness(t, func(t *testing.T, h *harness) {
			h.serveVersions(3, "v1", "v2", "v1", "v2")
			for n := range 20 {
				stream := &receivedStream{}
				h.receive(stream, "front", fmt.Sprint("r", n), "", versionedStreamLength)
				assert.Equal(t, len(stream.versions), 1, "stream %d holds events of %v", n, stream.versions)
				assert.Assert(t, stream.isComplete(), "stream %d", n)
			}
		})
	})
	t.Run("at another instance", func(t *testing.T) {
		runWithHarness(t, func(t *testing.T, h *harness) {
			h.serveVersions(0, "v1", "v2", "v1", "v2")
			instances := []fleetInstance{h.startInstance(0), h.startInstance(1), h.startInstance(2)}
			defer func() {
				for _, i := range instances {
					i.stop()
				}
			}()
			time.Sleep(time.Second)
			for n := range 20 {
				stream, id := &receivedStream{}, fmt.Sprint("r", n)
				h.receive(stream, "front-0", id, "", 3)
				h.receive(stream, "front-1", id+"-2", id, 6)
				h.receive(stream, "front-2", id+"-3", id, versionedStreamLength)
				assert.Equal(t, len(stream.versions), 1, "stream %d holds events of %v", n, stream.versions)
				assert.Assert(t, stream.isComplete(), "stream %d", n)
			}
		})
	})
}

// Guards against a stream that is refused at an instance that has just started and does not
// know the instances that keep its pin yet.
func TestStreamIsTakenUpAtAnInstanceThatHasJustStarted(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveVersions(0, "v1", "v2", "v1", "v2")
		h.losesPins = true
		first := h.startInstance(0)
		defer first.stop()
		time.Sleep(time.Second)
		stream := &receivedStream{}
		h.receive(stream, "front-0", "r", "", 3)
		second := h.startInstance(1)
		defer second.stop()
		h.receive(stream, "front-1", "r-2", "r", versionedStreamLength)
		assert.Assert(t, stream.isComplete() && len(stream.versions) == 1, "%+v", stream)
	})
}

// Guards against streams that go on at a version that is not the one that began them when all
// endpoints of that one are gone.
func TestStreamEndsIfNoEndpointOfItsVersionIsLeft(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveVersions(3, "v1", "v2")
		stream := &receivedStream{}
		h.receive(stream, "front", "r1", "", versionedStreamLength)
		assert.Equal(t, len(stream.versions), 1, "the stream holds events of %v", stream.versions)
	})
}
