package keeper

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/responder"
	"github.com/oleanderpick/oleanderpick/internal/storer"
)

// watchRequest is a read that waits for a version newer than afterVersion, at most until
// waitUntil.
type watchRequest struct {
	afterVersion uint64
	waitUntil    time.Time
}

// parseWatch reads the parameters watch and wait of a query. It returns false if the query
// is no watch. A wait that is missing, malformed or too long becomes maxWatchWait.
func parseWatch(query url.Values) (watchRequest, bool) {
	afterVersion, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		return watchRequest{}, false
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxWatchWait {
		wait = maxWatchWait
	}

	return watchRequest{afterVersion: afterVersion, waitUntil: time.Now().Add(wait)}, true
}

func (k *Keeper) serveGetObject(w http.ResponseWriter, r *http.Request) {
	request, isWatch := parseWatch(r.URL.Query())
	if !isWatch {
		k.mu.Lock()
		object, ok := k.readAt(parseKey(r), k.visibleTime())
		k.mu.Unlock()
		writeObject(w, object, ok)

		return
	}

	k.serveWatch(w, r, request, func(at time.Time) http.HandlerFunc {
		object, ok := k.readAt(parseKey(r), at)
		if !ok && request.afterVersion == 0 {
			return nil
		}
		if ok && object.Version <= request.afterVersion {
			return nil
		}

		return func(w http.ResponseWriter, _ *http.Request) { writeObject(w, object, ok) }
	})
}

func (k *Keeper) serveListObjects(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	kind := r.PathValue("kind")
	request, isWatch := parseWatch(query)
	if !isWatch {
		limit, err := strconv.Atoi(query.Get("limit"))
		if err != nil || limit <= 0 {
			limit = defaultPageSize
		}
		k.mu.Lock()
		page := k.listAt(kind, query.Get("after"), limit, k.visibleTime())
		k.mu.Unlock()
		responder.JSON(w, http.StatusOK, page)

		return
	}

	k.serveWatch(w, r, request, func(at time.Time) http.HandlerFunc {
		changes, err := k.changesAfter(kind, request.afterVersion, at)
		if err != nil {
			return func(w http.ResponseWriter, _ *http.Request) { writeError(w, err, storer.Object{}) }
		}
		if len(changes.Items)+len(changes.DeletedNames) == 0 {
			return nil
		}

		return func(w http.ResponseWriter, _ *http.Request) { responder.JSON(w, http.StatusOK, changes) }
	})
}

// visibleTime returns the time as of which reads show the objects: the present, or
// earlier while the fault StaleReads is set.
func (k *Keeper) visibleTime() time.Time {
	return time.Now().Add(-k.faults.StaleReads)
}

// serveWatch evaluates a watch at once and after every change, until evaluate returns an
// answer, the wait is over, an outage begins or the caller disconnects. It holds the lock
// while it calls evaluate.
func (k *Keeper) serveWatch(
	w http.ResponseWriter, r *http.Request, request watchRequest, evaluate func(at time.Time) http.HandlerFunc,
) {
	for {
		k.mu.Lock()
		answer := evaluate(k.visibleTime())
		changed, faults := k.changed, k.faults
		k.mu.Unlock()
		if faults.Outage {
			answer = writeOutage
		}
		if answer != nil {
			answer(w, r)

			return
		}

		remaining := time.Until(request.waitUntil)
		if remaining <= 0 {
			w.WriteHeader(http.StatusNotModified)

			return
		}
		if faults.StaleReads > 0 {
			remaining = min(remaining, faults.StaleReads) // By then earlier writes have become visible.
		}
		if !k.waitForChange(r, changed, remaining) {
			responder.AbortConnection()
		}
	}
}

// waitForChange waits for a change, at most for the given time, and reports whether the
// caller is still connected. On a connection made silent by a fault, it blocks until the
// caller disconnects.
func (k *Keeper) waitForChange(r *http.Request, changed <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
		return false
	}
	k.silencer.BlockIfSilent(r)

	return true
}

func writeObject(w http.ResponseWriter, object storer.Object, exists bool) {
	if !exists {
		writeError(w, errNotFound, object)

		return
	}
	responder.JSON(w, http.StatusOK, object)
}
