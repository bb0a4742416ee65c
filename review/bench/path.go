package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// pathCalls is the number of calls of playDoubleSlash.
const pathCalls = 100

// playDoubleSlash sends requests of which some have a path that begins with two slashes. Servers must
// get each path as the caller sent it.
func playDoubleSlash(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	f.store.Write("config", "main", configuration(3, route("postings", "/", "non_idempotent", 3000, 1), callerKey))
	var mu sync.Mutex
	ran := map[string]string{} // targets by request
	listener, err := listen(ctx)
	if err != nil {
		return verdict{}, err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Request-Id")
		mu.Lock()
		ran[id] = r.Method + " " + r.RequestURI + " as path " + r.URL.Path + " of host " + r.Host
		mu.Unlock()
		w.Header().Set("Request-Id", id)
		w.Header().Set("Server-Stamp", "stamp-"+id)
		_, _ = io.WriteString(w, "done")
	})
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	f.register("i-1", listener.Addr().String())
	if err := f.startRelays(ctx, relayCount); err != nil {
		return verdict{}, err
	}
	changed, served := 0, 0
	for i := range pathCalls {
		target := fmt.Sprintf("/accounts/%d/payoff?posting=1", i)
		if hasTrouble && i%10 == 0 {
			target = "/" + target
		}
		c := call{id: fmt.Sprintf("call-%d", i), method: http.MethodPost, target: target, key: callerKey, deadline: 3 * time.Second, body: []byte("payoff")}
		answer := send(ctx, f.relays[i%2].front, c)
		if answer.status == http.StatusOK {
			served++
		}
		path := fmt.Sprintf("%s as path %s of host a.example", "POST "+target, target[:len(target)-len("?posting=1")])
		mu.Lock()
		got, hasRun := ran[c.id]
		mu.Unlock()
		if hasRun && got != path {
			changed++
			out.printf("%s: sent %q, the server ran %q, the caller got status %d", c.id, path, got, answer.status)
		}
	}
	summary := fmt.Sprintf("%d calls, %d served, %d run with another path", pathCalls, served, changed)
	if served == 0 {
		return verdict{}, fmt.Errorf("the traffic did not flow: %s", summary)
	}

	return verdict{isBroken: changed > 0, summary: summary}, nil
}
