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

// referenceStore is a simple implementation of the object API, without concurrency, lag
// or faults, that the Keeper's answers are compared with.
type referenceStore struct {
	storeCounter uint64
	objects      map[string]storer.Object
}

func (r *referenceStore) put(name, specOrStatus string, isStatus bool, condition string, version uint64) (storer.Object, error) {
	current, exists := r.objects[name]
	if condition == "absent" && exists || condition == "at" && (!exists || current.Version != version) {
		return current, storer.ErrConflict
	}
	if isStatus && !exists {
		return storer.Object{}, storer.ErrNotFound
	}
	r.storeCounter++
	current.Kind, current.Name, current.Version = "Lease", name, r.storeCounter
	if isStatus {
		current.Status = json.RawMessage(specOrStatus)
	} else {
		current.Spec = json.RawMessage(specOrStatus)
		current.Generation++
	}
	r.objects[name] = current

	return current, nil
}

func (r *referenceStore) list(after string, limit int) []storer.Object {
	items := []storer.Object{}
	for _, object := range r.objects {
		if object.Name > after {
			items = append(items, object)
		}
	}
	slices.SortFunc(items, func(a, b storer.Object) int { return strings.Compare(a.Name, b.Name) })

	return items[:min(limit, len(items))]
}

// Random writes, deletions and listings must give the same answers as the reference store.
func TestKeeperMatchesReferenceStore(t *testing.T) {
	network := piper.New()
	defer network.Close()
	hostNumber := 0
	rapid.Check(t, func(t *rapid.T) {
		hostNumber++
		host := fmt.Sprintf("store%d", hostNumber)
		network.Serve(host, keeper.New(keeper.Settings{WritesPerSecond: 1e6, ReadsPerSecond: 1e6}).Handler())
		defer network.Stop(host)
		httpClient := network.Client()
		defer httpClient.CloseIdleConnections()
		client, reference := storer.New("http://"+host, httpClient), &referenceStore{objects: map[string]storer.Object{}}
		ctx := t.Context()

		names := rapid.SampledFrom([]string{"a", "b c", "d/e"})
		conditionNames := rapid.SampledFrom([]string{"", "absent", "at"})
		drawPrecondition := func(t *rapid.T) (string, string, uint64, storer.Condition) {
			objectName, condition := names.Draw(t, "name"), conditionNames.Draw(t, "condition")
			version := rapid.Uint64Range(1, reference.storeCounter+1).Draw(t, "version")
			if current, exists := reference.objects[objectName]; exists && rapid.Bool().Draw(t, "current") {
				version = current.Version
			}
			conditionsByName := map[string]storer.Condition{"": storer.Always(), "absent": storer.IfNotExists(), "at": storer.IfVersion(version)}

			return objectName, condition, version, conditionsByName[condition]
		}
		checkPut := func(t *rapid.T, status bool) {
			objectName, condition, version, sentCondition := drawPrecondition(t)
			text := fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "text"))
			send := client.Put
			if status {
				send = client.PutStatus
			}
			got, err := send(ctx, "Lease", objectName, json.RawMessage(text), sentCondition)
			want, wantErr := reference.put(objectName, text, status, condition, version)
			if wantErr != nil {
				assert.ErrorIs(t, err, wantErr)

				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { checkPut(t, false) },
			"status": func(t *rapid.T) { checkPut(t, true) },
			"delete": func(t *rapid.T) {
				objectName, condition, version, sentCondition := drawPrecondition(t)
				err := client.Delete(ctx, "Lease", objectName, sentCondition)
				current, exists := reference.objects[objectName]
				switch {
				case condition == "absent" && exists, condition == "at" && (!exists || current.Version != version):
					assert.ErrorIs(t, err, storer.ErrConflict)
				case !exists:
					assert.ErrorIs(t, err, storer.ErrNotFound)
				default:
					assert.NilError(t, err)
					reference.storeCounter++
					delete(reference.objects, objectName)
				}
			},
			"": func(t *rapid.T) {
				after, limit := names.Draw(t, "after"), rapid.IntRange(1, 3).Draw(t, "limit")
				page, err := client.List(ctx, "Lease", after, limit)
				assert.NilError(t, err)
				assert.DeepEqual(t, page.Items, reference.list(after, limit))
				assert.Equal(t, page.StoreCounter, reference.storeCounter)
				assert.Equal(t, page.HasMore, len(reference.list(after, 3)) > limit)
			},
		})
	})
}

// runWithKeeper runs a test in virtual time against a Keeper that is reached through an
// in-memory network.
func runWithKeeper(t *testing.T, settings keeper.Settings, test func(*testing.T, *keeper.Keeper, *storer.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		platform, network := keeper.New(settings), piper.New()
		network.Serve("store", platform.Handler())
		client := network.Client()
		defer func() {
			client.CloseIdleConnections()
			network.Close()
			time.Sleep(time.Second) // The server closes a broken connection after a delay.
		}()
		test(t, platform, storer.New("http://store", client))
	})
}

// putEndpoint writes an endpoint's spec without faults and returns its version.
func putEndpoint(t *testing.T, platform *keeper.Keeper, name, spec string) uint64 {
	t.Helper()
	object, err := platform.PutSpec("Endpoint", name, json.RawMessage(spec))
	assert.NilError(t, err)

	return object.Version
}

func TestStaleReadsFaultDelaysReadsAndWatches(t *testing.T) {
	runWithKeeper(t, keeper.Settings{}, func(t *testing.T, platform *keeper.Keeper, client *storer.Client) {
		platform.SetFaults(keeper.Faults{StaleReads: 5 * time.Second})
		firstVersion := putEndpoint(t, platform, "e", "1")
		_, err := client.Get(t.Context(), "Endpoint", "e")
		assert.ErrorIs(t, err, storer.ErrNotFound)
		time.Sleep(6 * time.Second)
		secondVersion := putEndpoint(t, platform, "e", "2")
		read, err := client.Get(t.Context(), "Endpoint", "e")
		assert.NilError(t, err)
		assert.Equal(t, read.Version, firstVersion)
		_, err = client.Put(t.Context(), "Endpoint", "e", json.RawMessage("3"), storer.IfVersion(firstVersion))
		assert.ErrorIs(t, err, storer.ErrConflict)

		start := time.Now()
		changes, changed, err := client.WatchKind(t.Context(), "Endpoint", firstVersion, time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, changed && time.Since(start) >= 5*time.Second && time.Since(start) <= 10*time.Second)
		assert.Equal(t, changes.Items[0].Version, secondVersion)
		assert.Equal(t, changes.StoreCounter, secondVersion)
	})
}

// A watch from before a forgotten deletion would miss it, so it must fail; a watch from the
// present must not.
func TestWatchFromBeforeForgottenDeletionsExpires(t *testing.T) {
	runWithKeeper(t, keeper.Settings{}, func(t *testing.T, platform *keeper.Keeper, client *storer.Client) {
		versionBefore := putEndpoint(t, platform, "keep", "1")
		for range 5000 {
			putEndpoint(t, platform, "x", "1")
			assert.NilError(t, platform.Delete("Endpoint", "x"))
		}
		_, _, err := client.WatchKind(t.Context(), "Endpoint", versionBefore, time.Second)
		assert.ErrorIs(t, err, storer.ErrWatchExpired)
		page, err := client.List(t.Context(), "Endpoint", "", 10)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Items), 1)
		_, changed, err := client.WatchKind(t.Context(), "Endpoint", page.StoreCounter, time.Second)
		assert.NilError(t, err)
		assert.Assert(t, !changed)
	})
}

func TestOutageEndsWatchesAndReadRateLimitRefusesCalls(t *testing.T) {
	runWithKeeper(t, keeper.Settings{ReadsPerSecond: 10}, func(t *testing.T, platform *keeper.Keeper, client *storer.Client) {
		version := putEndpoint(t, platform, "e", "1")
		go func() {
			time.Sleep(time.Second)
			platform.SetFaults(keeper.Faults{Outage: true})
		}()
		start := time.Now()
		_, _, err := client.Watch(t.Context(), "Endpoint", "e", version, time.Minute)
		assert.ErrorIs(t, err, storer.ErrUnavailable)
		assert.Equal(t, time.Since(start), time.Second)
		platform.SetFaults(keeper.Faults{})
		limitedCount := 0
		for range 25 {
			if _, err = client.Get(t.Context(), "Endpoint", "e"); err != nil {
				assert.ErrorIs(t, err, storer.ErrRateLimited)
				limitedCount++
			}
		}
		assert.Equal(t, limitedCount, 15)
	})
}

func TestInstanceListShowsChangesAfterInstanceLag(t *testing.T) {
	settings := keeper.Settings{InstanceLag: 3 * time.Second}
	runWithKeeper(t, settings, func(t *testing.T, platform *keeper.Keeper, client *storer.Client) {
		platform.RegisterInstance(storer.Instance{Name: "r1", DataCentre: "a"})
		listInstances := func() []storer.Instance {
			instances, err := client.Instances(t.Context())
			assert.NilError(t, err)

			return instances
		}
		assert.Equal(t, len(listInstances()), 0)
		time.Sleep(3 * time.Second)
		platform.DeregisterInstance("r1")
		assert.DeepEqual(t, listInstances(), []storer.Instance{{Name: "r1", DataCentre: "a", State: storer.StateLive}})
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(listInstances()), 0)
	})
}
