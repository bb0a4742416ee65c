package keeper

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/lab/responder"
	"github.com/oleanderpick/oleanderpick/internal/lab/switcher"
	"github.com/oleanderpick/oleanderpick/internal/storer"
)

// maxBody bounds a request's body: a spec of the largest size with room for
// its wrapping.
const maxBody = maxSpec + 4096

func (k *Keeper) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", k.guard(k.serveGet))
	mux.HandleFunc("GET /objects/{kind}", k.guard(k.serveList))
	mux.HandleFunc("PUT /objects/{kind}/{name}", k.guard(k.servePut))
	mux.HandleFunc("PUT /objects/{kind}/{name}/status", k.guard(k.servePut))
	mux.HandleFunc("DELETE /objects/{kind}/{name}", k.guard(k.serveDelete))
	mux.HandleFunc("GET /instances", k.guard(k.serveInstances))
	mux.HandleFunc("PUT /instances/{name}", k.serveRegister)
	mux.HandleFunc("DELETE /instances/{name}", k.serveDeregister)
	mux.HandleFunc("/faults", switcher.Handler(k.Faults, k.SetFaults))
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) {
		responder.JSON(w, http.StatusOK, k.Audit())
	})

	return mux
}

// guard applies the faults and rates that strike any call.
func (k *Keeper) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection only once the body is read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			answerError(w, errTooLarge, storer.Object{})

			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		k.silencer.BlockIfSilent(r)
		faults := k.Faults()
		if faults.Mute {
			<-r.Context().Done()
			responder.AbortConnection()
		}
		if faults.Slow > 0 && !sleep(r, faults.Slow) {
			responder.AbortConnection()
		}
		if faults.Outage {
			answerOutage(w, r)

			return
		}
		if !k.admit(r) {
			responder.Error(w, http.StatusTooManyRequests, "limited", "Too many calls.")

			return
		}

		next(w, r)
	}
}

// sleep waits and reports whether the caller is still there.
func sleep(r *http.Request, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// admit counts a call and holds it against its rate.
func (k *Keeper) admit(r *http.Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	kind := r.PathValue("kind")
	if kind == "" {
		kind = "instances"
	}
	k.calls[r.Method+" "+kind]++
	if r.Method == http.MethodGet {
		return k.reads.take(either(k.faults.Reads, k.settings.Reads), time.Now())
	}

	return k.writes.take(either(k.faults.Writes, k.settings.Writes), time.Now())
}

func either(first, second float64) float64 {
	if first > 0 {
		return first
	}

	return second
}

func (k *Keeper) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}
	written, err := decodeChange(r, body)
	if err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}
	condition, err := conditionOf(r)
	if err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}

	k.mu.Lock()
	object, err := k.put(keyOf(r), written, condition)
	lost := err == nil && k.loses()
	k.mu.Unlock()
	if lost {
		responder.AbortConnection()
	}
	if err != nil {
		answerError(w, err, object)

		return
	}
	responder.JSON(w, http.StatusOK, object)
}

func decodeChange(r *http.Request, body []byte) (change, error) {
	var fields struct {
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return change{}, err
	}
	if !strings.HasSuffix(r.Pattern, "/status") {
		if fields.Spec == nil {
			return change{}, errors.New("spec is missing")
		}

		return change{spec: fields.Spec}, nil
	}
	if fields.Status == nil {
		return change{}, errors.New("status is missing")
	}

	return change{status: fields.Status}, nil
}

// loses draws whether the answer of a write that took effect is lost.
func (k *Keeper) loses() bool {
	return k.faults.LostWrites > 0 && k.random.Float64() < k.faults.LostWrites
}

func (k *Keeper) serveDelete(w http.ResponseWriter, r *http.Request) {
	condition, err := conditionOf(r)
	if err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}

	k.mu.Lock()
	current, _ := k.read(keyOf(r), time.Now())
	err = k.remove(keyOf(r), condition)
	lost := err == nil && k.loses()
	k.mu.Unlock()
	if lost {
		responder.AbortConnection()
	}
	if err != nil {
		answerError(w, err, current)

		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (k *Keeper) serveInstances(w http.ResponseWriter, _ *http.Request) {
	responder.JSON(w, http.StatusOK, struct {
		Instances []storer.Instance `json:"instances"`
	}{k.Instances()})
}

func (k *Keeper) serveRegister(w http.ResponseWriter, r *http.Request) {
	var instance storer.Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&instance); err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}
	instance.Name = r.PathValue("name")
	k.Register(instance)
	w.WriteHeader(http.StatusNoContent)
}

func (k *Keeper) serveDeregister(w http.ResponseWriter, r *http.Request) {
	k.Deregister(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func keyOf(r *http.Request) key {
	return key{r.PathValue("kind"), r.PathValue("name")}
}

func conditionOf(r *http.Request) (precondition, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return precondition{absent: true}, nil
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		return precondition{}, nil
	}
	version, err := strconv.ParseUint(match, 10, 64)

	return precondition{at: true, version: version}, err
}

func answerError(w http.ResponseWriter, err error, current storer.Object) {
	switch {
	case errors.Is(err, errConflict):
		responder.JSON(w, http.StatusPreconditionFailed, current)
	case errors.Is(err, errTooLarge):
		responder.Error(w, http.StatusRequestEntityTooLarge, "too-large", err.Error())
	case errors.Is(err, errFull):
		responder.Error(w, http.StatusServiceUnavailable, "full", err.Error())
	case errors.Is(err, errGone):
		responder.Error(w, http.StatusGone, "gone", err.Error())
	default:
		responder.Error(w, http.StatusNotFound, "not-found", err.Error())
	}
}

func answerOutage(w http.ResponseWriter, _ *http.Request) {
	responder.Error(w, http.StatusServiceUnavailable, "outage", "The store is down.")
}
