package granter

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exchangeHeaderBytes is the size of the IP and TCP headers of the three packets of an
// exchange on an open connection: request, reply and acknowledgement.
const exchangeHeaderBytes = 3 * 52

// Sizes of protobuf messages, each without the endpoint's name. A nested message has two
// bytes of overhead, a number a tag and one to three bytes, and a time nine bytes.
const (
	creditBytes  = 2 + 2 + 3
	requestBytes = 2 + 2 + (2+TierCount)*creditBytes + 2*9
	grantBytes   = 2 + 2 + creditBytes + 6 + 2*9
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	byteCount *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.byteCount.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.byteCount.Add(int64(n))
	return n, err
}

// exchangeBytes measures the bytes of one exchange on an open connection, both ways
// together, with the HTTP headers of a twirp call.
func exchangeBytes(t *testing.T, protocol string, requests, grants []byte) int {
	var protocols http.Protocols
	protocols.SetHTTP1(protocol == "HTTP/1.1")
	protocols.SetUnencryptedHTTP2(protocol == "HTTP/2")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(grants)
	})
	server := &http.Server{Handler: handler, Protocols: &protocols, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	var byteCount atomic.Int64
	var dialer net.Dialer
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return countingConn{conn, &byteCount}, err
	}
	transport := &http.Transport{Protocols: &protocols, DialContext: dial}
	defer transport.CloseIdleConnections()
	call := func() {
		request, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/twirp/peer.Peer/Ask", bytes.NewReader(requests))
		assert.NilError(t, err)
		request.Header.Set("Content-Type", "application/protobuf")
		request.Header.Set("Accept", "application/protobuf")
		request.Header.Set("Twirp-Version", "v8.1.3")
		response, err := transport.RoundTrip(request)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	call()
	const calls = 50
	before := byteCount.Load()
	for range calls {
		call()
	}
	return int(byteCount.Load()-before)/calls + exchangeHeaderBytes
}

// TestControlTrafficStaysBelowHalfOfBudget counts the exchanges of one instance of 380 with
// 600 endpoints under full load, and multiplies them by the bytes that an exchange takes
// with each protocol.
func TestControlTrafficStaysBelowHalfOfBudget(t *testing.T) {
	endpoints, members, dataCentres := newFleet(380, 600)
	exchangeCount, requestedBytes, grantedBytes := 0, 0, 0
	for _, member := range members {
		b := NewBorrower(Settings{}, member)
		b.SetDataCentres(dataCentres)
		b.Configure(start, endpoints, members)
		for _, home := range b.Homes() {
			if home == member {
				continue
			}
			exchangeCount++
			for _, request := range b.CreateCreditRequests(start, home) {
				requestedBytes += requestBytes + len(request.Endpoint)
				grantedBytes += grantBytes + len(request.Endpoint)
			}
		}
	}
	requests, grants := make([]byte, requestedBytes/exchangeCount), make([]byte, grantedBytes/exchangeCount)
	exchangesPerSecond := float64(exchangeCount) / float64(len(members)) / defaultRequestInterval.Seconds()
	t.Logf("%.1f exchanges a second as borrower and as many as home; %d bytes requested, %d granted", exchangesPerSecond, len(requests), len(grants))
	perExchange := map[string]int{
		"datagram": len(requests) + len(grants) + 2*28,
		"HTTP/1.1": exchangeBytes(t, "HTTP/1.1", requests, grants),
		"HTTP/2":   exchangeBytes(t, "HTTP/2", requests, grants),
	}
	for protocol, size := range perExchange {
		// Each exchange involves two instances, so the mean of the bytes that an
		// instance sends and receives is twice that of the exchanges it starts.
		t.Logf("%s: %d bytes an exchange, %.2f KB/s sent, as much received", protocol, size, exchangesPerSecond*float64(size)/1000)
	}
	assert.Assert(t, 2*exchangesPerSecond*float64(perExchange["HTTP/2"]) < 6000*0.5, "more than half of the budget")
}
