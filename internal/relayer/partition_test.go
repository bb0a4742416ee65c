package relayer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
)

// partitionWay is what becomes of the connections from a partitioned instance to endpoints.
type partitionWay int

const (
	// refuse refuses new connections and resets those that are open.
	refuse partitionWay = iota
	// hang lets new connections and those that are open fall silent.
	hang
	// refuseNew refuses new connections only.
	refuseNew
)

// partition cuts some instances off from all endpoints.
type partition struct {
	way       partitionWay
	instances []string

	mu       sync.Mutex
	isActive bool
	open     []net.Conn // from the instances to endpoints
}

func (p *partition) setActive(active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isActive = active
	if active && p.way == refuse {
		for _, conn := range p.open {
			_ = conn.Close()
		}
	}
}

// cuts reports whether the partition is active and cuts connections of a kind.
func (p *partition) cuts(ways ...partitionWay) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.isActive && slices.Contains(ways, p.way)
}

// dialFrom returns the dial function of an instance to endpoints.
func (h *harness) dialFrom(instance string) func(ctx context.Context, network, address string) (net.Conn, error) {
	p := h.partition
	if p == nil || !slices.Contains(p.instances, instance) {
		return h.network.Dial
	}

	return func(ctx context.Context, network, address string) (net.Conn, error) {
		switch {
		case p.cuts(refuse, refuseNew):
			return nil, piper.ErrRefused
		case p.cuts(hang):
			<-ctx.Done()

			return nil, os.ErrDeadlineExceeded
		}
		conn, err := h.network.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open = append(p.open, conn)

		return &hangingConn{Conn: conn, partition: p}, nil
	}
}

// hangingConn is a connection that falls silent while a partition lets connections hang. A
// write that is not acknowledged fails after 1.5 s, as with TCP_USER_TIMEOUT.
type hangingConn struct {
	net.Conn

	partition *partition
}

func (c *hangingConn) Write(b []byte) (int, error) {
	if c.partition.cuts(hang) {
		time.AfterFunc(1500*time.Millisecond, func() { _ = c.Close() })

		return len(b), nil
	}

	return c.Conn.Write(b)
}

// partitionTally counts first tries at the instances that are partitioned and at the others.
type partitionTally struct {
	mu                               sync.Mutex
	cutSent, cutServed, sent, served int
}

// Guards against an instance that reaches no endpoint and refuses or loses what its callers
// send, while its peers reach the endpoints. Whatever becomes of the connections, from 3 s
// after the cut first tries there must be served two thirds as often as elsewhere.
func TestInstanceWithoutPathToEndpointsServesThroughPeers(t *testing.T) {
	for name, way := range map[string]partitionWay{"refused": refuse, "hanging": hang, "only new refused": refuseNew} {
		t.Run(name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				h.partition = &partition{way: way, instances: []string{"i0", "i1", "i3"}}
				h.serveVersions(0, "v1", "v1", "v1", "v1")
				instances := make([]fleetInstance, 5)
				for n := range instances {
					instances[n] = h.startInstance(n)
				}
				defer func() {
					for _, i := range instances {
						i.stop()
					}
				}()
				time.Sleep(2 * time.Second)
				tally := partitionTally{}
				cutAt := time.Now().Add(2 * time.Second)
				time.AfterFunc(2*time.Second, func() { h.partition.setActive(true) })
				var callers sync.WaitGroup
				for n := 0; time.Since(cutAt) < 9*time.Second; n++ {
					for number := range instances {
						instances[number].confirmConfiguration(h)
						isCounted := time.Since(cutAt) >= 3*time.Second
						callers.Go(func() {
							h.sendFirstTry(&tally, fmt.Sprint("front-", number), fmt.Sprint("i", number), n, func() bool { return isCounted })
						})
					}
					time.Sleep(50 * time.Millisecond)
				}
				callers.Wait()
				for _, i := range instances {
					assert.Assert(t, !i.dispatcher.HasSuspects(), "endpoints that cannot be reached count as crashed")
				}
				h.partition.setActive(false)
				tally.check(t)
			})
		})
	}
}

// check checks that instances that are cut off serve two thirds as often as the others.
func (tally *partitionTally) check(t *testing.T) {
	t.Helper()
	text := fmt.Sprintf("%d of %d served at instances that are cut off, %d of %d elsewhere", tally.cutServed, tally.cutSent, tally.served, tally.sent)
	t.Log(text)
	assert.Assert(t, 3*tally.cutServed*tally.sent >= 2*tally.served*tally.cutSent, text)
}

// sendFirstTry sends a request to an instance, and counts it if isCounted returns true after its
// answer.
func (h *harness) sendFirstTry(tally *partitionTally, host, instance string, n int, isCounted func() bool) {
	path := []string{"/once/x", "/often/x", "/stream/x", "/resume/x"}[n%4]
	request := h.newRequest(http.MethodPost, path, fmt.Sprint("body ", instance, n))
	request.URL.Host, request.Host = host, "front"
	request.Header.Set("X-Id", fmt.Sprint("r", instance, "-", n))
	stream := &receivedStream{}
	client := h.network.Client()
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err == nil {
		stream.read(response.Body, versionedStreamLength)
		_ = response.Body.Close()
	}
	tally.mu.Lock()
	defer tally.mu.Unlock()
	served := 0
	if err == nil && response.StatusCode == http.StatusOK && stream.isComplete() {
		served = 1
	}
	switch {
	case !isCounted():
	case slices.Contains(h.partition.instances, instance):
		tally.cutSent++
		tally.cutServed += served
	default:
		tally.sent++
		tally.served += served
	}
}

// Guards against the answer of a peer of an earlier version, which does not know requests that are
// passed on, reaching the caller.
func TestAnswerOfAPeerThatKnowsNoPassedOnRequestsIsNotForwarded(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.partition = &partition{way: refuse, instances: []string{"i0"}, isActive: true}
		h.serveVersions(0, "v1", "v1")
		i := h.startInstance(0)
		defer i.stop()
		h.network.Serve("old", http.NotFoundHandler())
		i.dispatcher.SetFleet(dispatcher.Fleet{InstanceCount: 2, PeerReaches: []dispatcher.PeerReach{{Address: "old:80"}}})
		request := h.newRequest(http.MethodPost, "/once/x", "")
		request.URL.Host, request.Host = "front-0", "front"
		response, body, err := h.send(request)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, body)
	})
}

// Guards against a peer that serves a passed-on request by an older configuration, or that promises
// that a request has not run which may have run before it was passed on.
func TestPeerKnowsConfigurationAndRunsOfPassedOnRequest(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		i := h.startInstance(0) // It knows configuration 1 and no endpoint.
		defer i.stop()
		for _, test := range []struct {
			runs, configuration string
			status              int
			elsewhere           string
		}{
			{"0", "2", http.StatusServiceUnavailable, "1"},
			{"0", "1", http.StatusServiceUnavailable, "0"},
			{"1", "1", http.StatusBadGateway, "0"},
		} {
			request := h.newRequest(http.MethodPost, "/often/x", "")
			request.URL.Host, request.Host = "i0", "front"
			request.Header.Set("Oleanderpick-Runs", test.runs)
			request.Header.Set("Oleanderpick-Configuration", test.configuration)
			response, _, err := h.send(request)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status, "%+v", test)
			assert.Equal(t, response.Header.Get("Oleanderpick-Elsewhere"), test.elsewhere, "%+v", test)
		}
	})
}
