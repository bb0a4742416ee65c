package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// promptRelays is the number of relays of playLongPrompts.
	promptRelays = 3
	// usualPrompts and shiftedPrompts are the prompts a second at all relays, before and in the burst.
	usualPrompts, shiftedPrompts = 60, 150
	// usualPromptTime and shiftedPromptTime are how long each lasts.
	usualPromptTime, shiftedPromptTime = 4 * time.Second, 9 * time.Second
	// usualParts and longParts are the parts of a prompt. A long prompt has parts of 16 tokens, as the
	// engines' memory has, and so 16,000 tokens; its header has 12 KB, of 16 KB that the limits allow.
	usualParts, longParts, promptTokens = 3, 1000, 16000
	// postings is the number of postings a second beside the prompts.
	postings = 30
	// postingTimeout is timeout_ms of the postings, and answerSlack what the rule adds to it.
	postingTimeout, answerSlack = time.Second, 500 * time.Millisecond
	// minUnanswered is the number of unanswered postings from which a share of them counts.
	minUnanswered = 20
	engineService = "engines"
)

// promptCase is the state of playLongPrompts.
type promptCase struct {
	fleet *fleet
	out   *record
	born  int64

	mu         sync.Mutex
	prompts    map[string]int // by result
	postings   map[string]int // by result
	unanswered int            // at postingTimeout
	tooLate    int            // of them, without an answer answerSlack later
}

// playLongPrompts lets the traffic shift to long prompts for a while. Postings beside them must get an
// answer at their route's timeout at the latest.
func playLongPrompts(ctx context.Context, f *fleet, out *record, hasTrouble bool) (verdict, error) {
	p := &promptCase{fleet: f, out: out, born: f.startedUnixMs, prompts: map[string]int{}, postings: map[string]int{}}
	f.store.Write("config", "main", promptConfiguration())
	for i := range 12 {
		listener, err := listen(ctx)
		if err != nil {
			return verdict{}, err
		}
		go func() {
			_ = (&http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: time.Minute}).Serve(listener)
		}()
		if i < 9 {
			f.registerFor(engineService, fmt.Sprintf("i-%d", i), listener.Addr().String(), 64)
		} else {
			f.register(fmt.Sprintf("i-%d", i), listener.Addr().String())
		}
	}
	if err := f.startRelays(ctx, promptRelays); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableTime)
	p.send(ctx, usualPrompts, usualParts, usualPromptTime)
	out.printf("the usual traffic: prompts %v, postings %v", p.prompts, p.postings)
	parts := usualParts
	if hasTrouble {
		parts = longParts
	}
	p.send(ctx, shiftedPrompts, parts, shiftedPromptTime)
	summary := fmt.Sprintf("prompts %v, postings %v; %d postings unanswered at timeout_ms, %d of them also 0.5 s later", p.prompts, p.postings, p.unanswered, p.tooLate)
	if p.postings["200"] == 0 {
		return verdict{}, fmt.Errorf("the traffic did not flow: %s", summary)
	}

	return verdict{isBroken: p.unanswered >= minUnanswered && 2*p.tooLate > p.unanswered, summary: summary}, nil
}

// promptConfiguration returns a configuration with a route to engines and one for postings.
func promptConfiguration() string {
	return fmt.Sprintf(`{"version":3,"routes":[{"name":"prompts","host":%q,"path_prefix":"/prompts/","kind":"streaming","timeout_ms":5000,"goal_ms":600,
		"priority":1,"service":%q,"max_attempts":2,"public":false,"sticky":true,"can_resume":true,"target_gap_ms":400},%s],
		"services":[{"name":%q,"health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":238283,
		"kv_token_bytes":163840,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,
		"handle_s":5.0,"models":[{"name":"m"}]}},{"name":%q,"health_path":"/health","max_conns":100,"protocol":"h1","tls":false}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"tenant-a","api_keys":[%q],"priority":1}]}`,
		callerHost, engineService, route("postings", "/postings/", "non_idempotent", int(postingTimeout.Milliseconds()), 1), engineService, service, callerKey)
}

// serve is the handler of the engines and of the servers of postings.
func (p *promptCase) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/report" {
		fmt.Fprintf(w, `{"stage":"mixed","born":%d}`, p.born)

		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp-"+id)
	if strings.HasPrefix(r.URL.Path, "/postings/") {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(w, "done")

		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for event := 1; event <= 10; event++ {
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", event)
		if flusher.Flush() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// send sends prompts and postings at steady rates for a time.
func (p *promptCase) send(ctx context.Context, rate, parts int, length time.Duration) {
	var ended sync.WaitGroup
	start := func(kind string, rate int, call func(id, address string)) {
		for i := range int(length.Seconds()) * rate {
			ended.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
				call(fmt.Sprintf("%s-%d-%d", kind, rate, i), p.fleet.relays[i%promptRelays].front)
			})
		}
	}
	start("prompt", rate, func(id, address string) { p.sendPrompt(ctx, id, address, parts) })
	start("posting", postings, func(id, address string) { p.sendPosting(ctx, id, address) })
	ended.Wait()
}

// sendPosting sends a posting and waits for its answer until answerSlack after its route's timeout.
func (p *promptCase) sendPosting(ctx context.Context, id, address string) {
	startedAt := time.Now()
	answer := send(ctx, address, call{id: id, method: http.MethodPost, target: "/postings/1", key: callerKey, deadline: postingTimeout})
	took := time.Since(startedAt)
	result := fmt.Sprint(answer.status)
	if answer.err != nil {
		result = "no answer"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.postings[result]++
	if took > postingTimeout {
		p.unanswered++
		p.out.printf("%s: %s after %d ms", id, result, took.Milliseconds())
	}
	if took > postingTimeout+answerSlack {
		p.tooLate++
	}
}

// sendPrompt sends a prompt of new parts and reads its stream.
func (p *promptCase) sendPrompt(ctx context.Context, id, address string, parts int) {
	ids := make([]string, 0, parts)
	for range parts {
		ids = append(ids, fmt.Sprintf("%08x:%d", rand.Uint32(), promptTokens/parts))
	}
	result := "no connection"
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.prompts[result]++
	}()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /prompts/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nModel: m\r\nToken-Count: %d,40\r\nPrefix-Hash: %s\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n",
		callerHost, id, promptTokens, strings.Join(ids, ","), callerKey)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		result = "no answer"

		return
	}
	defer func() { _ = response.Body.Close() }()
	result = fmt.Sprint(response.StatusCode)
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		result = "cut"
	}
}
