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
	mux.HandleFunc("POST /v1/chat/completions", e.guard(e.serveCompletion))
	mux.HandleFunc("POST /v1/completions", e.guard(e.serveCompletion))
	mux.HandleFunc("GET /v1/streams/{id}", e.guard(e.serveResume))
	mux.HandleFunc("GET /v1/streams/{id}/state", e.guard(e.serveState))
	mux.HandleFunc("DELETE /v1/streams/{id}", e.guard(e.serveCancel))
	mux.HandleFunc("GET /v1/load", e.guard(e.serveLoad))
	mux.HandleFunc("GET /v1/cache", e.guard(e.serveCache))
	mux.HandleFunc("POST /v1/orders", e.guard(e.serveOrder))
	mux.HandleFunc("GET /v1/orders", e.guard(e.serveOrders))
	mux.HandleFunc("GET /healthz", e.guard(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	mux.HandleFunc("/faults", switcher.Handler(e.Faults, e.SetFaults))
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) {
		responder.JSON(w, http.StatusOK, e.Audit())
	})

	return mux
}

// guard applies the faults that strike any call.
func (e *Emulator) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.silencer.BlockIfSilent(r)
		e.mu.Lock()
		unreachable := e.faults.Outage || e.isDown(time.Now())
		e.mu.Unlock()
		if unreachable {
			responder.AbortConnection()
		}

		next(w, r)
	}
}

func (e *Emulator) serveCompletion(w http.ResponseWriter, r *http.Request) {
	submitted, err := readSubmission(w, r, e.Faults().Poison)
	if err != nil {
		answerRefusal(w, err)

		return
	}

	e.mu.Lock()
	s, reader, err := e.submit(submitted, time.Now())
	if err != nil {
		e.audit.Refused++
		e.mu.Unlock()
		answerRefusal(w, err)

		return
	}
	lost := e.faults.LostAnswer > 0 && e.random.Float64() < e.faults.LostAnswer
	broken := e.crashed
	e.mu.Unlock()
	defer e.release(s, reader)
	if lost {
		responder.AbortConnection()
	}

	e.deliver(w, r, delivery{stream: s, reader: reader, broken: broken})
}

func (e *Emulator) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		responder.Error(w, http.StatusBadRequest, "malformed", "offset must be a number from 0 on")

		return
	}

	e.mu.Lock()
	s, known := e.streams[r.PathValue("id")]
	if !known {
		e.mu.Unlock()
		responder.Error(w, http.StatusNotFound, "unknown", "The stream is not known.")

		return
	}
	reader, broken := s.subscribe(), e.crashed
	e.mu.Unlock()
	defer e.release(s, reader)

	e.deliver(w, r, delivery{stream: s, reader: reader, broken: broken, next: offset})
}

// release ends a reader's interest in a stream.
func (e *Emulator) release(s *stream, reader chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()

	s.unsubscribe(reader, time.Now())
}

func (e *Emulator) serveState(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	told := e.progress(r.PathValue("id"), time.Now())
	e.mu.Unlock()
	responder.JSON(w, http.StatusOK, told)
}

// progress returns what is known of a stream.
func (e *Emulator) progress(id string, now time.Time) progress {
	told := progress{State: stateUnknown}
	if s, ok := e.streams[id]; ok {
		told = progressOf(s)
	} else if past, ok := e.ids.find(id, now); ok {
		told = past
	}
	told.Boot = e.audit.Crashes

	return told
}

func (e *Emulator) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	now := time.Now()
	e.mu.Lock()
	told := e.progress(id, now)
	if s, ok := e.streams[id]; ok && !s.ended() {
		e.audit.Cancelled++
		e.end(s, stateCancelled, now)
		e.nudge()
		told.State = stateCancelled
	} else if told.State == stateUnknown {
		e.ids.add(id, progress{State: stateCancelled}, now)
	}
	e.mu.Unlock()
	responder.JSON(w, http.StatusOK, told)
}

func (e *Emulator) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	published := e.published(time.Now())
	e.mu.Unlock()
	responder.JSON(w, http.StatusOK, published)
}

func (e *Emulator) serveCache(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			responder.Error(w, http.StatusBadRequest, "malformed", "after must be a number")

			return
		}
		after = parsed
	}

	var answer struct {
		Events []event `json:"events"`
		Next   uint64  `json:"next"`
	}
	e.mu.Lock()
	answer.Events, answer.Next = e.cache.after(after, time.Now().Add(-e.settings.CacheEventLag))
	e.mu.Unlock()
	responder.JSON(w, http.StatusOK, answer)
}

func (e *Emulator) serveOrder(w http.ResponseWriter, r *http.Request) {
	var given order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&given); err != nil {
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

		return
	}

	now := time.Now()
	e.mu.Lock()
	accepted := e.order(given, now)
	told := e.orderState(now)
	e.mu.Unlock()
	status := http.StatusOK
	if !accepted {
		status = http.StatusConflict
	}
	responder.JSON(w, status, told)
}

func (e *Emulator) serveOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	told := e.orderState(time.Now())
	e.mu.Unlock()
	responder.JSON(w, http.StatusOK, told)
}
