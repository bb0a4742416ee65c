package storer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/platform"
)

// Guards against a listing that looks empty or short, after the platform's answer ended within its head or body.
func TestListingThatIsCutAnywhereIsAnError(t *testing.T) {
	const native, other = `{"revision":4,"items":[{"name":"a","version":1}],"instances":[{"name":"a"}]}`, `{"items":[{"metadata":{"name":"a"}}],"store_revision":4}`
	for name, format := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
		"chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		"to the end": "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Length: %d\r\n\r\n%s",
	} {
		for body, dialect := range map[string]storer.Dialect{native: nil, other: platform.ObjectDialect{}} {
			t.Run(fmt.Sprintf("%s %T", name, dialect), func(t *testing.T) {
				answer := fmt.Sprintf(format, len(body), body)
				synctest.Test(t, func(t *testing.T) {
					network, cut := piper.New(), 0
					network.ServeConn("store", func(conn net.Conn) {
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
							_, _ = io.WriteString(conn, answer[:cut])
						}
						_ = conn.Close()
					})
					httpClient := network.Client()
					client := storer.New("http://store", httpClient)
					if dialect != nil {
						client = client.WithDialect(dialect)
					}
					defer func() {
						httpClient.CloseIdleConnections()
						network.Close()
						time.Sleep(time.Minute)
					}()
					for ; cut <= len(answer); cut++ {
						page, err := client.List(t.Context(), "Lease", "", 0)
						assert.Equal(t, err == nil, cut == len(answer), "cut at %d: %v", cut, page)
						assert.Assert(t, err != nil || len(page.Items) == 1)
						if dialect == nil {
							instances, err := client.Instances(t.Context())
							assert.Assert(t, err != nil || len(instances) == 1, "cut at %d", cut)
						}
					}
				})
			})
		}
	}
}
