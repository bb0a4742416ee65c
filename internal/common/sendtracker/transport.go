package sendtracker

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ErrEarlyEnd means that an answer ended with its connection before its request was sent whole.
var ErrEarlyEnd = errors.New("the connection ended before the request was sent")

// EndsEarly reports whether a response that was read to its end may have been broken off: only the end of the
// connection showed where its body ended, and the connection had not sent all requests.
func EndsEarly(response *http.Response, hasSentAll func() bool) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !hasSentAll()
}

// Transport is an http.Transport whose responses' bodies return ErrEarlyEnd in place of io.EOF if they
// may have been broken off.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that tracks the connections of base, which must not be used otherwise.
func NewTransport(base *http.Transport) Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return New(conn), nil
	}

	return Transport{base}
}

// RoundTrip sends the request and returns the response.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			used.Store(conn)
		}
	}})
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	if conn := used.Load(); err == nil && conn != nil {
		response.Body = &body{ReadCloser: response.Body, response: response, conn: conn}
	}

	return response, err
}

// body is a response's body.
type body struct {
	io.ReadCloser

	response *http.Response
	conn     *Conn
}

// Read reads into p.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && EndsEarly(b.response, b.conn.HasSentAll) {
		err = ErrEarlyEnd
	}

	return n, err
}
