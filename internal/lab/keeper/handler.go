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

// maxBodyBytes limits a request's body in bytes: a spec of the largest size and the JSON
// around it.
const maxBodyBytes = maxSpecBytes + 4096

func (k *Keeper) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", k.withFaultsAndRateLimits(k.serveGetObject))
	mux.HandleFunc("GET /objects/{kind}", k.withFaultsAndRateLimits(k.serveListObjects))
	mux.HandleFunc("PUT /objects/{kind}/{name}", k.withFaultsAndRateLimits(k.servePutObject))
	mux.HandleFunc("PUT /objects/{kind}/{name}/status", k.withFaultsAndRateLimits(k.servePutObject))
	mux.HandleFunc("DELETE /objects/{kind}/{name}", k.withFaultsAndRateLimits(k.serveDeleteObject))
	mux.HandleFunc("GET /instances", k.withFaultsAndRateLimits(k.serveListInstances))
	mux.HandleFunc("PUT /instances/{name}", k.serveRegisterInstance)
	mux.HandleFunc("DELETE /instances/{name}", k.serveDeregisterInstance)
	mux.HandleFunc("/faults", switcher.Handler(k.Faults, k.SetFaults))
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) {
		responder.JSON(w, http.StatusOK, k.Audit())
	})

	return mux
}

// withFaultsAndRateLimits wraps a handler: it applies the rate limits and the faults that
// don't depend on the kind of call.
func (k *Keeper) withFaultsAndRateLimits(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// net/http detects a closed connection only after the body is read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, errObjectTooLarge, storer.Object{})

			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		k.silencer.BlockIfSilent(r)
		faults := k.Faults()
		if faults.Mute {
			<-r.Context().Done()
			responder.AbortConnection()
		}
		if faults.Slow > 0 && !sleepWhileConnected(r, faults.Slow) {
			responder.AbortConnection()
		}
		if faults.Outage {
			writeOutage(w, r)

			return
		}
		if !k.allowCall(r) {
			responder.Error(w, http.StatusTooManyRequests, "limited", "Too many calls.")

			return
		}

		next(w, r)
	}
}

// sleepWhileConnected waits and reports whether the caller was connected throughout.
func sleepWhileConnected(r *http.Request, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// allowCall counts a call and reports whether the rate limit of reads or writes allows
// it.
func (k *Keeper) allowCall(r *http.Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	kind := r.PathValue("kind")
	if kind == "" {
		kind = "instances"
	}
	k.callCounts[r.Method+" "+kind]++
	if r.Method == http.MethodGet {
		return k.readBucket.take(firstPositive(k.faults.Reads, k.settings.ReadsPerSecond), time.Now())
	}

	return k.writeBucket.take(firstPositive(k.faults.Writes, k.settings.WritesPerSecond), time.Now())
}

// firstPositive returns the first value if it is above zero, else the second.
func firstPositive(first, second float64) float64 {
	if first > 0 {
		return first
	}

	return second
}

func (k *Keeper) servePutObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}
	update, err := decodeUpdate(r, body)
	if err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}
	condition, err := parsePrecondition(r)
	if err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}

	k.mu.Lock()
	object, err := k.putObject(parseKey(r), update, condition)
	answerLost := err == nil && k.drawLostAnswer()
	k.mu.Unlock()
	if answerLost {
		responder.AbortConnection()
	}
	if err != nil {
		writeError(w, err, object)

		return
	}
	responder.JSON(w, http.StatusOK, object)
}

// decodeUpdate decodes the body of a PUT: the status if the path ends in /status, else the
// spec.
func decodeUpdate(r *http.Request, body []byte) (objectUpdate, error) {
	var decoded struct {
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return objectUpdate{}, err
	}
	if !strings.HasSuffix(r.Pattern, "/status") {
		if decoded.Spec == nil {
			return objectUpdate{}, errors.New("spec is missing")
		}

		return objectUpdate{spec: decoded.Spec}, nil
	}
	if decoded.Status == nil {
		return objectUpdate{}, errors.New("status is missing")
	}

	return objectUpdate{status: decoded.Status}, nil
}

// drawLostAnswer decides at random, by the fault LostWrites, whether the answer of a write
// that took effect is lost.
func (k *Keeper) drawLostAnswer() bool {
	return k.faults.LostWrites > 0 && k.random.Float64() < k.faults.LostWrites
}

func (k *Keeper) serveDeleteObject(w http.ResponseWriter, r *http.Request) {
	condition, err := parsePrecondition(r)
	if err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}

	k.mu.Lock()
	current, _ := k.readAt(parseKey(r), time.Now())
	err = k.deleteObject(parseKey(r), condition)
	answerLost := err == nil && k.drawLostAnswer()
	k.mu.Unlock()
	if answerLost {
		responder.AbortConnection()
	}
	if err != nil {
		writeError(w, err, current)

		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (k *Keeper) serveListInstances(w http.ResponseWriter, _ *http.Request) {
	responder.JSON(w, http.StatusOK, struct {
		Instances []storer.Instance `json:"instances"`
	}{k.Instances()})
}

func (k *Keeper) serveRegisterInstance(w http.ResponseWriter, r *http.Request) {
	var instance storer.Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&instance); err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}
	instance.Name = r.PathValue("name")
	k.RegisterInstance(instance)
	w.WriteHeader(http.StatusNoContent)
}

func (k *Keeper) serveDeregisterInstance(w http.ResponseWriter, r *http.Request) {
	k.DeregisterInstance(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func parseKey(r *http.Request) objectKey {
	return objectKey{r.PathValue("kind"), r.PathValue("name")}
}

// parsePrecondition reads the headers If-None-Match and If-Match.
func parsePrecondition(r *http.Request) (precondition, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return precondition{mustNotExist: true}, nil
	}
	ifMatch := r.Header.Get("If-Match")
	if ifMatch == "" {
		return precondition{}, nil
	}
	version, err := strconv.ParseUint(ifMatch, 10, 64)

	return precondition{checksVersion: true, expectedVersion: version}, err
}

// writeError answers with the status and error kind of an error. If a precondition failed,
// the body is the current object.
func writeError(w http.ResponseWriter, err error, current storer.Object) {
	switch {
	case errors.Is(err, errPreconditionFailed):
		responder.JSON(w, http.StatusPreconditionFailed, current)
	case errors.Is(err, errObjectTooLarge):
		responder.Error(w, http.StatusRequestEntityTooLarge, "too-large", err.Error())
	case errors.Is(err, errTooManyObjects):
		responder.Error(w, http.StatusServiceUnavailable, "full", err.Error())
	case errors.Is(err, errWatchExpired):
		responder.Error(w, http.StatusGone, "gone", err.Error())
	default:
		responder.Error(w, http.StatusNotFound, "not-found", err.Error())
	}
}

func writeOutage(w http.ResponseWriter, _ *http.Request) {
	responder.Error(w, http.StatusServiceUnavailable, "outage", "The store is down.")
}
