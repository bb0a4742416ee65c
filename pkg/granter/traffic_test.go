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

// packetBytes is the IP and TCP headers of the three packets of an exchange on
// an open connection: question, answer and acknowledgement.
const packetBytes = 3 * 52

// wantBytes and grantBytes are the sizes as protobuf: two bytes a nested
// message, a tag and a value of one to three bytes a number, nine a time.
const (
	creditBytes = 2 + 2 + 3
	wantBytes   = 2 + 2 + (2+Tiers)*creditBytes + 2*9 // and the name
	grantBytes  = 2 + 2 + creditBytes + 6 + 2*9       // and the name
)

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// exchangeBytes measures an exchange on an open connection, both ways, with
// the headers of a twirp call.
func exchangeBytes(t *testing.T, protocol string, wants, grants []byte) int {
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

	var bytesSeen atomic.Int64
	var dialer net.Dialer
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return counted{conn, &bytesSeen}, err
	}
	transport := &http.Transport{Protocols: &protocols, DialContext: dial}
	defer transport.CloseIdleConnections()
	call := func() {
		request, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/twirp/peer.Peer/Ask", bytes.NewReader(wants))
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
	before := bytesSeen.Load()
	for range calls {
		call()
	}
	return int(bytesSeen.Load()-before)/calls + packetBytes
}

// TestControlTraffic counts a node's exchanges at plan size under full load,
// and weighs them by the bytes of each protocol.
func TestControlTraffic(t *testing.T) {
	endpoints, members, places := plan(380, 600)
	exchanges, asked, granted := 0, 0, 0
	for _, member := range members {
		b := NewBorrower(Settings{}, member)
		b.SetDataCentres(places)
		b.Configure(start, endpoints, members)
		for _, home := range b.Homes() {
			if home == member {
				continue
			}
			exchanges++
			for _, want := range b.CreateCreditRequests(start, home) {
				asked += wantBytes + len(want.Endpoint)
				granted += grantBytes + len(want.Endpoint)
			}
		}
	}
	wants, grants := make([]byte, asked/exchanges), make([]byte, granted/exchanges)
	rate := float64(exchanges) / float64(len(members)) / defaultInterval.Seconds()
	t.Logf("%.1f exchanges a second as borrower and as many as home; %d bytes asked, %d granted", rate, len(wants), len(grants))
	perExchange := map[string]int{
		"datagram": len(wants) + len(grants) + 2*28,
		"HTTP/1.1": exchangeBytes(t, "HTTP/1.1", wants, grants),
		"HTTP/2":   exchangeBytes(t, "HTTP/2", wants, grants),
	}
	for protocol, size := range perExchange {
		// Each exchange has two ends, so a node's mean sent and received bytes
		// are those of the exchanges it begins, twice.
		t.Logf("%s: %d bytes an exchange, %.2f KB/s sent, as much received", protocol, size, rate*float64(size)/1000)
	}
	assert.Assert(t, 2*rate*float64(perExchange["HTTP/2"]) < 6000*0.5, "more than half of the budget")
}
