package storer_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/internal/storer"
)

// Guards against a write that counts as done, and a read that returns another object, by the answer to a request to which
// the platform's answer redirects.
func TestRedirectionIsNoAnswerOfAnotherRequest(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, followed := piper.New(), 0
				network.Serve("store", http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
					if request.URL.Path != "/other" {
						w.Header().Set("Location", "/other")
						w.WriteHeader(status)

						return
					}
					followed++
					_, _ = io.WriteString(w, `{"kind":"Lease","name":"b","version":6,"generation":1,"spec":{}}`)
				}))
				client := network.Client()
				defer func() {
					client.CloseIdleConnections()
					network.Close()
					time.Sleep(time.Second)
				}()
				store := storer.New("http://store", client)
				_, err := store.Put(t.Context(), "Lease", "a", rawJSON(`{}`), storer.IfVersion(5))
				assert.ErrorIs(t, err, storer.ErrWriteInDoubt)
				_, err = store.Get(t.Context(), "Lease", "a")
				assert.ErrorIs(t, err, storer.ErrUnavailable)
				assert.Equal(t, followed, 0)
			})
		})
	}
}
