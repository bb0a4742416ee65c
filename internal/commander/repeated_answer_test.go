package commander_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/commander"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/pkg/orderer"
)

// Guards against an order that counts as accepted or refused though the engine did the opposite, since the engine
// wrote the answer to an earlier order once more, where that to this one was due.
func TestAnswerToAnEarlierOrderSaysNothingOfThisOne(t *testing.T) {
	for name, test := range map[string]struct {
		firstFence, fence uint64
		isRefused         bool
	}{"accepted before": {9, 3, true}, "refused before": {3, 9, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := piper.New()
				defer network.Close()
				network.ServeConn("engine", func(conn net.Conn) {
					reader, earlier := bufio.NewReader(conn), ""
					for {
						request, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						order := struct{ Fence uint64 }{}
						_ = json.NewDecoder(request.Body).Decode(&order)
						status := http.StatusOK
						if order.Fence < 5 {
							status = http.StatusConflict
						}
						_, _ = io.WriteString(conn, earlier)
						earlier = fmt.Sprintf("HTTP/1.1 %d Answer\r\nContent-Length: 11\r\n\r\n{\"fence\":5}", status)
						_, _ = io.WriteString(conn, earlier)
					}
				})
				client := network.Client()
				defer client.CloseIdleConnections()
				c := commander.New(client, "holder")
				order := orderer.Order{Address: "http://engine", Fence: test.firstFence, ExpiresAt: time.Now().Add(time.Hour)}
				_, err := c.SendOrder(t.Context(), order)
				assert.Equal(t, err != nil, !test.isRefused)
				order.Fence = test.fence
				_, err = c.SendOrder(t.Context(), order)
				assert.Equal(t, err != nil, test.isRefused, "%v", err)
			})
		})
	}
}

// Guards against an order that counts as accepted by the state of the engine to which the answer redirects.
func TestOrderThatIsRedirectedIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := piper.New()
		defer network.Close()
		network.Serve("engine", http.RedirectHandler("http://other/v1/orders", http.StatusSeeOther))
		network.Serve("other", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"fence":9}`) }))
		client := network.Client()
		defer client.CloseIdleConnections()
		_, err := commander.New(client, "holder").SendOrder(t.Context(), orderer.Order{Address: "http://engine", Fence: 9, ExpiresAt: time.Now().Add(time.Hour)})
		assert.Assert(t, err != nil)
	})
}
