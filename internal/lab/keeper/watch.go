package keeper

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/responder"
	"github.com/oleanderpick/oleanderpick/internal/storer"
)

// watch is what a caller waits for.
type watch struct {
	after uint64
	until time.Time
}

// watchOf returns a request's watch, if it is one.
func watchOf(query url.Values) (watch, bool) {
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		return watch{}, false
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > defaultMaxWait {
		wait = defaultMaxWait
	}

	return watch{after: after, until: time.Now().Add(wait)}, true
}

func (k *Keeper) serveGet(w http.ResponseWriter, r *http.Request) {
	wanted, waits := watchOf(r.URL.Query())
	if !waits {
		k.mu.Lock()
		object, ok := k.read(keyOf(r), k.horizon())
		k.mu.Unlock()
		answerObject(w, object, ok)

		return
	}

	k.await(w, r, wanted, func(at time.Time) http.HandlerFunc {
		object, ok := k.read(keyOf(r), at)
		if !ok && wanted.after == 0 {
			return nil
		}
		if ok && object.Version <= wanted.after {
			return nil
		}

		return func(w http.ResponseWriter, _ *http.Request) { answerObject(w, object, ok) }
	})
}

func (k *Keeper) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	kind := r.PathValue("kind")
	wanted, waits := watchOf(query)
	if !waits {
		limit, err := strconv.Atoi(query.Get("limit"))
		if err != nil || limit <= 0 {
			limit = defaultPage
		}
		k.mu.Lock()
		page := k.list(kind, query.Get("after"), limit, k.horizon())
		k.mu.Unlock()
		responder.JSON(w, http.StatusOK, page)

		return
	}

	k.await(w, r, wanted, func(at time.Time) http.HandlerFunc {
		changes, err := k.since(kind, wanted.after, at)
		if err != nil {
			return func(w http.ResponseWriter, _ *http.Request) { answerError(w, err, storer.Object{}) }
		}
		if len(changes.Items)+len(changes.DeletedNames) == 0 {
			return nil
		}

		return func(w http.ResponseWriter, _ *http.Request) { responder.JSON(w, http.StatusOK, changes) }
	})
}

// horizon is the time of the newest state that reads show.
func (k *Keeper) horizon() time.Time {
	return time.Now().Add(-k.faults.StaleReads)
}

// await looks with the lock held, after every change, until look returns an
// answer, the wait is over, an outage begins or the caller goes away.
func (k *Keeper) await(
	w http.ResponseWriter, r *http.Request, wanted watch, look func(at time.Time) http.HandlerFunc,
) {
	for {
		k.mu.Lock()
		answer := look(k.horizon())
		changed, faults := k.changed, k.faults
		k.mu.Unlock()
		if faults.Outage {
			answer = answerOutage
		}
		if answer != nil {
			answer(w, r)

			return
		}

		left := time.Until(wanted.until)
		if left <= 0 {
			w.WriteHeader(http.StatusNotModified)

			return
		}
		if faults.StaleReads > 0 {
			left = min(left, faults.StaleReads) // What was written before becomes visible.
		}
		if !k.pause(r, changed, left) {
			responder.AbortConnection()
		}
	}
}

// pause waits for a change or the time, and reports whether the caller is
// still there. A caller whose connection went silent waits for ever.
func (k *Keeper) pause(r *http.Request, changed <-chan struct{}, wait time.Duration) bool {
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

func answerObject(w http.ResponseWriter, object storer.Object, ok bool) {
	if !ok {
		answerError(w, errNotFound, object)

		return
	}
	responder.JSON(w, http.StatusOK, object)
}
