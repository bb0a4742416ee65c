package storer_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/internal/storer"
)

// runWithPlatform runs a test against a stand-in for the platform in virtual time.
func runWithPlatform(t *testing.T, settings keeper.Settings, test func(*testing.T, *keeper.Keeper, *storer.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := keeper.New(settings)
		network := piper.New()
		network.Serve("store", store.Handler())
		client := network.Client()
		defer func() {
			client.CloseIdleConnections()
			network.Close()
			time.Sleep(time.Second) // The server closes a broken connection after a delay.
		}()
		test(t, store, storer.New("http://store", client))
	})
}

func rawJSON(text string) json.RawMessage { return json.RawMessage(text) }

func TestWriteTakesEffectOnlyIfConditionHolds(t *testing.T) {
	runWithPlatform(t, keeper.Settings{}, func(t *testing.T, _ *keeper.Keeper, client *storer.Client) {
		ctx := t.Context()
		_, err := client.Get(ctx, "Lease", "a/b")
		assert.ErrorIs(t, err, storer.ErrNotFound)

		first, err := client.Put(ctx, "Lease", "a/b", rawJSON(`{"n":1}`), storer.IfNotExists())
		assert.NilError(t, err)
		second, err := client.PutStatus(ctx, "Lease", "a/b", rawJSON(`"ok"`), storer.IfVersion(first.Version))
		assert.NilError(t, err)
		assert.Equal(t, second.Generation, first.Generation)

		for _, condition := range []storer.Condition{storer.IfNotExists(), storer.IfVersion(first.Version)} {
			_, err = client.Put(ctx, "Lease", "a/b", rawJSON(`{}`), condition)
			assert.ErrorIs(t, err, storer.ErrConflict)
			var conflict *storer.ConflictError
			assert.Assert(t, errors.As(err, &conflict))
			assert.Equal(t, conflict.Current.Version, second.Version)
			assert.ErrorIs(t, client.Delete(ctx, "Lease", "a/b", storer.IfVersion(first.Version)), storer.ErrConflict)
		}

		read, err := client.Get(ctx, "Lease", "a/b")
		assert.NilError(t, err)
		assert.DeepEqual(t, read, second)
		assert.NilError(t, client.Delete(ctx, "Lease", "a/b", storer.IfVersion(read.Version)))
		_, err = client.Put(ctx, "Lease", "a/b", rawJSON(`{}`), storer.IfVersion(read.Version))
		assert.ErrorIs(t, err, storer.ErrConflict)
		_, err = client.Put(ctx, "Lease", "big", make(json.RawMessage, 0), storer.Always())
		assert.Assert(t, err != nil)
		big, err := json.Marshal(string(make([]byte, 1<<20)))
		assert.NilError(t, err)
		_, err = client.Put(ctx, "Lease", "big", big, storer.Always())
		assert.ErrorIs(t, err, storer.ErrTooLarge)
	})
}

func TestWatchReturnsOnChangeOrAfterWait(t *testing.T) {
	runWithPlatform(t, keeper.Settings{}, func(t *testing.T, store *keeper.Keeper, client *storer.Client) {
		ctx := t.Context()
		start := time.Now()
		_, changed, err := client.Watch(ctx, "Revision", "head", 0, 30*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, !changed && time.Since(start) == 30*time.Second)

		go func() {
			time.Sleep(time.Second)
			_, _ = store.PutSpec("Revision", "head", rawJSON(`1`))
		}()
		head, changed, err := client.Watch(ctx, "Revision", "head", 0, 30*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, changed && string(head.Spec) == "1")

		page, err := client.List(ctx, "Revision", "", 10)
		assert.NilError(t, err)
		go func() {
			time.Sleep(time.Second)
			_ = store.Delete("Revision", "head")
		}()
		changes, changed, err := client.WatchKind(ctx, "Revision", page.StoreCounter, 30*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, changed)
		assert.DeepEqual(t, changes.DeletedNames, []string{"head"})
		assert.Equal(t, store.Audit()["GET Revision"], 4)
	})
}

func TestErrorTellsWhetherWriteMayHaveTakenEffect(t *testing.T) {
	runWithPlatform(t, keeper.Settings{WritesPerSecond: 2}, func(t *testing.T, store *keeper.Keeper, client *storer.Client) {
		ctx := t.Context()
		put := func() error {
			_, err := client.Put(ctx, "Lease", "l", rawJSON(`1`), storer.Always())

			return err
		}
		assert.NilError(t, put())
		store.SetFaults(keeper.Faults{LostWrites: 1})
		assert.ErrorIs(t, put(), storer.ErrWriteInDoubt)
		object, _ := store.Object("Lease", "l")
		assert.Equal(t, object.Generation, uint64(2))
		assert.ErrorIs(t, put(), storer.ErrRateLimited)
		assert.ErrorIs(t, put(), storer.ErrUnavailable)

		store.SetFaults(keeper.Faults{Outage: true})
		assert.ErrorIs(t, put(), storer.ErrUnavailable)
		store.SetFaults(keeper.Faults{Slow: time.Minute})
		start := time.Now()
		assert.ErrorIs(t, put(), storer.ErrWriteInDoubt)
		assert.ErrorIs(t, put(), context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), 4*time.Second)
		_, err := client.Get(ctx, "Lease", "l")
		assert.ErrorIs(t, err, storer.ErrUnavailable)
		object, _ = store.Object("Lease", "l")
		assert.Equal(t, object.Generation, uint64(2))
	})
}

func TestNextCallUsesNewConnectionAfterSilentOne(t *testing.T) {
	runWithPlatform(t, keeper.Settings{}, func(t *testing.T, store *keeper.Keeper, client *storer.Client) {
		ctx := t.Context()
		_, err := store.PutSpec("Revision", "head", rawJSON(`1`))
		assert.NilError(t, err)
		go func() {
			time.Sleep(time.Second)
			store.SetFaults(keeper.Faults{Silent: true})
		}()
		start := time.Now()
		_, _, err = client.Watch(ctx, "Revision", "head", 1, 10*time.Second)
		assert.ErrorIs(t, err, storer.ErrUnavailable)
		assert.Equal(t, time.Since(start), 12*time.Second)
		_, err = client.Get(ctx, "Revision", "head")
		assert.NilError(t, err)
	})
}

// Guards against an instance that learns nothing from the platform for as long as its link is slow:
// each read is given up, and with it the connection that it had opened.
func TestHedgedReadSurvivesSilentConnectionAndSlowLink(t *testing.T) {
	for name, test := range map[string]struct {
		dial, answer time.Duration
		silentConns  int // connections that never answer
		failedDials  int
		isRead       bool
	}{
		"at once":             {answer: 5 * time.Millisecond, isRead: true},
		"slow link":           {dial: 440 * time.Millisecond, answer: 440 * time.Millisecond, isRead: true},
		"silent connection":   {answer: 5 * time.Millisecond, silentConns: 1, isRead: true},
		"silent twice":        {answer: 5 * time.Millisecond, silentConns: 2, isRead: true},
		"silent three times":  {answer: 5 * time.Millisecond, silentConns: 3},
		"refused, then opens": {answer: 5 * time.Millisecond, failedDials: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, dials := piper.New(), atomic.Int64{}
				network.Serve("store", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(test.answer)
					_, _ = w.Write([]byte(`{"name":"a","version":7}`))
				}))
				network.ServeConn("silent", func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
				transport := &http.Transport{DialContext: func(ctx context.Context, kind, _ string) (net.Conn, error) {
					time.Sleep(test.dial)
					switch dial := int(dials.Add(1)); {
					case dial <= test.failedDials:
						return nil, errors.New("refused")
					case dial <= test.silentConns:
						return network.Dial(ctx, kind, "silent:1")
					}

					return network.Dial(ctx, kind, "store:1")
				}}
				client := storer.New("http://store", &http.Client{Transport: transport}).WithTimeout(time.Second).WithHedgedReads(250 * time.Millisecond)
				object, err := client.Get(t.Context(), "Lease", "a")
				assert.Equal(t, err == nil && object.Version == 7, test.isRead, "%v", err)
				time.Sleep(time.Second)
				transport.CloseIdleConnections()
				network.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a list of instances, endpoints or changes that cannot be read because one entry in it
// cannot be decoded.
func TestOddEntryDoesNotSpoilTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		odd := `{"name":"b","version":1e99,"state":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`
		network := piper.New()
		network.Serve("store", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			list := `[{"name":"a","state":"live","version":1},` + odd + `]`
			_, _ = io.WriteString(w, `{"revision":4,"more":true,"gone":["c"],"instances":`+list+`,"items":`+list+`}`)
		}))
		httpClient := network.Client()
		client := storer.New("http://store", httpClient)
		instances, err := client.Instances(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, instances, []storer.Instance{{Name: "a", State: "live"}})
		page, err := client.List(t.Context(), "Lease", "", 0)
		assert.NilError(t, err)
		assert.Assert(t, len(page.Items) == 1 && page.HasMore && page.LastName == "b" && page.StoreCounter == 4)
		changes, _, err := client.WatchKind(t.Context(), "Lease", 1, time.Second)
		assert.NilError(t, err)
		assert.Assert(t, len(changes.Items) == 1 && changes.DeletedNames[0] == "c" && changes.StoreCounter == 4)
		httpClient.CloseIdleConnections()
		network.Close()
		time.Sleep(time.Minute)
	})
}
