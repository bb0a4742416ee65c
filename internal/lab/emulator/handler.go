package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/responder"
	"github.com/oleanderpick/oleanderpick/internal/lab/switcher"
)

func (e *Emulator) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.withFaults(e.serveCompletion))
	mux.HandleFunc("POST /v1/completions", e.withFaults(e.serveCompletion))
	mux.HandleFunc("GET /v1/streams/{id}", e.withFaults(e.serveResume))
	mux.HandleFunc("GET /v1/streams/{id}/state", e.withFaults(e.serveState))
	mux.HandleFunc("DELETE /v1/streams/{id}", e.withFaults(e.serveCancel))
	mux.HandleFunc("GET /v1/load", e.withFaults(e.serveLoad))
	mux.HandleFunc("GET /v1/cache", e.withFaults(e.serveCache))
	mux.HandleFunc("POST /v1/orders", e.withFaults(e.serveOrder))
	mux.HandleFunc("GET /v1/orders", e.withFaults(e.serveOrderStatus))
	mux.HandleFunc("GET /healthz", e.withFaults(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	mux.HandleFunc("/faults", switcher.Handler(e.Faults, e.SetFaults))
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) {
		responder.JSON(w, http.StatusOK, e.Audit())
	})

	return mux
}

// withFaults wraps a handler with the faults that apply to every call: silent
// connections, an outage and the downtime after a crash.
func (e *Emulator) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.silencer.BlockIfSilent(r)
		e.mu.Lock()
		unreachable := e.faults.Outage || e.isDownAt(time.Now())
		e.mu.Unlock()
		if unreachable {
			responder.AbortConnection()
		}

		next(w, r)
	}
}

func (e *Emulator) serveCompletion(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	parsed, err := decodeSubmission(w, r, e.Faults().Poison)
	if err != nil {
		writeRefusal(w, err)

		return
	}

	e.mu.Lock()
	s, updates, err := e.submit(parsed, time.Now())
	if err != nil {
		e.audit.Refused++
		e.mu.Unlock()
		writeRefusal(w, err)

		return
	}
	losesAnswer := e.faults.LostAnswer > 0 && e.rng.Float64() < e.faults.LostAnswer
	disconnect := e.disconnect
	e.mu.Unlock()
	defer e.unsubscribe(s, updates)
	if losesAnswer {
		responder.AbortConnection()
	}

	e.writeStream(w, r, subscription{stream: s, updates: updates, disconnect: disconnect})
}

func (e *Emulator) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		responder.Error(w, http.StatusBadRequest, "malformed", "offset must be a number from 0 on")

		return
	}

	e.mu.Lock()
	s, exists := e.streams[r.PathValue("id")]
	if !exists {
		e.mu.Unlock()
		responder.Error(w, http.StatusNotFound, "unknown", "The stream is not known.")

		return
	}
	updates, disconnect := s.subscribe(), e.disconnect
	e.mu.Unlock()
	defer e.unsubscribe(s, updates)

	e.writeStream(w, r, subscription{stream: s, updates: updates, disconnect: disconnect, nextChunkNumber: offset})
}

// unsubscribe removes a subscriber from a stream.
func (e *Emulator) unsubscribe(s *stream, updates chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()

	s.unsubscribe(updates, time.Now())
}

func (e *Emulator) serveState(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	status := e.findStatus(r.PathValue("id"), time.Now())
	e.mu.Unlock()
	responder.JSON(w, http.StatusOK, status)
}

// findStatus returns the status of a stream, or what its tombstone says of one
// that is no longer kept.
func (e *Emulator) findStatus(id string, now time.Time) streamStatus {
	status := streamStatus{State: stateUnknown}
	if s, ok := e.streams[id]; ok {
		status = statusOf(s)
	} else if remembered, ok := e.tombstones.find(id, now); ok {
		status = remembered
	}
	status.BootNumber = e.audit.Crashes

	return status
}

func (e *Emulator) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	now := time.Now()
	e.mu.Lock()
	status := e.findStatus(id, now)
	if s, ok := e.streams[id]; ok && !s.isEnded() {
		e.audit.Cancelled++
		e.endStream(s, stateCancelled, now)
		e.wakeLoop()
		status.State = stateCancelled
	} else if status.State == stateUnknown {
		e.tombstones.add(id, streamStatus{State: stateCancelled}, now)
	}
	e.mu.Unlock()
	responder.JSON(w, http.StatusOK, status)
}

func (e *Emulator) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.publishedReport(time.Now())
	e.mu.Unlock()
	responder.JSON(w, http.StatusOK, report)
}

func (e *Emulator) serveCache(w http.ResponseWriter, r *http.Request) {
	var afterSeq uint64
	if text := r.URL.Query().Get("after"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			responder.Error(w, http.StatusBadRequest, "malformed", "after must be a number")

			return
		}
		afterSeq = parsed
	}

	var answer struct {
		Events []cacheEvent `json:"events"`
		Next   uint64       `json:"next"`
	}
	e.mu.Lock()
	answer.Events, answer.Next = e.prefixCache.eventsAfter(afterSeq, time.Now().Add(-e.settings.CacheEventLag))
	e.mu.Unlock()
	responder.JSON(w, http.StatusOK, answer)
}

func (e *Emulator) serveOrder(w http.ResponseWriter, r *http.Request) {
	var received order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&received); err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}

	now := time.Now()
	e.mu.Lock()
	accepted := e.applyOrder(received, now)
	current := e.orderStatus(now)
	e.mu.Unlock()
	status := http.StatusOK
	if !accepted {
		status = http.StatusConflict
	}
	responder.JSON(w, status, current)
}

func (e *Emulator) serveOrderStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	current := e.orderStatus(time.Now())
	e.mu.Unlock()
	responder.JSON(w, http.StatusOK, current)
}
