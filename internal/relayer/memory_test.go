package relayer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
)

const (
	// instanceMemory is the memory of the instance of these tests, and requestMemory the part that
	// bodies and kept answers may take.
	instanceMemory = 10 << 20
	requestMemory  = instanceMemory / 5
	// perRequestMemory is what a request takes at most beside that, for its connections and copies.
	perRequestMemory = 128 << 10
)

// allowLargeBodies applies a configuration that allows bodies of a size.
func (h *harness) allowLargeBodies(bytes int64) {
	configuration := testConfiguration()
	configuration.Number, configuration.Limits = 2, matcher.Limits{MaxBodyBytes: bytes}
	h.dispatcher.ApplyConfiguration(h.bootClock(), matcher.New(configuration), dispatcher.StoredConfiguration{})
}

// Guards against an instance that runs out of memory, and ends the requests of others with it, since it keeps
// the answers without end that callers do not read.
func TestAnswersWithoutEndTakeNoMoreThanTheirMemory(t *testing.T) {
	for name, path := range map[string]string{"success": "/once/x", "failure": "/often/x"} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				const callers = 30
				h.relayer.SetMemory(instanceMemory)
				status := map[string]int{"success": 200, "failure": 500}[name]
				taken := h.serveEndless(fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Id: %%s\r\n\r\n", status), strings.Repeat("x", 64<<10))
				conns := make([]net.Conn, 0, callers)
				for n := range callers {
					conn, err := h.network.Dial(t.Context(), "tcp", "front:80")
					assert.NilError(t, err)
					_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: front\r\nX-Id: e%d\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n", path, n)
					assert.NilError(t, err)
					conns = append(conns, conn)
				}
				time.Sleep(2 * time.Second)
				assert.Assert(t, taken.Load() <= requestMemory+callers*perRequestMemory, "%d bytes are kept", taken.Load())
				for _, conn := range conns {
					assert.NilError(t, conn.Close())
				}
			})
		})
	}
}

// Guards against large bodies that together take more memory than there is: they wait for each other, those
// that wait too long are refused before anything runs, and small requests do not wait.
func TestLargeBodiesWaitForMemoryAndSmallOnesDoNot(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		const bodyBytes = 1 << 20 // One fits beside the reserve, two do not.
		release := make(chan struct{})
		h.serveEndpoints(func(w http.ResponseWriter, request *http.Request) {
			body, _ := io.ReadAll(request.Body)
			if len(body) == bodyBytes {
				<-release
			}
			_, _ = fmt.Fprint(w, len(body))
		})
		h.allowLargeBodies(bodyBytes)
		h.relayer.SetMemory(instanceMemory)
		var mu sync.Mutex
		statuses := map[int]int{}
		var callers sync.WaitGroup
		for n := range 3 {
			callers.Go(func() {
				request := h.newRequest(http.MethodPost, "/once/x", strings.Repeat("x", bodyBytes))
				request.Header.Set("X-Id", fmt.Sprint("large", n))
				if n == 2 {
					request.ContentLength = -1 // In chunks.
				}
				response, _, err := h.send(request)
				assert.NilError(t, err)
				mu.Lock()
				defer mu.Unlock()
				statuses[response.StatusCode]++
			})
			time.Sleep(10 * time.Millisecond)
		}
		startedAt := time.Now()
		_, body, err := h.send(h.newRequest(http.MethodPost, "/once/x", "small"))
		assert.NilError(t, err)
		assert.Equal(t, body, "5")
		assert.Equal(t, time.Since(startedAt), time.Duration(0), "a small request waited")
		time.Sleep(time.Second)
		assert.Equal(t, h.arrivalCount(), 2)
		close(release)
		callers.Wait()
		assert.DeepEqual(t, statuses, map[int]int{200: 1, 503: 2})
		response, _, err := h.send(h.newRequest(http.MethodPost, "/once/x", strings.Repeat("x", bodyBytes)))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, "the memory is free again")
	})
}

// Guards against a caller that does not read its answer and holds memory for good.
func TestCallerThatDoesNotReadLosesItsConnectionAfterTheDeadline(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 100<<10)) })
		conn, err := h.network.Dial(t.Context(), "tcp", "front:80")
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: front\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		time.Sleep(3 * time.Second)
		assert.Equal(t, h.relayer.InFlight(), int64(1))
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, h.relayer.InFlight(), int64(0))
		assert.NilError(t, conn.Close())
	})
}
