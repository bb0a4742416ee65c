package keeper_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/internal/storer"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

// naive is the object API without concurrency, lag or faults.
type naive struct {
	counter uint64
	objects map[string]storer.Object
}

func (n *naive) put(name, text string, status bool, condition string, version uint64) (storer.Object, error) {
	current, exists := n.objects[name]
	if condition == "absent" && exists || condition == "at" && (!exists || current.Version != version) {
		return current, storer.ErrConflict
	}
	if status && !exists {
		return storer.Object{}, storer.ErrNotFound
	}
	n.counter++
	current.Kind, current.Name, current.Version = "Lease", name, n.counter
	if status {
		current.Status = json.RawMessage(text)
	} else {
		current.Spec = json.RawMessage(text)
		current.Generation++
	}
	n.objects[name] = current

	return current, nil
}

func (n *naive) list(after string, limit int) []storer.Object {
	items := []storer.Object{}
	for _, object := range n.objects {
		if object.Name > after {
			items = append(items, object)
		}
	}
	slices.SortFunc(items, func(a, b storer.Object) int { return strings.Compare(a.Name, b.Name) })

	return items[:min(limit, len(items))]
}

func TestAgainstNaiveStore(t *testing.T) {
	network := piper.New()
	defer network.Close()
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		host := fmt.Sprintf("store%d", number)
		network.Serve(host, keeper.New(keeper.Settings{Writes: 1e6, Reads: 1e6}).Handler())
		defer network.Stop(host)
		http := network.Client()
		defer http.CloseIdleConnections()
		client, model := storer.New("http://"+host, http), &naive{objects: map[string]storer.Object{}}
		ctx := t.Context()

		name := rapid.SampledFrom([]string{"a", "b c", "d/e"})
		conditions := rapid.SampledFrom([]string{"", "absent", "at"})
		draw := func(t *rapid.T) (string, string, uint64, storer.Condition) {
			key, condition := name.Draw(t, "name"), conditions.Draw(t, "condition")
			version := rapid.Uint64Range(1, model.counter+1).Draw(t, "version")
			if current, exists := model.objects[key]; exists && rapid.Bool().Draw(t, "current") {
				version = current.Version
			}
			kinds := map[string]storer.Condition{"": storer.Always(), "absent": storer.IfNotExists(), "at": storer.IfVersion(version)}

			return key, condition, version, kinds[condition]
		}
		put := func(t *rapid.T, status bool) {
			key, condition, version, sent := draw(t)
			text := fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "text"))
			write := client.Put
			if status {
				write = client.PutStatus
			}
			got, err := write(ctx, "Lease", key, json.RawMessage(text), sent)
			want, wantErr := model.put(key, text, status, condition, version)
			if wantErr != nil {
				assert.ErrorIs(t, err, wantErr)

				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { put(t, false) },
			"status": func(t *rapid.T) { put(t, true) },
			"delete": func(t *rapid.T) {
				key, condition, version, sent := draw(t)
				err := client.Delete(ctx, "Lease", key, sent)
				current, exists := model.objects[key]
				switch {
				case condition == "absent" && exists, condition == "at" && (!exists || current.Version != version):
					assert.ErrorIs(t, err, storer.ErrConflict)
				case !exists:
					assert.ErrorIs(t, err, storer.ErrNotFound)
				default:
					assert.NilError(t, err)
					model.counter++
					delete(model.objects, key)
				}
			},
			"": func(t *rapid.T) {
				after, limit := name.Draw(t, "after"), rapid.IntRange(1, 3).Draw(t, "limit")
				page, err := client.List(ctx, "Lease", after, limit)
				assert.NilError(t, err)
				assert.DeepEqual(t, page.Items, model.list(after, limit))
				assert.Equal(t, page.StoreCounter, model.counter)
				assert.Equal(t, page.HasMore, len(model.list(after, 3)) > limit)
			},
		})
	})
}

// store runs a test in virtual time.
func store(t *testing.T, settings keeper.Settings, test func(*testing.T, *keeper.Keeper, *storer.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		kept, network := keeper.New(settings), piper.New()
		network.Serve("store", kept.Handler())
		client := network.Client()
		defer func() {
			client.CloseIdleConnections()
			network.Close()
			time.Sleep(time.Second) // The server ends a broken connection after a pause.
		}()
		test(t, kept, storer.New("http://store", client))
	})
}

func seed(t *testing.T, kept *keeper.Keeper, name, text string) uint64 {
	t.Helper()
	object, err := kept.Seed("Endpoint", name, json.RawMessage(text))
	assert.NilError(t, err)

	return object.Version
}

func TestReadsLag(t *testing.T) {
	store(t, keeper.Settings{}, func(t *testing.T, kept *keeper.Keeper, client *storer.Client) {
		kept.SetFaults(keeper.Faults{StaleReads: 5 * time.Second})
		first := seed(t, kept, "e", "1")
		_, err := client.Get(t.Context(), "Endpoint", "e")
		assert.ErrorIs(t, err, storer.ErrNotFound)
		time.Sleep(6 * time.Second)
		second := seed(t, kept, "e", "2")
		read, err := client.Get(t.Context(), "Endpoint", "e")
		assert.NilError(t, err)
		assert.Equal(t, read.Version, first)
		_, err = client.Put(t.Context(), "Endpoint", "e", json.RawMessage("3"), storer.IfVersion(first))
		assert.ErrorIs(t, err, storer.ErrConflict)

		start := time.Now()
		changes, changed, err := client.WatchKind(t.Context(), "Endpoint", first, time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, changed && time.Since(start) >= 5*time.Second && time.Since(start) <= 10*time.Second)
		assert.Equal(t, changes.Items[0].Version, second)
		assert.Equal(t, changes.StoreCounter, second)
	})
}

func TestOldRevisionIsGone(t *testing.T) {
	store(t, keeper.Settings{}, func(t *testing.T, kept *keeper.Keeper, client *storer.Client) {
		revision := seed(t, kept, "keep", "1")
		for range 5000 {
			seed(t, kept, "x", "1")
			assert.NilError(t, kept.Remove("Endpoint", "x"))
		}
		_, _, err := client.WatchKind(t.Context(), "Endpoint", revision, time.Second)
		assert.ErrorIs(t, err, storer.ErrWatchExpired)
		page, err := client.List(t.Context(), "Endpoint", "", 10)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Items), 1)
		_, changed, err := client.WatchKind(t.Context(), "Endpoint", page.StoreCounter, time.Second)
		assert.NilError(t, err)
		assert.Assert(t, !changed)
	})
}

func TestRatesAndOutage(t *testing.T) {
	store(t, keeper.Settings{Reads: 10}, func(t *testing.T, kept *keeper.Keeper, client *storer.Client) {
		version := seed(t, kept, "e", "1")
		go func() {
			time.Sleep(time.Second)
			kept.SetFaults(keeper.Faults{Outage: true})
		}()
		start := time.Now()
		_, _, err := client.Watch(t.Context(), "Endpoint", "e", version, time.Minute)
		assert.ErrorIs(t, err, storer.ErrUnavailable)
		assert.Equal(t, time.Since(start), time.Second)
		kept.SetFaults(keeper.Faults{})
		limited := 0
		for range 25 {
			if _, err = client.Get(t.Context(), "Endpoint", "e"); err != nil {
				assert.ErrorIs(t, err, storer.ErrRateLimited)
				limited++
			}
		}
		assert.Equal(t, limited, 15)
	})
}

func TestInstanceListLags(t *testing.T) {
	settings := keeper.Settings{InstanceLag: 3 * time.Second}
	store(t, settings, func(t *testing.T, kept *keeper.Keeper, client *storer.Client) {
		kept.Register(storer.Instance{Name: "r1", DataCentre: "a"})
		list := func() []storer.Instance {
			instances, err := client.Instances(t.Context())
			assert.NilError(t, err)

			return instances
		}
		assert.Equal(t, len(list()), 0)
		time.Sleep(3 * time.Second)
		kept.Deregister("r1")
		assert.DeepEqual(t, list(), []storer.Instance{{Name: "r1", DataCentre: "a", State: storer.StateLive}})
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(list()), 0)
	})
}
